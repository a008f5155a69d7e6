"""Stand-in for the advice service, which decides which executors may run a
step and issues their tickets."""

import asyncio
import time

from wire import serve

VALID_MS = 2500
GOOD_SHARE = 0.6
MAX_WAITING = 32


class Advice:
    def __init__(self, draw):
        self.draw = draw
        self.verdicts = {}  # (step, machine): whether it may run there, fixed
        self.tickets = {}  # text: (step, executor id, issued at, expires at)
        self.lock = asyncio.Lock()
        self.waiting = 0

    async def start(self, address, port):
        self.server = await serve(address, port, self.handle)

    async def handle(self, _method, _path, _query, _headers, document):
        if self.waiting >= MAX_WAITING:
            return 429, {}
        self.waiting += 1
        async with self.lock:
            await asyncio.sleep(0.02 + 0.002 * len(document["workers"]))
        self.waiting -= 1
        good = [[incarnation, self.ticket(document["step"], incarnation)]
                for incarnation in document["workers"]
                if self.verdict(document["step"], incarnation)]
        return 200, {"good": good, "valid_ms": VALID_MS}

    def verdict(self, step, incarnation):
        # The machine, regardless of its incarnation.
        name = (step, incarnation.rsplit("-", 1)[0])
        if name not in self.verdicts:
            # At least one machine is allowed: otherwise the job never ends.
            first = not any(step == other for other, _ in self.verdicts)
            self.verdicts[name] = first or self.draw.random() < GOOD_SHARE
        return self.verdicts[name]

    def ticket(self, step, incarnation):
        text = f"{self.draw.getrandbits(48):012x}"
        now = time.monotonic()
        self.tickets[text] = (step, incarnation, now, now + VALID_MS / 1000)
        return text

    def admits(self, record, executor, order):
        """Whether a start of the queue "heavy" carries a valid ticket for its
        step and this executor's incarnation. Other queues need none."""
        job, _ = record.find_task(order["task"])
        if job is None or job.queue != "heavy":
            return True
        step, held_by, since, until = self.tickets.get(
            order.get("ticket"), (None, None, 0, 0))
        return (order["task"].rsplit(".", 1)[0] == step
                and held_by == executor.ident and since >= executor.since
                and time.monotonic() < until)
