"""A stand-in of an executor and its worker: it runs tasks under a lease, on
orders that it may carry out late, and tells every start and end to the
soak's record."""

import asyncio
import random
import time

from wire import Connection, Reset, Silence, serve

HEARTBEAT_S = 1.0
TICK_S = 0.02
LONGEST_HOLD_MS = 6000
STOP_S = 0.1
UNREAD_S = (0.5, 2.0)  # a start's own limit is 2 s
SLOW_S = (0.3, 2.0)
KEEPS_ID = 0.5  # of lives that follow a crash under a task


class Run:
    def __init__(self, number, call, checkpoint, traits, now):
        self.number = number
        self.call = call  # that began it, as the story names it
        self.checkpoint = checkpoint
        self.traits = traits
        self.began = now
        self.stopping = None  # when a stop takes effect


class Executor:
    def __init__(self, name, zone, draw, record, guard, capacity, advice,
                 enforces):
        self.name = name
        self.zone = zone
        self.draw = draw
        self.record = record
        self.guard = Connection(guard)
        self.capacity = capacity
        self.advice = advice
        self.enforces = enforces  # rejects what does not fit
        self.births = random.Random(name)  # drawn apart: seeds keep their
        self.lives = 0                      # meaning
        self.lives_of = {}  # port of a connection: the life that took it
        self.news = asyncio.Event()
        self.down = False
        self.late_share = 0.0
        self.is_late = False  # the order at hand was held up here
        self.call = ""  # the order at hand, as the story names it
        self.senders = {}  # port of a connection: the process that opened it
        self.unread_share = 0.0  # of calls that wait before they are read
        self.lost_share = 0.0  # of calls that are carried out, unanswered
        self.busy_share = 0.0  # of calls that are refused, whatever runs
        self.slow_share = 0.0  # of calls that are answered slowly
        self.fails_all = False
        self.still = False
        self.begin_life()

    def begin_life(self, keeps_id=False):
        """A life that keeps the id of the one before knows nothing of it; its
        counts and its clock start anew, and its birth tells the two apart."""
        self.lives += 1
        if not keeps_id:
            self.ident = f"{self.name}-{self.lives}"
        # The time of day may have stepped back meanwhile.
        self.born = (int(time.time() * 1000) +
                     self.lives * self.births.choice((-1, 1)))
        self.life = f"{self.ident}@{self.born}"  # as the record names it
        self.since = time.monotonic()
        self.clock_offset = (self.draw.randrange(10**6) -
                             int(self.since * 1000))
        self.runs = {}
        self.highest = {}  # task: highest run stopped or ended here
        self.ended = []
        self.count = 0
        self.fence = 0
        self.deadline = 0
        self.sequence = 0
        self.news.set()  # who waits for an end of the former life
        self.news = asyncio.Event()

    def clock_ms(self):
        return int(time.monotonic() * 1000) + self.clock_offset

    async def start(self, address, port):
        self.address = f"{address}:{port}"
        self.server = await serve(address, port, self.handle)
        self.tasks = [asyncio.create_task(self.beat()),
                      asyncio.create_task(self.work())]

    def crash(self, back_after_s, keeps_id=False):
        """All that runs is gone; another life begins later, or at once."""
        for task in self.runs:
            self.record.vanished(self, task)
        self.begin_life(keeps_id)
        if not back_after_s:
            return
        self.down = True
        asyncio.get_running_loop().call_later(
            back_after_s, lambda: setattr(self, "down", False))

    # -- by itself -------------------------------------------------------------

    async def beat(self):
        while True:
            if not self.down:
                await self.tell(*self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def heartbeat(self):
        self.sequence += 1
        return (f"/springstair/executors/{self.ident}/heartbeat",
                {"service": "s", "address": self.address, "zone": self.zone,
                 "slots": 8, "state": "ready", "seq": self.sequence,
                 "capacity": self.capacity, "labels": ["a", "r1"],
                 "clock_ms": self.clock_ms(), "born": self.born})

    async def tell(self, path, what):
        await self.guard.call("POST", path, what, timeout=1)

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.deadline
            if lapsed:
                self.record.lapsed(self)
            for task, run in list(self.runs.items()):
                crash = run.traits["crashes_after"]
                if crash is not None and now - run.began >= crash:
                    self.record.note("crash under", task, self.life)
                    self.crash(self.draw.uniform(1, 4),
                               self.births.random() < KEEPS_ID)
                    break
                if lapsed:
                    self.end(task, run, "lapsed")
                elif run.stopping and now >= run.stopping:
                    self.end(task, run, "stopped")
                elif self.still or run.traits["lasts"]:
                    continue
                elif now - run.began >= run.traits["seconds"]:
                    failed = self.fails_all or run.traits["fails"] or (
                        self.draw.random() < 0.03)
                    self.end(task, run, "failed" if failed else "done")

    def end(self, task, run, how):
        del self.runs[task]
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.count += 1
        self.ended.append([self.count, task, run.number, how, run.checkpoint])
        self.record.ended(self, task, run.number, how)
        self.news.set()
        self.news = asyncio.Event()

    # -- orders ----------------------------------------------------------------

    async def handle(self, _method, path, _query, headers, document):
        if self.down:
            raise Silence
        self.end_if_taken_before(headers["peer-port"])
        ident = headers.get("target-executor", self.ident)
        life = self.life  # that took the call, whichever was meant
        call = self.note_call(path, headers, document)
        if self.draw.random() < self.late_share:
            self.note(call, "answer lost: silence; carried out late")
            asyncio.get_running_loop().call_later(
                self.draw.uniform(1, 5), self.carry_out_late, call, path, ident,
                document, life)
            raise Silence
        await self.leave_unread(call)
        if life != self.life:
            raise Reset  # it went with the process that had it
        status, answer = self.answer(call, path, ident, document)
        if self.happens(self.slow_share):
            await asyncio.sleep(self.draw.uniform(*SLOW_S))
        if path.endswith("/hold") and status == 200:
            await self.wait_for_end(document)
            if self.down or life != self.life:
                raise Reset
            answer = self.lists()
        self.lose_answer(call)
        return status, answer | {"clock_ms": self.clock_ms()}

    def end_if_taken_before(self, port):
        """A connection ends with the life that took it."""
        if self.lives_of.setdefault(port, self.life) != self.life:
            del self.lives_of[port]
            raise Reset

    def happens(self, share):
        return share > 0 and self.draw.random() < share

    async def leave_unread(self, call):
        """The call waits in its socket, whether or not its sender lives; calls
        on other connections are answered meanwhile."""
        if not self.happens(self.unread_share):
            return
        self.note(call, "waits unread")
        await asyncio.sleep(self.draw.uniform(*UNREAD_S))
        self.note(call, "is read")
        if self.down:
            raise Silence

    def answer(self, call, path, ident, order):
        """What the call is answered; a busy executor does nothing for it."""
        if self.happens(self.busy_share):
            status = self.draw.choice((429, 503))
            self.note(call, status, "busy")
            self.record.refused[f"{status} busy"] += bool(call)
            return status, {}
        return self.carry_out(call, path, ident, order)

    def lose_answer(self, call):
        if self.happens(self.lost_share):
            how = self.draw.choice((Silence, Reset))
            self.note(call, "answer lost:", how.__name__)
            raise how

    def note_call(self, path, headers, order):
        """The story's name of a call to start or stop; others have none."""
        what = path.removeprefix("/springstair/")
        if what not in ("run-start", "run-stop"):
            return ""
        sender = self.senders.get(headers["peer-port"], "?")
        return self.record.called(self, what, order, sender)

    def note(self, call, *words):
        if call:
            self.record.note(call, *words)

    def carry_out_late(self, call, path, ident, order, life):
        """No bound of time holds for what the executor itself holds up; it
        goes with its life."""
        if life != self.life:
            return
        self.is_late = True
        self.carry_out(call, path, ident, order)
        self.is_late = False

    def carry_out(self, call, path, ident, order):
        self.call = call
        status, answer = self.decide(path, ident, order)
        self.note(call, status, *answer.values())
        if call and status != 200:
            self.record.refused[" ".join(map(str, (status, *answer.values())))
                                ] += 1
        return status, answer

    def decide(self, path, ident, order):
        if self.down or ident != self.ident:
            return 421, {}
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = order.get("fencing_token", 0)
        if path.endswith("/run-start"):
            return self.start_run(order)
        if path.endswith("/run-stop"):
            self.stop_run(order["task"], order["run"])
        if path.endswith("/hold"):
            self.extend(order)
            seen = order.get("last_seen", 0)
            for row in [row for row in self.ended if row[0] <= seen]:
                self.record.acknowledged(self, row[1], row[2], row[3])
            self.ended = [row for row in self.ended if row[0] > seen]
        return 200, {}

    def extend(self, order):
        asked = order.get("deadline_ms", 0)
        most = self.clock_ms() + LONGEST_HOLD_MS
        self.deadline = max(self.deadline, min(asked, most))

    def start_run(self, order):
        task, number = order["task"], order["run"]
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        here = self.runs.get(task)
        if here and here.number == number:
            self.extend(order)
            return 200, {}
        if here or number <= self.highest.get(task, 0):
            self.extend(order)
            return 409, {"reason": "old"}
        if not self.advice.admits(self.record, self, order):
            return 409, {"reason": "ticket"}
        if self.enforces and self.record.lacks(self, task):
            self.extend(order)
            return 409, {"reason": "room"}
        traits = self.record.starts(self, task, number, order, self.call)
        self.extend(order)
        self.runs[task] = Run(number, self.call, order.get("checkpoint", ""),
                              traits, time.monotonic())
        return 200, {}

    def stop_run(self, task, number):
        run = self.runs.get(task)
        if run and run.number <= number:
            run.stopping = run.stopping or time.monotonic() + STOP_S
        self.highest[task] = max(self.highest.get(task, 0), number)

    async def wait_for_end(self, order):
        seen = order.get("last_seen", 0)
        if any(row[0] > seen for row in self.ended):
            return
        try:
            async with asyncio.timeout(order.get("wait_ms", 0) / 1000):
                await self.news.wait()
        except TimeoutError:
            pass

    def lists(self):
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            share = (now - run.began) / run.traits["seconds"]
            percent = 100 if run.traits["lasts"] else min(99, int(100 * share))
            running.append([task, run.number, run.checkpoint,
                            0 if self.still else percent, 100])
        return {"born": self.born, "running": running,
                "ended": self.ended[:500]}
