"""Executors that start again under the id that they had, at once or after
seconds: alone, some together, while calls wait unread, while their former
life's word is still on its way, and together with all of our processes."""

import asyncio
import signal

from outages import Outages

AWAY_S = (0.2, 4.0)
LATE_S = (0.3, 3.0)  # of a heartbeat that its sender's next life overtakes
CALLS_WAIT_S = (0.1, 0.6)  # before the crash


class Restarts(Outages):
    def kinds_of(self, _only):
        return [self.restart, self.restart, self.restart_some,
                self.restart_twice, self.restart_unread, self.restart_lost,
                self.restart_late_word, self.restart_with_all]

    def one(self):
        return self.draw.choice(self.fleet.executors)

    def away_s(self):
        """Half of them are back at once."""
        return self.draw.choice((0, self.draw.uniform(*AWAY_S)))

    def start_again(self, one):
        away = self.away_s()
        self.record.disturb("starts again", one.life, f"after {away:.1f} s")
        one.crash(away, keeps_id=True)

    async def restart(self, _length):
        self.start_again(self.one())

    async def restart_some(self, _length):
        for one in self.draw.sample(self.fleet.executors,
                                    len(self.fleet.executors) // 2):
            self.start_again(one)

    async def restart_twice(self, _length):
        one = self.one()
        self.start_again(one)
        await asyncio.sleep(self.draw.uniform(*LATE_S))
        self.start_again(one)

    async def restart_amid(self, length, **shares):
        trouble = asyncio.create_task(self.on_workers(length, **shares))
        await asyncio.sleep(self.draw.uniform(*CALLS_WAIT_S))
        self.start_again(self.one())
        await trouble

    async def restart_unread(self, length):
        await self.restart_amid(length, unread_share=0.3)

    async def restart_lost(self, length):
        await self.restart_amid(length, lost_share=0.3)

    async def restart_late_word(self, _length):
        one = self.one()
        word = one.heartbeat()
        self.start_again(one)
        await asyncio.sleep(self.draw.uniform(*LATE_S))
        self.record.disturb("a former life's heartbeat comes", one.life)
        await one.tell(*word)

    async def restart_with_all(self, _length):
        self.record.disturb("SIGKILL to all, and executors start again")
        for one in self.fleet.processes:
            one.signal(signal.SIGKILL)
        for one in self.draw.sample(self.fleet.executors,
                                    len(self.fleet.executors) // 2):
            self.start_again(one)
