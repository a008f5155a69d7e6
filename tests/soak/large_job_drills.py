"""Drills of jobs that are large within the limits of a request, beside entries
of little memory."""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from drill_case import JobDrillCase  # noqa: E402
from fleet import HOST  # noqa: E402
from wire import Silence  # noqa: E402

HOUR_MS = 3_600_000
TASK_S = 2.0
LARGE_JOBS = 5  # as many as an entry of 64 MB admits
LARGE_ROUNDS, LARGE_TASKS = 250, 20
SMALL_JOBS = 24
SMALL_ROUNDS = 400
DUE_S = 8.0  # time to submit all
TASKS_OVER_ALLOTMENT = 800  # only the leader accepts such a job
LATE_S = 2.0
LASTING_TASKS = 60
CHECKPOINT_BYTES = 80_000  # 2.4 MB at each of two executors
LATER_JOBS = 5


class LargeJobDrill(JobDrillCase):
    limits = {"memory_mb": 64}

    def make_job(self, count, cpu=100):
        job = self.caller.make_job()
        job.queue = "quick"
        job.steps = [{"count": count, "cpu": cpu, "mem_mb": 20,
                      "est_duration_ms": 1000,
                      "traits": {"fails": False, "seconds": TASK_S}}]
        return job

    def document(self, job, **times):
        steps = [{name: value for name, value in step.items()
                  if name != "traits"} for step in job.steps]
        return {"spec": job.spec, "steps": steps, **times}

    async def submit_rounds(self, count, rounds, first_ms):
        job = self.make_job(count)
        status, _ = await self.caller.call("POST", job, self.document(
            job, start_at_ms=first_ms, interval_ms=HOUR_MS,
            repeat_count=rounds))
        self.record.on_answer(job, status)
        self.assertEqual(status, 200)
        return job

    def leader(self):
        """The number of the entry that leads."""
        store = self.fleet.store
        holder = store.text(store.items.get("springstair/holder"))
        return next(number for number in range(self.entries)
                    if self.fleet.ip(1, number) + ":" in holder)

    def begun(self, job):
        """The tasks of a job that run or have ended."""
        return {task for executor in self.fleet.executors
                for task in [*executor.runs, *executor.highest_run]
                if task.startswith(job.ident + ".")}

    # Guards against LOST: a new leader left out jobs that an earlier one had
    # accepted, since it counted small jobs before the large ones.
    async def test_a_new_leader_loads_all_accepted_jobs(self):
        due_ms = int((time.time() + DUE_S) * 1000)
        large = [await self.submit_rounds(LARGE_TASKS, LARGE_ROUNDS, due_ms)
                 for _ in range(LARGE_JOBS)]
        for _ in range(SMALL_JOBS):
            await self.submit_rounds(1, SMALL_ROUNDS, due_ms + HOUR_MS)
        self.fleet.processes[self.leader()].signal(signal.SIGKILL)

        async def all_have_begun():
            return all(len(self.begun(job)) == LARGE_TASKS for job in large)
        await self.wait_until("all due tasks have begun", all_have_begun)

    def lose_answers(self, ident):
        """The store answers no write of a job and does it later."""
        store = self.fleet.store
        transact = store.transact

        async def lose(document):
            keys = [put["tls_key"] for put in document.get("put", [])]
            if "springstair/jobs/" + ident not in keys:
                return await transact(document)
            asyncio.get_running_loop().call_later(
                LATE_S, lambda: asyncio.ensure_future(transact(document)))
            raise Silence

        store.transact = lose

    # Guards against REFUSED: an entry whose writes got no answer forwarded the
    # job, and refused it when the other entry had no memory for it.
    async def test_a_job_that_may_be_stored_is_not_refused(self):
        await asyncio.sleep(LATE_S)  # entries hear of each other
        job = self.make_job(TASKS_OVER_ALLOTMENT, cpu=10)
        self.lose_answers(job.ident)
        connection = self.fleet.connection(self.leader())
        status, _ = await connection.call(
            "POST", f"/{job.queue}/{job.ident}", self.document(job),
            {"Host": HOST, "Content-Type": "application/json",
             "Deadline-Ms": "2500"})
        connection.close()
        self.assertNotIn(status, (429, 503))

        async def has_begun():
            return len(self.begun(job)) > 0
        await self.wait_until("the stored job begins", has_begun)

    # Guards against LOST: a guard could not read the lists of an executor whose
    # tasks have many checkpoints, and nothing that ended there was noticed.
    async def test_many_checkpoints_at_an_executor(self):
        lasting = self.make_job(LASTING_TASKS)
        lasting.queue = "lasting"
        lasting.steps[0] |= {"long_running": True, "checkpointing": True}
        self.assertTrue(await self.caller.submit(lasting))

        async def all_run():
            return len(self.begun(lasting)) == LASTING_TASKS
        await self.wait_until("the lasting tasks run", all_run)
        for executor in self.fleet.executors:
            for run in executor.runs.values():
                run.checkpoint = "c" * CHECKPOINT_BYTES
        for _ in range(LATER_JOBS):
            await self.wait_until_done(await self.submit_tasks(2, 0.2))
        executor = self.fleet.executors[0]
        task, run = next(iter(executor.runs.items()))
        executor.end(task, run, "failed")

        async def runs_again():
            return any(one.runs[task].checkpoint for one in
                       self.fleet.executors if task in one.runs)
        await self.wait_until("the failed task resumes", runs_again)


if __name__ == "__main__":
    unittest.main()
