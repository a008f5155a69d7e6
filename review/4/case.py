"""A side machine is suspended for some seconds while tasks run on its
executor, and wakes again."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from platform2 import CannotRun, Executor, Fleet, play  # noqa: E402

IDENT = "5c0e7a21d94b36f8"
SUSPENDED_S = 3.5  # as long as the site's node_freeze
TASK_S = 12.0
TASKS = 9


class SuspendableExecutor(Executor):
    """An executor whose machine may be suspended: it does nothing then, and
    its steady clock doesn't count that time."""

    def __init__(self, *arguments, **fields):
        self.suspended_at = None
        self.suspended_for = 0.0
        self.awake = asyncio.Event()
        self.awake.set()
        super().__init__(*arguments, **fields)

    def steady(self):
        """The machine's steady clock."""
        now = self.suspended_at or time.monotonic()
        return now - self.suspended_for

    def clock_ms(self):
        return int((self.steady() - self.clock_zero) * 1000) + self.clock_offset

    def suspend(self):
        self.suspended_at = time.monotonic()
        self.awake.clear()

    def wake(self):
        slept = time.monotonic() - self.suspended_at
        self.suspended_for += slept
        self.suspended_at = None
        for run in self.runs.values():
            run.began += slept  # no work was done meanwhile
        self.awake.set()

    async def beat(self):
        while True:
            await self.awake.wait()
            beats = asyncio.create_task(super().beat())
            while self.awake.is_set():
                await asyncio.sleep(0.01)
            beats.cancel()
            self.control.close()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            await self.awake.wait()
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.lease_deadline
            for task, run in list(self.runs.items()):
                if lapsed:
                    self.end(task, run, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self.end(task, run, "stopped")
                elif now - run.began >= run.seconds:
                    self.end(task, run, "done")

    async def handle(self, method, path, query, headers, order):
        await self.awake.wait()
        status, answer = await super().handle(method, path, query, headers,
                                              order)
        await self.awake.wait()
        return status, answer


async def case(record, trouble):
    fleet = Fleet(record, work_of=lambda task: TASK_S,
                  executor_type=SuspendableExecutor)

    def on_start(executor, task, number, order):
        others = [one.ident for one in fleet.executors
                  if one is not executor and task in one.runs
                  and one.awake.is_set()]
        if others:
            record.breach("TWICE", task, "run", number, "starts at",
                          executor.ident, "and runs at", others,
                          "which is awake")

    try:
        await fleet.start()
        for executor in fleet.executors:
            executor.on_start = on_start
        await fleet.ready()
        await asyncio.sleep(3)
        status, _ = await fleet.call(
            0, "POST", IDENT,
            {"spec": "nine tasks", "steps": [
                {"count": TASKS, "cpu": 8000, "mem_mb": 256,
                 "est_duration_ms": int(1000 * TASK_S)}]})
        if status != 200:
            raise CannotRun("the submission was not accepted")
        for _ in range(50):
            await asyncio.sleep(0.1)
            if sum(len(one.runs) for one in fleet.executors) == TASKS:
                break
        else:
            raise CannotRun("not all tasks were started")
        await asyncio.sleep(2)
        if trouble:
            machine, executor = fleet.sides[0], fleet.executors[0]
            left = executor.lease_deadline - executor.clock_ms()
            record.note(machine.name, "is suspended; runs there:",
                        sorted(executor.runs), f"lease left: {left} ms")
            executor.suspend()
            machine.signal(signal.SIGSTOP)
            await asyncio.sleep(SUSPENDED_S)
            executor.wake()
            machine.signal(signal.SIGCONT)
            left = executor.lease_deadline - executor.clock_ms()
            record.note(machine.name, "wakes; runs there:",
                        sorted(executor.runs), f"lease left: {left} ms")
        await asyncio.sleep(25)
        await fleet.call(1, "GET", IDENT)
    finally:
        fleet.end()


play(case, FOLDER)
