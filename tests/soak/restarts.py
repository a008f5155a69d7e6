"""Executor restarts under the same id, at once or after some seconds: one
executor, several together, while calls are left unread or unanswered, while a
heartbeat of the past incarnation is in flight, and together with all of our
processes. The names of the fault methods are reported in the results."""

import asyncio
import signal

from outages import Outages

DOWNTIME_S = (0.2, 4.0)
DELAY_S = (0.3, 3.0)  # until a second restart; delay of a stale heartbeat
BEFORE_CRASH_S = (0.1, 0.6)  # from the start of a fault to the crash


class Restarts(Outages):
    def kinds_of(self, _only):
        return [self.restart, self.restart, self.restart_some,
                self.restart_twice, self.restart_unread, self.restart_lost,
                self.restart_late_word, self.restart_with_all]

    def pick_executor(self):
        return self.draw.choice(self.fleet.executors)

    def downtime_s(self):
        """Zero in half of the cases."""
        return self.draw.choice((0, self.draw.uniform(*DOWNTIME_S)))

    def restart_executor(self, executor):
        downtime_s = self.downtime_s()
        self.record.note_fault("restarts", executor.incarnation,
                               f"after {downtime_s:.1f} s")
        executor.crash(downtime_s, keeps_id=True)

    async def restart(self, _duration):
        self.restart_executor(self.pick_executor())

    async def restart_some(self, _duration):
        for executor in self.draw.sample(self.fleet.executors,
                                    len(self.fleet.executors) // 2):
            self.restart_executor(executor)

    async def restart_twice(self, _duration):
        executor = self.pick_executor()
        self.restart_executor(executor)
        await asyncio.sleep(self.draw.uniform(*DELAY_S))
        self.restart_executor(executor)

    async def restart_during(self, duration, **shares):
        trouble = asyncio.create_task(self.on_workers(duration, **shares))
        await asyncio.sleep(self.draw.uniform(*BEFORE_CRASH_S))
        self.restart_executor(self.pick_executor())
        await trouble

    async def restart_unread(self, duration):
        await self.restart_during(duration, unread_share=0.3)

    async def restart_lost(self, duration):
        await self.restart_during(duration, lost_share=0.3)

    async def restart_late_word(self, _duration):
        executor = self.pick_executor()
        heartbeat = executor.make_heartbeat()
        self.restart_executor(executor)
        await asyncio.sleep(self.draw.uniform(*DELAY_S))
        self.record.note_fault("a past incarnation's heartbeat arrives",
                               executor.incarnation)
        await executor.send(*heartbeat)

    async def restart_with_all(self, _duration):
        self.record.note_fault("SIGKILL to all, and executors restart")
        for process in self.fleet.processes:
            process.signal(signal.SIGKILL)
        for executor in self.draw.sample(self.fleet.executors,
                                    len(self.fleet.executors) // 2):
            self.restart_executor(executor)
