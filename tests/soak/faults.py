"""Faults from outside the programs, drawn from a seed: each begins at some
moment, lasts for a while, and others may begin meanwhile."""

import asyncio
import signal
import time

from executor import KEEPS_ID
from fleet import ZONES

BETWEEN_REPORTS_S = 0.6  # guards report twice a second
CLOSED_X = 3  # closures outlast the bound on starts, most of them


class Faults:
    def __init__(self, fleet, record, draw, only=None):
        self.fleet = fleet
        self.record = record
        self.draw = draw
        self.kinds = self.kinds_of(only)
        for kind in self.kinds:
            record.played[kind.__name__] += 0  # told also if never played

    def kinds_of(self, only):
        """Some are drawn for themselves: seeds keep their meaning."""
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
            length = self.draw.uniform(0.3, 5)
            self.record.played[kind.__name__] += 1
            running.append(asyncio.create_task(kind(length)))
        for one in running:
            one.cancel()
        for error in await asyncio.gather(*running, return_exceptions=True):
            if not isinstance(error, (asyncio.CancelledError, type(None))):
                self.record.breach("HARNESS", "a fault failed:", repr(error))

    def process(self):
        return self.draw.choice(self.fleet.processes)

    def holder(self):
        """The entry that holds the jobs, by the store."""
        item = self.fleet.store.items.get("springstair/holder")
        address = self.fleet.store.text(item)
        for one in self.fleet.processes:
            if one.settings["announced_address"] in address:
                return one
        return self.process()

    def victim(self):
        return self.holder() if self.draw.random() < 0.4 else self.process()

    # -- processes ---------------------------------------------------------------

    async def kill(self, _length):
        one = self.victim()
        self.record.disturb("SIGKILL", one.name)
        one.signal(signal.SIGKILL)

    async def kill_all(self, _length):
        self.record.disturb("SIGKILL to all")
        for one in self.fleet.processes:
            one.signal(signal.SIGKILL)

    async def stop(self, _length):
        one = self.victim()
        self.record.disturb("SIGTERM", one.name)
        one.signal(signal.SIGTERM)

    async def roll(self, length):
        for one in list(self.fleet.processes):
            self.record.disturb("SIGTERM", one.name, "in turn")
            one.signal(signal.SIGTERM)
            await asyncio.sleep(length / 5)

    async def pause(self, length):
        one = self.victim()
        self.record.disturb("SIGSTOP", one.name, f"{length:.1f} s")
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        self.record.disturb("SIGCONT", one.name)
        one.signal(signal.SIGCONT)

    # -- links -------------------------------------------------------------------

    async def on_link(self, what, length, **fields):
        link = self.draw.choice(self.fleet.links)
        self.record.disturb(what, link.name, f"{length:.1f} s")
        for name, value in fields.items():
            setattr(link, name, value)
        await asyncio.sleep(length)
        self.record.disturb("heals", link.name)
        link.heal()

    async def delay(self, length):
        await self.on_link("delay", length,
                           delay_s=self.draw.uniform(0.05, 0.6))

    async def silence(self, length):
        await self.on_link("silence", length, silent_in=True, silent_out=True)

    async def half_cut(self, length):
        side = self.draw.choice(("silent_in", "silent_out"))
        await self.on_link(side, length, **{side: True})

    async def reset(self, _length):
        link = self.draw.choice(self.fleet.links)
        self.record.disturb("reset", link.name)
        link.reset()

    async def hush(self, _length):
        link = self.draw.choice(self.fleet.links)
        self.record.disturb("silent for good", link.name, len(link.open))
        link.hush()

    async def hush_all(self, _length):
        self.record.disturb("silent for good, all links")
        for link in self.fleet.links:
            link.hush()

    async def hold_back(self, length):
        """What a guard sends to entries comes after its end, when its
        successor has reported from the same address."""
        guard = self.draw.choice([one for one in self.fleet.processes
                                  if one.name in self.fleet.guards])
        self.record.disturb("held back and SIGKILL", guard.name,
                            f"{length:.1f} s")
        links = [link for link in self.fleet.links
                 if link.name.startswith("to entry")]
        for link in links:
            link.hold()
        await asyncio.sleep(BETWEEN_REPORTS_S)
        guard.signal(signal.SIGKILL)
        await asyncio.sleep(length)
        for link in links:
            link.heal()

    # -- the store ---------------------------------------------------------------

    async def on_store(self, length, **fields):
        store = self.fleet.store
        self.record.disturb("store", fields, f"{length:.1f} s")
        usual = {name: getattr(type(store)(None), name) for name in fields}
        for name, value in fields.items():
            setattr(store, name, value)
        await asyncio.sleep(length)
        self.record.disturb("store heals", *fields)
        for name, value in usual.items():
            setattr(store, name, value)

    async def store_away(self, length):
        await self.on_store(length, away=self.draw.choice(
            ("silent", "busy", "reset")))

    async def store_slow(self, length):
        await self.on_store(length, delay_s=self.draw.uniform(0.05, 0.4))

    async def store_loses(self, length):
        await self.on_store(length, lost_share=0.3)

    async def store_late(self, length):
        await self.on_store(length, late_share=0.3)

    async def store_forgets(self, _length):
        self.record.disturb("store forgets its history")
        self.fleet.store.forget_history()

    async def store_revokes(self, _length):
        self.record.disturb("store revokes leased keys")
        self.fleet.store.revoke("springstair/")

    async def configure(self, _length):
        self.record.disturb("a newer configuration")
        self.fleet.configure()

    async def close(self, length):
        """No disturbance: it excuses nothing."""
        zone = self.draw.choice(ZONES)
        if zone in self.record.closed:
            return
        self.fleet.store.close(zone)
        self.record.closed[zone] = time.monotonic()
        self.record.note("closed", zone, f"{CLOSED_X * length:.1f} s")
        await asyncio.sleep(CLOSED_X * length)
        self.fleet.store.open(zone)
        del self.record.closed[zone]
        self.record.note("open", zone)

    # -- workers -----------------------------------------------------------------

    async def worker_crash(self, length):
        one = self.draw.choice(self.fleet.executors)
        self.record.disturb("crash", one.life, f"{length:.1f} s")
        one.crash(length, one.births.random() < KEEPS_ID)

    async def on_worker(self, length, **fields):
        one = self.draw.choice(self.fleet.executors)
        self.record.disturb(one.life, fields, f"{length:.1f} s")
        for name, value in fields.items():
            setattr(one, name, value)
        await asyncio.sleep(length)
        self.record.disturb(one.life, "heals")
        for name, value in fields.items():
            setattr(one, name, type(value)(0))

    async def worker_late(self, length):
        await self.on_worker(length, late_share=0.3)

    async def worker_fails(self, length):
        await self.on_worker(length, fails_all=True)

    async def worker_still(self, length):
        await self.on_worker(length, still=True)
