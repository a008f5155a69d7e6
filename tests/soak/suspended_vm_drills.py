"""Drills of VMs that are suspended: the guard is stopped, and the executor
beside it does nothing while its steady clock stands still."""

import asyncio
import os
import signal
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from drill_case import JobDrillCase  # noqa: E402

TASKS = 6
TASK_S = 10.0
SUSPENDED_S = 3.5  # the longest suspension of the platform
LONGER_S = 5.0
RUNNING_S = 2.0  # leases are renewed meanwhile
SETTLED_S = 4.0


class SuspendedVmDrill(JobDrillCase):
    async def check_runs_in_one_place(self, length):
        job = await self.submit_tasks(TASKS, TASK_S)

        async def all_run():
            return sum(len(one.runs) for one in self.fleet.executors) == TASKS

        await self.wait_until("all tasks run", all_run)
        await asyncio.sleep(RUNNING_S)
        executor = max(self.fleet.executors, key=lambda one: len(one.runs))
        guard = self.fleet.processes[
            len(self.fleet.entries) + self.fleet.executors.index(executor)]
        executor.suspend()
        guard.signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        executor.resume()
        guard.signal(signal.SIGCONT)
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.record.breaches, [])
        await self.wait_until_done(job)
        self.assertEqual(self.record.breaches, [])

    # Guards against tasks that ran in two places once a suspended VM had woken:
    # its guard reported the executor's lease as expired.
    async def test_tasks_of_a_suspended_vm_run_in_one_place(self):
        await self.check_runs_in_one_place(SUSPENDED_S)

    async def known_red_tasks_of_a_vm_suspended_for_longer_run_in_one_place(
            self):
        await self.check_runs_in_one_place(LONGER_S)


if __name__ == "__main__":
    unittest.main()
