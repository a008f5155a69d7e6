"""Drills of cancellations that overtake their submission."""

import asyncio
import copy
import os
import signal
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from drill_case import (LONG_TASK_S, QUERY_SENT_S, SHORT_TASK_S,  # noqa: E402
                        JobDrillCase)
from fleet import HOST  # noqa: E402
from wire import Silence  # noqa: E402

FROZEN_S = 3.2
CALLER_TIMEOUT_S = 1.0
LATE_S = 5.0  # the store does a lost write up to 6 s later (platform)
MAX_TRIES = 5
SHORT_LEASE_MS = 10_000  # still longer than a drill
MAX_CALLS = 40  # of all processes during one request


class CancellationDrill(JobDrillCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.started = []
        original = self.record.on_start

        def on_start(executor, task, *words):
            self.started.append(task)
            return original(executor, task, *words)

        self.record.on_start = on_start

    def make_job(self):
        """A job of two steps."""
        job = self.caller.make_job()
        step = {"count": 1, "cpu": 500, "mem_mb": 100,
                "traits": {"fails": False, "seconds": SHORT_TASK_S}}
        job.steps = [step, step | {"depends_on": [0]}]
        job.queue = "quick"
        return job

    async def send(self, entry, method, job, timeout=None):
        """One call to one entry, with a document if it submits the job."""
        steps = [{name: value for name, value in step.items()
                  if name != "traits"} for step in job.steps]
        document = {"spec": job.spec, "steps": steps}
        connection = self.fleet.connection(entry)
        status, _ = await connection.call(
            method, f"/{job.queue}/{job.ident}",
            document if method == "POST" else None,
            {"Host": HOST, "Content-Type": "application/json",
             "Deadline-Ms": "2500"}, timeout=timeout or LONG_TASK_S)
        connection.close()
        return status

    async def cancel(self, entry, job):
        for _ in range(MAX_TRIES):
            status = await self.send(entry, "DELETE", job)
            if status in (200, 410):
                return status
            await asyncio.sleep(QUERY_SENT_S)
        return status

    async def check_never_runs(self, job):
        await asyncio.sleep(LONG_TASK_S)
        self.assertEqual([task for task in self.started
                          if task.startswith(job.ident)], [])
        self.assertEqual(await self.send(0, "GET", job), 410)

    # Guards against a job that ran to its end after its cancellation was
    # answered with 410: the store had lost the answers to the writes that
    # create it, and did them later.
    async def test_a_late_write_creates_no_cancelled_job(self):
        job = self.make_job()
        store = self.fleet.store
        original = store.transact

        async def transact(document):
            keys = [put["tls_key"] for put in document.get("put", [])]
            if f"springstair/jobs/{job.ident}" in keys:
                asyncio.get_running_loop().call_later(
                    LATE_S, store.apply, document)
                raise Silence
            return await original(document)

        store.transact = transact
        self.assertNotEqual(await self.send(0, "POST", job), 200)
        self.assertEqual(await self.cancel(1, job), 410)
        store.transact = original
        await asyncio.sleep(LATE_S)
        await self.check_never_runs(job)

    # Guards against the same without a lost write: an entry was frozen while
    # the submission waited in its socket, and the client had given up.
    async def test_an_entry_that_was_frozen_creates_no_cancelled_job(self):
        frozen = self.fleet.processes[2]
        job = self.make_job()
        frozen.signal(signal.SIGSTOP)
        await self.send(2, "POST", job, timeout=CALLER_TIMEOUT_S)
        self.assertEqual(await self.cancel(1, job), 410)
        await asyncio.sleep(FROZEN_S - CALLER_TIMEOUT_S)
        frozen.signal(signal.SIGCONT)
        await self.check_never_runs(job)

    async def test_a_cancelled_job_is_refused_when_it_is_submitted(self):
        job = self.make_job()
        self.assertEqual(await self.cancel(0, job), 410)
        for entry in range(len(self.fleet.entries)):
            self.assertEqual(await self.send(entry, "POST", job), 410)
        tombstones = [item for key, item in self.fleet.store.items.items()
                      if key.startswith("springstair/tombstones/")]
        self.assertEqual(len(tombstones), 1)
        self.assertNotEqual(tombstones[0]["lease"], 0)  # it will be removed

    # The tombstone's lease has expired in the store.
    async def test_a_cancellation_is_stored_under_a_new_lease(self):
        self.assertEqual(await self.cancel(0, self.make_job()), 410)
        for lease in list(self.fleet.store.leases):
            if any(item.get("lease") == lease and "tombstones" in key
                   for key, item in self.fleet.store.items.items()):
                self.fleet.store.end_lease(lease)
        job = self.make_job()
        self.assertEqual(await self.cancel(0, job), 410)
        self.assertEqual(await self.send(1, "POST", job), 410)

    # Guards against requests for a lease without end, if the store grants one
    # for a shorter time than asked.
    async def test_a_tombstone_is_stored_under_a_short_lease(self):
        store = self.fleet.store
        store.max_ttl_ms = SHORT_LEASE_MS
        before = store.calls
        job = self.make_job()
        self.assertEqual(await self.send(0, "DELETE", job), 410)
        self.assertLess(store.calls - before, MAX_CALLS)
        self.assertEqual(await self.send(1, "POST", job), 410)

    async def test_a_cancellation_in_another_queue_cancels_nothing(self):
        job = self.make_job()
        other = copy.copy(job)
        other.queue = "heavy"
        self.assertEqual(await self.cancel(1, other), 410)
        self.assertTrue(await self.caller.submit(job))
        await self.wait_until_done(job)


if __name__ == "__main__":
    unittest.main()
