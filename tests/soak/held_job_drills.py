"""Drills of jobs that a leader holds: it can't load them, and the next one
can."""

import base64
import os
import signal
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from drill_case import JobDrillCase  # noqa: E402

TASKS = 12
MAX_TASK_S = 3.0  # some tasks end before the next leader is elected
TASK_STEP_S = 0.25


class HeldJobDrill(JobDrillCase):
    async def kill_leader(self):
        store = self.fleet.store
        holder = store.text(store.items.get("springstair/holder"))
        for number, process in enumerate(self.fleet.processes):
            if self.fleet.ip(1, number) + ":" in holder:
                process.signal(signal.SIGKILL)
                break
        else:
            self.fail("there is no leader")

        async def has_another_leader():
            now = store.text(store.items.get("springstair/holder"))
            return now and now != holder
        await self.wait_until("another leader is elected", has_another_leader)

    async def submit_tasks_of_several_lengths(self):
        job = self.caller.make_job()
        job.steps = [{"count": 1, "cpu": 300, "mem_mb": 100,
                      "traits": {"fails": False,
                                 "seconds": MAX_TASK_S - TASK_STEP_S * n}}
                     for n in range(TASKS)]
        job.queue = "quick"
        self.assertTrue(await self.caller.submit(job))
        return job

    # Guards against TWICE: ends of a held job's runs were acknowledged without
    # a record, and the leader that loaded the job started its tasks again.
    async def test_tasks_that_ended_while_their_job_was_held(self):
        store = self.fleet.store
        job = await self.submit_tasks_of_several_lengths()
        key = "springstair/jobs/" + job.ident

        async def all_have_begun():
            return sum(len(executor.runs) for executor in self.fleet.executors
                       ) + self.ended_tasks() >= TASKS

        async def nothing_runs():
            return not any(executor.runs for executor in self.fleet.executors)

        async def all_ends_are_acknowledged():
            return not any(executor.ended for executor in self.fleet.executors)

        await self.wait_until("all tasks have begun", all_have_begun)
        definition = store.items[key]["value"]
        damaged = base64.b64encode(b"{").decode()
        store.write([{"tls_key": key, "value": damaged}], [])
        await self.kill_leader()
        await self.wait_until("the runs have ended", nothing_runs)
        await self.wait_until("their ends are acknowledged",
                              all_ends_are_acknowledged)
        store.write([{"tls_key": key, "value": definition}], [])
        await self.kill_leader()
        await self.wait_until_done(job)
        twice = [breach for breach in self.record.breaches
                 if breach.startswith("TWICE")]
        self.assertEqual(twice, [])

    def ended_tasks(self):
        return sum(len(executor.ended) for executor in self.fleet.executors)


if __name__ == "__main__":
    unittest.main()
