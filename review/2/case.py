"""A submission that can never be done is accepted and ends each leader. See
claim.txt.

TROUBLE=0 sends the same submission with three times instead of 2^63 - 1.
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import BOUNDS, CannotRun, run_case  # noqa: E402

QUEUE = "drafts"
TASK_CPU = 1000
TASK_S = 2
IDLE_S = 3  # for which a submission may have nothing running
CALM_S = 4  # before that
AFTER_LAST_RUN_S = 6  # the rule's delay for a task that lasts
WATCH_S = 6  # after finish_s
LATER_JOBS = 4  # submitted after the one that can never be done
HOUR_MS = 3600 * 1000
ENDLESS = 2**63 - 1


def is_over(deployment, task):
    return "done" in deployment.ends.get(task, [])


def has_room_twice_over(deployment):
    used = sum(one.used_cpu() for one in deployment.executors)
    whole = sum(one.capacity["cpu"] for one in deployment.executors)
    fits = sum((one.capacity["cpu"] - one.used_cpu()) // TASK_CPU
               for one in deployment.executors)
    return fits >= 2 and 2 * used < whole


class Watch:
    """How long something that is due has had nothing running."""

    def __init__(self):
        self.since = None
        self.longest = 0.0

    def update(self, missing, now):
        if not missing:
            self.since = None
            return
        self.since = now if self.since is None else self.since
        self.longest = max(self.longest, now - self.since)


async def submit_scheduled(deployment, times):
    """Submits two tasks, to be run so many times, first in an hour."""
    ident = f"{random.getrandbits(64):016x}"
    steps = [{"count": 2, "cpu": 100, "mem_mb": 10, "est_duration_ms": 500}]
    deployment.steps[ident] = steps
    status, _ = await deployment.call(1, "POST", f"/{QUEUE}/{ident}", {
        "spec": f"work of {ident}", "steps": steps,
        "start_at_ms": int(time.time() * 1000) + HOUR_MS,
        "interval_ms": 1000, "repeat_count": times})
    return status


async def submit_later(deployment):
    """Submits one task at any entry that accepts it."""
    for entry in (0, 1, 2):
        try:
            async with asyncio.timeout(5):
                return await deployment.submit(entry, QUEUE, [
                    {"count": 1, "cpu": TASK_CPU, "mem_mb": 100,
                     "seconds": TASK_S, "est_duration_ms": 1000 * TASK_S}])
        except (TimeoutError, CannotRun):
            continue
    return None


async def scenario(deployment, trouble):
    deployment.configure(3, [QUEUE])
    await deployment.settle()
    lasting = await deployment.submit(0, QUEUE, [
        {"count": 2, "cpu": TASK_CPU, "mem_mb": 100, "long_running": True,
         "est_duration_ms": 1000}])
    await deployment.wait_until("the tasks that last run", lambda: all(
        map(deployment.where, deployment.tasks_of(lasting))))
    await asyncio.sleep(1)

    if trouble:
        deployment.note("DISRUPTION a submission that can never be done")
    status = await submit_scheduled(deployment, ENDLESS if trouble else 3)
    sent_at = time.monotonic()
    await asyncio.sleep(1)
    later = []
    for _ in range(LATER_JOBS):
        ident = await submit_later(deployment)
        if ident is not None:
            later.append(ident)
        await asyncio.sleep(0.3)
    if len(later) < LATER_JOBS:
        deployment.note("only", len(later), "later submissions were accepted")

    traffic_end = time.monotonic()
    lasting_tasks = deployment.tasks_of(lasting)
    last_run = dict.fromkeys(lasting_tasks, traffic_end)
    watches = {name: Watch() for name in [*later, *lasting_tasks]}
    while time.monotonic() < traffic_end + BOUNDS["finish_s"] + WATCH_S:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        room = has_room_twice_over(deployment)
        for task in lasting_tasks:
            if deployment.where(task):
                last_run[task] = now
            due = (now - last_run[task] >= AFTER_LAST_RUN_S
                   and now >= sent_at + CALM_S)
            watches[task].update(due and room, now)
        # The rule asks for what ends finish_s after the traffic.
        if now >= traffic_end + BOUNDS["finish_s"]:
            for ident in later:
                tasks = [task for task in deployment.tasks_of(ident)
                         if not is_over(deployment, task)]
                watches[ident].update(
                    tasks and room
                    and not any(map(deployment.where, tasks)), now)
    for ident in later:
        for entry in (0, 1, 2):
            await deployment.state(entry, QUEUE, ident)

    ends = sum(machine.exits for machine in deployment.entries)
    deployment.note("the scheduled submission was answered", status)
    deployment.note("entries ended by themselves", ends, "times")
    held = True
    for name, watch in watches.items():
        kind = "task that lasts" if "." in name else "accepted submission"
        deployment.note(kind, name, "was due and had nothing running for at "
                        f"most {watch.longest:.1f} s, with room twice over")
        held = held and watch.longest < IDLE_S
    return held


if __name__ == "__main__":
    sys.exit(run_case(HERE, scenario))
