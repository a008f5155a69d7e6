"""What all drills of the job programs share: a fleet of real processes with the
soak's stand-ins, and a caller."""

import asyncio
import random
import shutil
import tempfile
import time
import unittest

from callers import Caller
from fleet import HOST, Fleet
from record import Record

TIMEOUT_S = 20  # fails a drill whose condition is not met in time
SHORT_TASK_S = 0.2
LONG_TASK_S = 3.0  # ends only after a new leader is elected
QUERY_SENT_S = 0.1  # enough for a query to reach the paused process


class JobDrillCase(unittest.IsolatedAsyncioTestCase):
    entries = 3
    limits = {}  # of each process, in place of the fleet's

    async def asyncSetUp(self):
        self.directory = tempfile.mkdtemp(prefix="springstair-drill-")
        self.record = Record()
        draw = random.Random(5)
        self.fleet = Fleet(draw, self.record, self.directory,
                           entries=self.entries, guards=2, limits=self.limits)
        await self.fleet.start()
        self.caller = Caller(self.fleet, self.record, draw)
        await self.wait_until("a job is accepted", self.accepts_job)

    async def asyncTearDown(self):
        self.caller.close()
        self.fleet.end()
        shutil.rmtree(self.directory)

    async def wait_until(self, description, condition):
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        self.fail("timed out waiting until " + description)

    async def accepts_job(self):
        status, _ = await self.submit(self.caller.make_job())
        return status == 200

    async def submit(self, job):
        steps = [{name: value for name, value in step.items()
                  if name != "traits"} for step in job.steps]
        answer = await self.caller.call(
            "POST", job, {"spec": job.spec, "steps": steps})
        self.record.on_answer(job, answer[0])
        return answer

    async def is_leader(self, address):
        store = self.fleet.store
        return address in store.text(store.items.get("springstair/holder"))

    async def query_state(self, entry, job):
        """The job's state as an entry reports it; None if it reports none."""
        connection = self.fleet.connection(entry)
        headers = {"Host": HOST, "Deadline-Ms": "2500"}
        status, answer = await connection.call(
            "GET", f"/{job.queue}/{job.ident}", None, headers)
        connection.close()
        return answer.get("state") if status == 200 else None

    async def has_state(self, entry, job, state):
        return await self.query_state(entry, job) == state

    async def submit_tasks(self, count, seconds):
        """Submits a job of one step whose tasks don't fail by themselves."""
        job = self.caller.make_job()
        job.steps = [{"count": count, "cpu": 500, "mem_mb": 100,
                      "traits": {"fails": False, "seconds": seconds}}]
        job.queue = "quick"
        self.assertTrue(await self.caller.submit(job))
        return job

    async def wait_until_done(self, job):
        await self.wait_until("the job has succeeded",
                         lambda: self.has_state(0, job, "succeeded"))
