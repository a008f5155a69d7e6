"""Drills of records that the store rejects, or that grow towards its limit of
a value."""

import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from drill_case import JobDrillCase  # noqa: E402
from store import VALUE_BYTES  # noqa: E402

LARGE_CHECKPOINT = "c" * (VALUE_BYTES + 150_000)
LASTING_TASKS = 30
# Twice the limit for all tasks together, and no answer of an executor is too
# long for its guard.
CHECKPOINT = "c" * (2 * VALUE_BYTES // LASTING_TASKS)
ANSWERED_S = 1.0  # below the deadline of a caller
DONE_S = 4.0  # a task of 0.2 s that may not wait for 3 s
REPORTED_S = 3.0  # until the leader knows the checkpoints of all running tasks


class StoreLimitDrill(JobDrillCase):
    async def submit_lasting(self, count):
        job = self.caller.make_job()
        job.steps = [{"count": count, "cpu": 100, "mem_mb": 100,
                      "long_running": True, "checkpointing": True,
                      "traits": {"fails": False, "seconds": 3600}}]
        job.queue = "lasting"
        self.assertTrue(await self.caller.submit(job))

        async def all_run():
            return len(self.runs_of(job)) == count
        await self.wait_until("the lasting tasks run", all_run)
        return job

    def runs_of(self, job):
        return {task: (executor, run) for executor in self.fleet.executors
                for task, run in executor.runs.items()
                if task.startswith(job.ident)}

    async def fail_one_task(self, job, at):
        """One task fails at an executor; it has to run again, with its
        checkpoint. The executor reports the checkpoints of all others."""
        task, (executor, run) = min(
            (task, where) for task, where in self.runs_of(job).items()
            if where[0] is at)
        executor.end(task, run, "failed")

        async def runs_again():
            _, again = self.runs_of(job).get(task, (None, None))
            return again is not None and again.number > run.number
        await self.wait_until("the failed task runs again", runs_again)
        return self.runs_of(job)[task][1], run

    async def check_other_jobs(self):
        job = await self.submit_tasks(1, 0.2)
        await self.wait_until_done(job)
        self.assertEqual(self.fleet.store.rejected, 0)

    # Guards against LOST: the store refused the record of a job with one large
    # checkpoint, and the leader wrote nothing else.
    async def test_a_checkpoint_larger_than_a_value(self):
        job = await self.submit_lasting(1)
        for executor, run in self.runs_of(job).values():
            run.checkpoint = LARGE_CHECKPOINT
        await self.fail_one_task(job, executor)
        await self.check_other_jobs()

    # Guards against LOST: the same with many checkpoints of ordinary size.
    async def test_checkpoints_that_together_exceed_a_value(self):
        job = await self.submit_lasting(LASTING_TASKS)
        for _, run in self.runs_of(job).values():
            run.checkpoint = CHECKPOINT
        await asyncio.sleep(REPORTED_S)
        for executor in self.fleet.executors:
            again, failed = await self.fail_one_task(job, executor)
            self.assertEqual(again.checkpoint, failed.checkpoint)
        await self.check_other_jobs()

    def reject_writes(self, key):
        """The store answers 400 to each write of a key."""
        store = self.fleet.store
        transact = store.transact

        async def reject(document):
            keys = [put["tls_key"] for put in document.get("put", [])]
            if key not in keys:
                return await transact(document)
            store.rejected += 1
            return 400, {}

        store.transact = reject

    # Guards against callers that wait until their deadline: the store's 400 was
    # taken for a lost answer, and the write was repeated.
    async def test_a_definition_that_the_store_rejects_is_refused_at_once(self):
        job = self.caller.make_job()
        self.reject_writes("springstair/jobs/" + job.ident)
        asked_at = time.monotonic()
        status, _ = await self.submit(job)
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - asked_at, ANSWERED_S)

    # Guards against LOST: one record that the store rejected was repeated
    # without end, and no other was written.
    async def test_a_record_that_the_store_rejects(self):
        await self.wait_until("the preferred entry leads", lambda:
                              self.is_leader(self.fleet.ip(1, 0) + ":"))
        job = self.caller.make_job()
        job.steps = [{"count": 1, "cpu": 500, "mem_mb": 100,
                      "traits": {"fails": False, "seconds": 0.2}}]
        job.queue = "quick"
        self.reject_writes("springstair/progress/" + job.ident)
        self.assertTrue(await self.caller.submit(job))

        async def is_rejected():
            return self.fleet.store.rejected > 0
        await self.wait_until("the record is rejected", is_rejected)
        for _ in range(3):
            other = await self.submit_tasks(1, 0.2)
            accepted_at = time.monotonic()
            await self.wait_until_done(other)
            self.assertLess(time.monotonic() - accepted_at, DONE_S)


if __name__ == "__main__":
    unittest.main()
