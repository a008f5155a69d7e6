"""Drills of the job programs: one fault each, with real processes beside the
soak's stand-ins."""

import asyncio
import os
import random
import shutil
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from callers import Caller  # noqa: E402
from fleet import Fleet  # noqa: E402
from record import Record  # noqa: E402

UP_S = 20  # ends a drill whose fleet does not come up
SOON_S = 1.6  # a caller that is given up on waits no longer for its answer


class JobDrill(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.mkdtemp(prefix="springstair-drill-")
        self.record = Record()
        draw = random.Random(5)
        self.fleet = Fleet(draw, self.record, self.directory, guards=2)
        await self.fleet.start()
        self.caller = Caller(self.fleet, self.record, draw)
        await self.until("a job is accepted", self.accepts)

    async def asyncTearDown(self):
        self.caller.close()
        self.fleet.end()
        shutil.rmtree(self.directory)

    async def until(self, what, condition):
        end = time.monotonic() + UP_S
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        self.fail("waited in vain: " + what)

    async def accepts(self):
        status, _ = await self.submit(self.caller.make_job())
        return status == 200

    async def submit(self, job):
        steps = [{name: value for name, value in step.items()
                  if name != "traits"} for step in job.steps]
        answer = await self.caller.call(
            "POST", job, {"spec": job.spec, "steps": steps})
        self.record.answered(job, answer[0])
        return answer

    async def test_a_silent_store_is_told_soon(self):
        self.fleet.store.away = "silent"
        jobs = [self.caller.make_job() for _ in range(8)]
        for job in jobs:
            began = time.monotonic()
            status, _ = await self.submit(job)
            took = time.monotonic() - began
            self.assertIn(status, (503, 504))
            self.assertLess(took, SOON_S, f"answered {status}")
        self.fleet.calm()
        await self.until("jobs are accepted again", self.accepts)
        await asyncio.sleep(1)
        self.record.check_end()
        self.assertEqual([one for one in self.record.breaches
                          if one.startswith("REFUSED")], [])

    async def test_the_office_moves_to_the_larger_entry(self):
        larger = self.fleet.processes[0].settings["announced_address"]

        async def holds():
            store = self.fleet.store
            return larger in store.text(store.items.get("springstair/holder"))

        await self.until("entry-0 holds", holds)
        await self.until("jobs are accepted", self.accepts)


if __name__ == "__main__":
    unittest.main()
