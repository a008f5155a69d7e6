"""A gang with several members on an executor that fails all it starts for a
moment. See claim.txt.

TROUBLE=0: the executor doesn't fail.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import MAX_ATTEMPTS, CannotRun, run_case  # noqa: E402

QUEUE = "drafts"
TASK_S = 2
MEMBERS = 9  # three at each of three executors
FAILING_S = 1.0
ASK_EVERY_S = 0.25
WATCH_S = 40


async def scenario(deployment, trouble):
    deployment.configure(3, [QUEUE])
    await deployment.settle()
    faulty = deployment.executors[0]
    if trouble:
        deployment.note("DISRUPTION", faulty.ident, "fails all that it starts")
        faulty.fails_all = True
    ident = await deployment.submit(0, QUEUE, [
        {"count": MEMBERS, "cpu": 800, "mem_mb": 100, "gang": True,
         "seconds": TASK_S, "est_duration_ms": 1000 * TASK_S}])
    submitted_at = time.monotonic()
    while time.monotonic() < submitted_at + WATCH_S:
        await asyncio.sleep(ASK_EVERY_S)
        if faulty.fails_all and time.monotonic() > submitted_at + FAILING_S:
            faulty.fails_all = False
            deployment.note("the executor is sound again")
        state = await deployment.state(1, QUEUE, ident)
        if state == "succeeded":
            return True
        if state == "failed":
            return has_cause(deployment, ident)
    raise CannotRun("the gang has not ended")


def has_cause(deployment, ident):
    """Whether a task, or the gang, has failed max_attempts times."""
    runs = [deployment.failed_runs.get(task, set())
            for task in deployment.tasks_of(ident)]
    of_tasks = max(map(len, runs))
    of_gang = len(set().union(*runs))
    deployment.note("shown as failed: max_attempts", MAX_ATTEMPTS,
                    "failed runs of a task, at most", of_tasks,
                    "failed runs of the gang", of_gang)
    return max(of_tasks, of_gang) >= MAX_ATTEMPTS


if __name__ == "__main__":
    sys.exit(run_case(HERE, scenario))
