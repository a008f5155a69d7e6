"""A submission of some hundred tasks at the leader, while answers of the
platform's store to writes are lost."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

from deployment import Deployment, Job, main, new_id, ordinary  # noqa: E402
from wire import Silence  # noqa: E402

TASKS = 800
LOST_S = 4.5  # as in the site file
MAX_SHARE = 0.3  # the default of platform_lost; the site file has 0.35
LATE_S = 2.0  # platform_lost late: 1 to 6 s later
OBSERVED_S = 12


class Losses:
    """Loses the writes that hand this submission in: each is done LATE_S
    later, if its condition still holds, and not answered. A channel that lost
    an answer says nothing any more."""

    def __init__(self, store, record, ident):
        self.store, self.record = store, record
        self.key = "springstair/jobs/" + ident
        self.on = False
        self.writes = self.lost = 0
        self.transact = store.transact
        store.transact = self.apply

    async def apply(self, document):
        if not self.on:
            return await self.transact(document)
        self.writes += 1
        if any(put["tls_key"] == self.key for put in document["put"]):
            self.lost += 1
            self.record.note(f"store: no answer to a write of {self.key}")
            asyncio.get_running_loop().call_later(
                LATE_S, lambda: asyncio.ensure_future(self.late(document)))
            raise Silence
        return await self.transact(document)

    async def late(self, document):
        status, _ = await self.transact(document)
        self.record.note(f"store: late write of {self.key}: {status}")


async def case(record, trouble):
    record.quiet.add("large")
    deployment = Deployment(record)
    await deployment.start()
    if not await deployment.ready():
        return None
    await asyncio.sleep(6)  # heartbeats between entries
    job = Job(new_id(), {"spec": "bundle", "steps": [
        {"count": TASKS, "cpu": 20, "mem_mb": 20,
         "est_duration_ms": 1000}]}, lambda _task: 1.0, "large")
    losses = Losses(deployment.store, record, job.ident)
    losses.on = trouble
    handed_in = [asyncio.create_task(deployment.submit(ordinary()))
                 for _ in range(4)]
    # The balancer picks the entry by a hash of the client; this client's is
    # the leader.
    leader = deployment.leader()
    large = asyncio.create_task(
        deployment.submit(job, tries=5, entry=leader, on_refusal=False))
    for _ in range(int(LOST_S * 10)):
        handed_in.append(asyncio.create_task(deployment.submit(ordinary())))
        await asyncio.sleep(0.1)
    losses.on = False
    await asyncio.gather(large, *handed_in)
    await asyncio.sleep(OBSERVED_S)
    share = losses.lost / max(1, losses.writes)
    record.note(f"store: {losses.writes} writes in {LOST_S} s, the answers "
                f"of {losses.lost} lost, a share of {share:.2f}")
    record.note(f"submission {job.ident}: answers {job.answers}, "
                f"{len(job.started)} of its tasks began, {len(job.done)} done")
    if share > MAX_SHARE:
        return None
    rejected = all(status in (429, 503) for status in job.answers)
    if rejected and job.started:
        record.note(f"REFUSED {job.ident}: each attempt was rejected, and "
                    f"its tasks start")
    return rejected and bool(job.started)


main(case, HERE)
