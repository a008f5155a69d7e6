"""The leader is killed twice while submissions that it has accepted run."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

from deployment import Deployment, Job, main, new_id  # noqa: E402

LARGE, LARGE_TIMES, LARGE_TASKS = 11, 250, 40
SMALL, SMALL_TIMES = 40, 400
HOUR_MS = 3_600_000
DUE_S = 18  # from the first submission
KILLED_S = (22, 38)
CANCELLED_S = 28
OBSERVED_S = 56


def seconds_of(task):
    """2 to 9 s, by the task's name."""
    return random.Random(task).uniform(2, 9)


def timed(first_digit, times, count, due_ms, kind):
    return Job(new_id(first_digit), {
        "spec": "watch", "start_at_ms": due_ms, "interval_ms": HOUR_MS,
        "repeat_count": times,
        "steps": [{"count": count, "cpu": 100, "mem_mb": 64,
                   "est_duration_ms": 5000}]}, seconds_of, kind)


async def case(record, trouble):
    deployment = Deployment(record)
    await deployment.start()
    if not await deployment.ready():
        return None
    await asyncio.sleep(4)  # heartbeats between entries
    began = time.monotonic()

    async def until(second):
        await asyncio.sleep(max(0.0, began + second - time.monotonic()))

    due_ms = int(time.time() * 1000) + DUE_S * 1000
    small, large = [], []
    for _ in range(LARGE):
        large.append(timed("f", LARGE_TIMES, LARGE_TASKS, due_ms, "large"))
        await deployment.submit(large[-1])
    for _ in range(SMALL):
        small.append(timed("0", SMALL_TIMES, 1, due_ms + HOUR_MS, "small"))
        await deployment.submit(small[-1])
    await until(KILLED_S[0])
    if trouble:
        deployment.entries[deployment.leader()].kill("as the leader")
    await until(CANCELLED_S)
    for job in small:
        await deployment.cancel(job)
    await until(KILLED_S[1] - 4)
    for job in await deployment.lost(large):
        record.note(f"before the second kill: {job.ident} was accepted, is "
                    f"shown as {job.state}, {len(job.done)} of {LARGE_TASKS} "
                    f"due tasks are done and nothing runs")
    await until(KILLED_S[1])
    if trouble:
        deployment.entries[deployment.leader()].kill("as the leader")
    await until(OBSERVED_S)
    record.note(f"{sum(job.accepted_at is not None for job in large)} large "
                f"and {sum(job.accepted_at is not None for job in small)} "
                f"small submissions accepted; "
                f"{sum(len(job.started) for job in large)} tasks began, "
                f"{len(record.twice)} broke TWICE")
    return bool(record.twice)


main(case, HERE)
