"""One large submission of lasting tasks that checkpoint, among ordinary ones.
A few of the tasks fail, as they may at any time, and must be started again."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

from deployment import (VALUE_BYTES, Deployment, Job, main,  # noqa: E402
                        new_id, ordinary)

TASKS = 2000
USUAL_TASKS = 200
CHECKPOINT_BYTES = 600
FAILING = 20  # of the tasks, once, 6 to 25 s after their start
TRAFFIC_S = 45
AWAY_S = 6 + 3  # the rule: from 6 s after its last run, for 3 s


def lasting(count):
    failing = set(range(0, count, count // FAILING))

    def seconds(task):
        index = int(task.split(".")[3])
        first = task not in ended
        return (random.uniform(6, 25) if index in failing and first
                else 10_000)

    ended = set()
    job = Job(new_id(), {"spec": "watch", "steps": [
        {"count": count, "cpu": 8, "mem_mb": 20, "est_duration_ms": 400,
         "long_running": True, "checkpointing": True}]}, seconds, "lasting",
        fails=True)
    job.ended = ended
    return job


async def case(record, trouble):
    record.quiet.add("lasting")
    deployment = Deployment(record, checkpoint_bytes=CHECKPOINT_BYTES)
    await deployment.start()
    if not await deployment.ready():
        return None
    big = lasting(TASKS if trouble else USUAL_TASKS)
    failed_at = {}
    gone = {}
    record.on_failed = lambda task: (big.ended.add(task),
                                     failed_at.__setitem__(task,
                                                           time.monotonic()))
    jobs = []
    handed_in = []
    loop = asyncio.get_running_loop()
    end = loop.time() + TRAFFIC_S
    second = 0
    while loop.time() < end:
        job = ordinary()
        jobs.append(job)
        handed_in.append(asyncio.create_task(deployment.submit(job)))
        if second == 3:
            handed_in.append(asyncio.create_task(deployment.submit(big)))
        second += 1
        for _ in range(10):
            await asyncio.sleep(0.1)
            for task, since in failed_at.items():
                away = time.monotonic() - since
                if task not in big.running and task not in gone and (
                        away > AWAY_S and deployment.has_room_twice(
                            big.demand(0))):
                    gone[task] = away
                    record.note(f"LOST {task}: failed {away:.1f} s ago, not "
                                f"started again")
    await asyncio.gather(*handed_in)
    back = [task for task in failed_at if task in big.running]
    record.note(f"lasting tasks: {len(big.started)} of "
                f"{big.body['steps'][0]['count']} began, {len(failed_at)} "
                f"failed once, {len(back)} of these run now, {len(gone)} were "
                f"away for {AWAY_S} s; writes that the store refused because "
                f"a value has more than {VALUE_BYTES} bytes: "
                f"{getattr(deployment.store, 'too_large', 0)}")
    late = [job for job in jobs if not job.done
            or job.step_in_turn() is not None]
    record.note(f"ordinary submissions: {len(jobs)} sent, {len(late)} not "
                f"done at the end")
    return bool(gone)


main(case, HERE)
