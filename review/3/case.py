"""While the leader is frozen, an entry answers the count of waiting
submissions with one that it has had for any length of time. See claim.txt.

TROUBLE=0 does not freeze the leader.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import BOUNDS, CannotRun, run_case  # noqa: E402

QUEUE = "drafts"
EXECUTOR_CPU = 4000
SUBMISSIONS = 24
TASK_S = 90  # of each: three run, the others wait until the end
OLD_S = BOUNDS["visible_ms"] / 1000 + 2  # age from which the rule counts them
FROZEN_S = 3.0
ASK_EVERY_S = 0.1


async def scenario(deployment, trouble):
    deployment.configure(3, [QUEUE])
    leader = await deployment.settle()
    asked = next(n for n in range(3) if n != leader)
    await asyncio.sleep(2)
    status, answer = await deployment.call(asked, "GET", f"/{QUEUE}/")
    if status != 200 or answer.get("waiting") != 0:
        raise CannotRun("the entry does not count the empty queue")

    accepted_at = {}
    for _ in range(SUBMISSIONS):
        ident = await deployment.submit(leader, QUEUE, [
            {"count": 1, "cpu": EXECUTOR_CPU, "mem_mb": 100,
             "seconds": TASK_S, "est_duration_ms": 1000 * TASK_S}])
        accepted_at[ident] = time.monotonic()
    await asyncio.sleep(OLD_S + 2)

    def due():
        """The submissions that the rule says must be counted."""
        now = time.monotonic()
        return sum(now - at > OLD_S and not deployment.has_begun(ident)
                   for ident, at in accepted_at.items())

    status, answer = await deployment.call(leader, "GET", f"/{QUEUE}/")
    deployment.note("waiting and older than", OLD_S, "s:", due())
    if status != 200 or answer["waiting"] < due():
        raise CannotRun("the leader itself counts too few")
    if deployment.leader() != leader:
        raise CannotRun("another entry leads by now")

    if trouble:
        deployment.note("DISRUPTION the leader is frozen", f"edge-{leader}")
        deployment.entries[leader].signal(signal.SIGSTOP)
    held = True
    end = time.monotonic() + FROZEN_S
    while time.monotonic() < end:
        at_least = due()
        status, answer = await deployment.call(asked, "GET", f"/{QUEUE}/")
        at_least = min(at_least, due())  # some may have begun meanwhile
        if status == 200 and 2 * answer["waiting"] < at_least:
            deployment.note("WRONG:", answer["waiting"], "of", at_least)
            held = False
        await asyncio.sleep(ASK_EVERY_S)
    if trouble:
        deployment.entries[leader].signal(signal.SIGCONT)
        deployment.note("the leader runs again")
    return held


if __name__ == "__main__":
    sys.exit(run_case(HERE, scenario, cpu=EXECUTOR_CPU))
