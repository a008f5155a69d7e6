"""Outages: many processes are killed at once and restart immediately, while
calls to executors are left unread, lose their answers or are refused; and
orders arrive late or twice. Each of these faults also occurs on its own. The
names of the fault methods are reported in the results."""

import asyncio
import signal

from faults import Faults

TROUBLE_BEFORE_S = (0.1, 1.0)  # executor faults before processes are killed
TROUBLE_AFTER_S = (0.3, 3.0)  # executor faults after processes are killed
BETWEEN_OUTAGES_S = (7, 25)
SILENCED_EXECUTORS = 2
# A new leader waits 10.5 s for the previous leader's lease grants to expire.
SILENCED_S = (8, 18)
SHARES = (0.0, 0.3, 0.8)  # shares of calls that meet a fault
MAX_CUTS = 3


class Outages(Faults):
    def kinds_of(self, _only):
        return [self.lose_guards, self.lose_all, self.lose_all_but_one,
                self.lose_all_twice, self.unread, self.lose_answers, self.busy,
                self.slow, self.hold_orders, self.cut_orders, self.cut_calls,
                self.cut_reports, self.lose_and_refuse, self.lose_and_refuse,
                self.lose_unlooked, self.lose_unlooked]

    # -- faults of all executors ---------------------------------------------

    async def on_workers(self, duration, **shares):
        """Injects faults into all executors at once, as on an overloaded
        machine."""
        self.record.note_fault("all executors", shares, f"{duration:.1f} s")
        for executor in self.fleet.executors:
            for name, value in shares.items():
                setattr(executor, name, value)
        await asyncio.sleep(duration)
        self.record.note_fault("all executors recover", *shares)
        for executor in self.fleet.executors:
            for name in shares:
                setattr(executor, name, 0.0)

    async def unread(self, duration):
        await self.on_workers(duration, unread_share=0.3)

    async def lose_answers(self, duration):
        await self.on_workers(duration, lost_share=0.3)

    async def busy(self, duration):
        await self.on_workers(duration, busy_share=0.4)

    async def slow(self, duration):
        await self.on_workers(duration, slow_share=0.4)

    async def lose_and_refuse(self, duration):
        """Calls that were executed without an answer are retried and then
        refused."""
        await self.on_workers(duration, lost_share=0.4, busy_share=0.4)

    # -- kills of many processes ---------------------------------------------

    async def lose(self, description, processes):
        draw_share = self.draw.choice
        await self.on_workers(
            self.draw.uniform(*TROUBLE_BEFORE_S),
            unread_share=draw_share(SHARES),
            lost_share=draw_share(SHARES))
        self.record.note_fault("SIGKILL to", description)
        for process in processes:
            process.signal(signal.SIGKILL)
        await self.on_workers(
            self.draw.uniform(*TROUBLE_AFTER_S), busy_share=draw_share(SHARES),
            lost_share=draw_share(SHARES),
            unread_share=draw_share(SHARES), slow_share=draw_share(SHARES))

    async def lose_guards(self, _duration):
        await self.lose("all guards",
                        [process for process in self.fleet.processes
                         if process.name in self.fleet.guards])

    async def lose_all(self, _duration):
        await self.lose("all processes", self.fleet.processes)

    async def lose_all_but_one(self, _duration):
        spared = self.victim()
        await self.lose(f"all but {spared.name}",
                        [process for process in self.fleet.processes
                         if process is not spared])

    async def lose_all_twice(self, duration):
        await self.lose_all(duration)
        await asyncio.sleep(self.draw.uniform(*BETWEEN_OUTAGES_S))
        await self.lose_all(duration)

    async def lose_unlooked(self, duration):
        """Some executors receive calls, but their answers are delayed, while
        all processes are killed. Their heartbeats still arrive."""
        links = self.draw.sample(self.links("executor"), SILENCED_EXECUTORS)
        silenced_s = self.draw.uniform(*SILENCED_S)
        for link in links:
            self.record.note_fault("silent_out", link.name,
                                f"until {silenced_s:.1f} s after the kill")
            link.silent_out = True
        await self.lose_all(duration)
        await asyncio.sleep(silenced_s)
        for link in links:
            self.record.note_fault("recovers", link.name)
            link.heal()

    # -- delayed and duplicate orders ----------------------------------------

    def links(self, prefix):
        return [link for link in self.fleet.links
                if link.name.startswith(prefix)]

    async def hold_orders(self, duration):
        """Delays orders on open connections, while orders on new connections
        overtake them."""
        links = self.links("to guard")
        self.record.note_fault("orders delayed", f"{duration:.1f} s")
        for link in links:
            link.hold_requests()
        await asyncio.sleep(duration)
        self.record.note_fault("orders no longer delayed")
        for link in links:
            link.held_in.clear()

    async def cut(self, prefix, duration):
        self.record.note_fault("connections cut after their requests:", prefix)
        for link in self.links(prefix):
            link.cuts_left = self.draw.randint(0, MAX_CUTS)
        await asyncio.sleep(duration)
        for link in self.links(prefix):
            link.cuts_left = 0

    async def cut_orders(self, duration):
        await self.cut("to guard", duration)

    async def cut_calls(self, duration):
        await self.cut("executor", duration)

    async def cut_reports(self, duration):
        await self.cut("to entry", duration)
