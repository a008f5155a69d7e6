"""An executor is lost for good, and the process of its side machine is killed
at the same moment and started again. See claim.txt.

TROUBLE=0 leaves both out; TROUBLE=executor and TROUBLE=guard leave one out.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import BOUNDS, run_case  # noqa: E402

QUEUE = "drafts"
TASK_CPU = 1000
TASK_S = 8  # of the submission that ends by itself
CALM_S = 4 + 3  # the rule's calm time before and in the three seconds
IDLE_S = 3  # for which nothing may be missing
AFTER_LAST_RUN_S = 6  # the rule's delay for a task that lasts
WATCH_S = 35  # from the disruption on


def is_over(deployment, task):
    return "done" in deployment.ends.get(task, [])


def has_room_twice_over(deployment):
    """Whether there is capacity for a task twice over and under half of the
    service's capacity is in use."""
    up = [one for one in deployment.executors if not one.gone]
    used = sum(one.used_cpu() for one in up)
    whole = sum(one.capacity["cpu"] for one in up)
    fits = sum((one.capacity["cpu"] - one.used_cpu()) // TASK_CPU
               for one in up)
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


async def scenario(deployment, trouble):
    mode = os.environ.get("TROUBLE", "1")
    deployment.configure(3, [QUEUE])
    await deployment.settle()
    lasting = await deployment.submit(0, QUEUE, [
        {"count": 3, "cpu": TASK_CPU, "mem_mb": 100, "long_running": True,
         "est_duration_ms": 1000}])
    ending = await deployment.submit(1, QUEUE, [
        {"count": 3, "cpu": TASK_CPU, "mem_mb": 100, "seconds": TASK_S,
         "est_duration_ms": 1000 * TASK_S}])
    tasks = deployment.tasks_of(lasting) + deployment.tasks_of(ending)
    await deployment.wait_until(
        "all tasks run", lambda: all(map(deployment.where, tasks)))
    await asyncio.sleep(1.5)  # the reports of the guards show all of them

    victim = max(deployment.executors, key=lambda one: len(
        {task.split(".")[0] for task in one.runs}))
    deployment.note("chosen:", victim.ident, "at", victim.machine.name,
                    "which runs", *victim.runs)
    hit_at = time.monotonic()
    if trouble and mode != "guard":
        deployment.note("DISRUPTION executor is lost for good", victim.ident)
        victim.vanish()
    if trouble and mode != "executor":
        deployment.note("DISRUPTION SIGKILL to", victim.machine.name)
        victim.machine.signal(signal.SIGKILL)

    last_run = {task: time.monotonic() for task in tasks}
    watches = {}  # submission that ends, or task that lasts
    asked_at = 0.0
    calm_from = hit_at + 1 + CALM_S - IDLE_S  # the guard is back by then
    while time.monotonic() < hit_at + WATCH_S:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        for task in tasks:
            if deployment.where(task):
                last_run[task] = now
        if now < calm_from:
            continue
        room = has_room_twice_over(deployment)
        for task in deployment.tasks_of(lasting):
            due = now - last_run[task] >= AFTER_LAST_RUN_S
            watches.setdefault("task " + task, Watch()).update(
                due and room and not deployment.where(task), now)
        # The rule asks for what ends finish_s after the traffic.
        if now >= hit_at + BOUNDS["finish_s"]:
            open_tasks = [task for task in deployment.tasks_of(ending)
                          if not is_over(deployment, task)]
            watches.setdefault("submission " + ending, Watch()).update(
                open_tasks and room
                and not any(map(deployment.where, open_tasks)), now)
        if now - asked_at >= 2:
            asked_at = now
            await deployment.state(0, QUEUE, ending)
            await deployment.state(1, QUEUE, lasting)

    held = True
    for name, watch in watches.items():
        deployment.note(name, "had nothing running for at most",
                        f"{watch.longest:.1f} s, with room twice over")
        held = held and watch.longest < IDLE_S
    return held


if __name__ == "__main__":
    sys.exit(run_case(HERE, scenario))
