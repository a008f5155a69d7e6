"""A client cancels a submission whose POST got 504 while the platform's store
loses the answers of some writes and does them late."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from platform2 import (BOUNDS, CannotRun, Fleet, Silence,  # noqa: E402
                       Store, play)

IDENT = "5c0e7a21d94b36f8"
LATE_S = 5.5  # kinds: "late (done 1 to 6 s later)"
LARGEST_SHARE = 0.35
TASK_S = 1.5
OTHERS = 14  # submissions of other clients meanwhile


class LosingStore(Store):
    """Loses the answers of the writes that create one submission, and does
    these writes late."""

    def __init__(self, record):
        super().__init__(random.Random(1))
        self.record = record
        self.loses = False
        self.writes = 0
        self.lost = 0

    async def transact(self, document):
        keys = [put["tls_key"] for put in document.get("put", [])]
        self.writes += self.loses
        if self.loses and f"springstair/jobs/{IDENT}" in keys:
            self.lost += 1
            self.record.note("the store loses the answer to a write of", keys)
            asyncio.get_running_loop().call_later(LATE_S, self.do_late,
                                                  document, keys)
            raise Silence
        return await super().transact(document)

    def do_late(self, document, keys):
        status, _ = self.apply(document)
        self.record.note("the store does a late write of", keys, "->", status)


async def case(record, trouble):
    store = LosingStore(record)
    fleet = Fleet(record, store=store, work_of=lambda task: TASK_S)
    cancelled = []

    def on_start(executor, task, number, order):
        if not task.startswith(IDENT) or not cancelled:
            return
        since = record.now() - cancelled[0]
        if since > BOUNDS["cancel_ms"] / 1000:
            record.breach("UNASKED", task, "run", number, "starts at",
                          executor.ident, f"{since:.1f} s after its cancelling "
                          "was acknowledged")

    try:
        await fleet.start()
        for executor in fleet.executors:
            executor.on_start = on_start
        await fleet.ready()
        await asyncio.sleep(4)  # the leader and all machines are in touch
        store.loses = trouble
        others = asyncio.create_task(submit_others(fleet))
        await asyncio.sleep(0.1)
        status, _ = await fleet.call(0, "POST", IDENT, document_of("cancelled"))
        record.note("the client gives up the submission and cancels it")
        for _ in range(4):
            status, _ = await fleet.call(1, "DELETE", IDENT)
            if status in (200, 410):
                cancelled.append(record.now())
                break
        await others
        store.loses = False
        if trouble:
            share = store.lost / store.writes
            record.note(f"answers of {store.lost} of {store.writes} writes",
                        f"were lost: {share:.2f}")
            if share > LARGEST_SHARE:
                raise CannotRun("more writes were lost than the site allows")
        await asyncio.sleep(14)
        await fleet.call(1, "GET", IDENT)
    finally:
        fleet.end()


def document_of(spec):
    return {"spec": spec, "steps": [
        {"count": 3, "cpu": 500, "mem_mb": 256, "est_duration_ms": 1500},
        {"count": 3, "cpu": 500, "mem_mb": 256, "est_duration_ms": 1500,
         "depends_on": [0]}]}


async def submit_others(fleet):
    """Submissions of other clients, one every 150 ms."""
    calls = []
    for number in range(OTHERS):
        calls.append(asyncio.create_task(fleet.call(
            number % 2, "POST", f"{number + 1:016x}", document_of("other"),
            quiet=True)))
        await asyncio.sleep(0.15)
    await asyncio.gather(*calls)


play(case, FOLDER)
