"""Faults injected from outside the programs, drawn from a seed. Faults may
overlap. The names of the fault methods are reported in the results."""

import asyncio
import signal
import time

from executor import KEEPS_ID_SHARE
from fleet import ZONES

BETWEEN_REPORTS_S = 0.6  # longer than the guards' report interval of 0.5 s
CLOSURE_FACTOR = 3  # makes most closures outlast record.CLOSURE_DEADLINE_S


class Faults:
    def __init__(self, fleet, record, draw, only=None):
        self.fleet = fleet
        self.record = record
        self.draw = draw
        self.kinds = self.kinds_of(only)
        for kind in self.kinds:
            record.fault_counts[kind.__name__] += 0  # reported even if zero

    def kinds_of(self, only):
        """The fault kinds to draw from. Links and closures have their own
        generators, so that they don't change the other draws of a seed."""
        if only == "silent links":
            return [self.hush, self.hush, self.hush_all, self.hold_back]
        if only == "closures":
            return [self.close]
        return [self.kill, self.kill, self.pause, self.stop, self.roll,
                self.delay, self.reset, self.silence, self.half_cut,
                self.store_away, self.store_slow, self.store_loses,
                self.store_late, self.store_forgets, self.store_revokes,
                self.worker_crash, self.worker_late, self.worker_fails,
                self.worker_still, self.configure, self.kill_all]

    async def run(self, seconds, gap_s):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = []
        while loop.time() < end:
            gap = self.draw.expovariate(1 / gap_s)
            await asyncio.sleep(min(gap, end - loop.time()))
            if loop.time() >= end:
                break
            kind = self.draw.choice(self.kinds)
            duration = self.draw.uniform(0.3, 5)
            self.record.fault_counts[kind.__name__] += 1
            running.append(asyncio.create_task(kind(duration)))
        for task in running:
            task.cancel()
        for error in await asyncio.gather(*running, return_exceptions=True):
            if not isinstance(error, (asyncio.CancelledError, type(None))):
                self.record.breach("HARNESS", "injecting a fault failed:",
                                   repr(error))

    def process(self):
        return self.draw.choice(self.fleet.processes)

    def leader(self):
        """The leader according to the store; any process if there is none."""
        item = self.fleet.store.items.get("springstair/holder")
        address = self.fleet.store.text(item)
        for process in self.fleet.processes:
            if process.settings["announced_address"] in address:
                return process
        return self.process()

    def victim(self):
        return self.leader() if self.draw.random() < 0.4 else self.process()

    # -- processes -----------------------------------------------------------

    async def kill(self, _duration):
        process = self.victim()
        self.record.note_fault("SIGKILL", process.name)
        process.signal(signal.SIGKILL)

    async def kill_all(self, _duration):
        self.record.note_fault("SIGKILL to all")
        for process in self.fleet.processes:
            process.signal(signal.SIGKILL)

    async def stop(self, _duration):
        process = self.victim()
        self.record.note_fault("SIGTERM", process.name)
        process.signal(signal.SIGTERM)

    async def roll(self, duration):
        for process in list(self.fleet.processes):
            self.record.note_fault("SIGTERM", process.name, "in turn")
            process.signal(signal.SIGTERM)
            await asyncio.sleep(duration / 5)

    async def pause(self, duration):
        process = self.victim()
        self.record.note_fault("SIGSTOP", process.name, f"{duration:.1f} s")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        self.record.note_fault("SIGCONT", process.name)
        process.signal(signal.SIGCONT)

    # -- links ---------------------------------------------------------------

    async def on_link(self, fault, duration, **fields):
        link = self.draw.choice(self.fleet.links)
        self.record.note_fault(fault, link.name, f"{duration:.1f} s")
        for name, value in fields.items():
            setattr(link, name, value)
        await asyncio.sleep(duration)
        self.record.note_fault("recovers", link.name)
        link.heal()

    async def delay(self, duration):
        await self.on_link("delay", duration,
                           delay_s=self.draw.uniform(0.05, 0.6))

    async def silence(self, duration):
        await self.on_link("silence", duration, silent_in=True,
                           silent_out=True)

    async def half_cut(self, duration):
        side = self.draw.choice(("silent_in", "silent_out"))
        await self.on_link(side, duration, **{side: True})

    async def reset(self, _duration):
        link = self.draw.choice(self.fleet.links)
        self.record.note_fault("reset", link.name)
        link.reset()

    async def hush(self, _duration):
        link = self.draw.choice(self.fleet.links)
        self.record.note_fault("connections silenced", link.name,
                               len(link.open))
        link.silence_connections()

    async def hush_all(self, _duration):
        self.record.note_fault("connections silenced, all links")
        for link in self.fleet.links:
            link.silence_connections()

    async def hold_back(self, duration):
        """Delays what a guard sends to entries until after it is killed, when
        its next incarnation has reported from the same address."""
        guard = self.draw.choice([process for process in self.fleet.processes
                                  if process.name in self.fleet.guards])
        self.record.note_fault("held back and SIGKILL", guard.name,
                            f"{duration:.1f} s")
        links = [link for link in self.fleet.links
                 if link.name.startswith("to entry")]
        for link in links:
            link.hold()
        await asyncio.sleep(BETWEEN_REPORTS_S)
        guard.signal(signal.SIGKILL)
        await asyncio.sleep(duration)
        for link in links:
            link.heal()

    # -- the store -----------------------------------------------------------

    async def on_store(self, duration, **fields):
        store = self.fleet.store
        self.record.note_fault("store", fields, f"{duration:.1f} s")
        defaults = {name: getattr(type(store)(None), name) for name in fields}
        for name, value in fields.items():
            setattr(store, name, value)
        await asyncio.sleep(duration)
        self.record.note_fault("store recovers", *fields)
        for name, value in defaults.items():
            setattr(store, name, value)

    async def store_away(self, duration):
        await self.on_store(duration, outage=self.draw.choice(
            ("silent", "busy", "reset")))

    async def store_slow(self, duration):
        await self.on_store(duration, delay_s=self.draw.uniform(0.05, 0.4))

    async def store_loses(self, duration):
        await self.on_store(duration, lost_share=0.3)

    async def store_late(self, duration):
        await self.on_store(duration, late_share=0.3)

    async def store_forgets(self, _duration):
        self.record.note_fault("store discards its history")
        self.fleet.store.compact_history()

    async def store_revokes(self, _duration):
        self.record.note_fault("store revokes leased keys")
        self.fleet.store.revoke("springstair/")

    async def configure(self, _duration):
        self.record.note_fault("a newer configuration")
        self.fleet.configure()

    async def close(self, duration):
        """Closes a zone for a while. Not logged as a fault, since the bounds
        on time hold during a closure."""
        zone = self.draw.choice(ZONES)
        if zone in self.record.closed:
            return
        self.fleet.store.close(zone)
        self.record.closed[zone] = time.monotonic()
        self.record.note("closed", zone, f"{CLOSURE_FACTOR * duration:.1f} s")
        await asyncio.sleep(CLOSURE_FACTOR * duration)
        self.fleet.store.open(zone)
        del self.record.closed[zone]
        self.record.note("open", zone)

    # -- workers -------------------------------------------------------------

    async def worker_crash(self, duration):
        executor = self.draw.choice(self.fleet.executors)
        self.record.note_fault("crash", executor.incarnation,
                               f"{duration:.1f} s")
        executor.crash(duration,
                       executor.restart_draw.random() < KEEPS_ID_SHARE)

    async def on_worker(self, duration, **fields):
        executor = self.draw.choice(self.fleet.executors)
        self.record.note_fault(executor.incarnation, fields,
                               f"{duration:.1f} s")
        for name, value in fields.items():
            setattr(executor, name, value)
        await asyncio.sleep(duration)
        self.record.note_fault(executor.incarnation, "recovers")
        for name, value in fields.items():
            setattr(executor, name, type(value)(0))

    async def worker_late(self, duration):
        await self.on_worker(duration, late_share=0.3)

    async def worker_fails(self, duration):
        await self.on_worker(duration, fails_all=True)

    async def worker_still(self, duration):
        await self.on_worker(duration, stalled=True)
