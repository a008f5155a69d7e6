"""A stand-in of an executor and its worker: it runs tasks under a lease, on
orders that it may carry out late, and tells every start and end to the
soak's record."""

import asyncio
import random
import time

from wire import Connection, Reset, Silence, serve

HEARTBEAT_S = 1.0
TICK_S = 0.02
MAX_LEASE_MS = 6000
STOP_S = 0.1
UNREAD_S = (0.5, 2.0)  # a start's own limit is 2 s
SLOW_S = (0.3, 2.0)
KEEPS_ID_SHARE = 0.5  # of incarnation_count that follow a crash under a task


class Run:
    def __init__(self, number, call, checkpoint, traits, now):
        self.number = number
        self.call = call  # that began it, as the log names it
        self.checkpoint = checkpoint
        self.traits = traits
        self.began = now
        self.stops_at = None  # when a stop takes effect


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
        self.restart_draw = random.Random(name)  # drawn apart: seeds keep their
        self.incarnation_count = 0                      # meaning
        self.incarnation_of_port = {}  # port of a connection: the incarnation that took it
        self.changed = asyncio.Event()
        self.down = False
        self.late_share = 0.0
        self.order_delayed = False  # the order at hand was held up here
        self.call = ""  # the order at hand, as the log names it
        self.senders = {}  # port of a connection: the process that opened it
        self.unread_share = 0.0  # of calls that wait before they are read
        self.lost_share = 0.0  # of calls that are carried out, unanswered
        self.busy_share = 0.0  # of calls that are refused, whatever runs
        self.slow_share = 0.0  # of calls that are answered slowly
        self.fails_all = False
        self.stalled = False
        self.begin_incarnation()

    def begin_incarnation(self, keeps_id=False):
        """A incarnation that keeps the id of the one before knows nothing of it; its
        counts and its clock start anew, and its birth tells the two apart."""
        self.incarnation_count += 1
        if not keeps_id:
            self.ident = f"{self.name}-{self.incarnation_count}"
        # The time of day may have stepped back meanwhile.
        self.born = (int(time.time() * 1000) +
                     self.incarnation_count * self.restart_draw.choice((-1, 1)))
        self.incarnation = f"{self.ident}@{self.born}"  # as the record names it
        self.since = time.monotonic()
        self.clock_offset = (self.draw.randrange(10**6) -
                             int(self.since * 1000))
        self.runs = {}
        self.highest_run = {}  # task: highest_run run stopped or ended here
        self.ended = []
        self.count = 0
        self.fence = 0
        self.lease_deadline = 0
        self.sequence = 0
        self.changed.set()  # who waits for an end of the former incarnation
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int(time.monotonic() * 1000) + self.clock_offset

    async def start(self, address, port):
        self.address = f"{address}:{port}"
        self.server = await serve(address, port, self.handle)
        self.tasks = [asyncio.create_task(self.send_heartbeats()),
                      asyncio.create_task(self.run_tasks())]

    def crash(self, back_after_s, keeps_id=False):
        """All that runs is gone; another incarnation begins later, or at once."""
        for task in self.runs:
            self.record.on_lost(self, task)
        self.begin_incarnation(keeps_id)
        if not back_after_s:
            return
        self.down = True
        asyncio.get_running_loop().call_later(
            back_after_s, lambda: setattr(self, "down", False))

    # -- by itself -------------------------------------------------------------

    async def send_heartbeats(self):
        while True:
            if not self.down:
                await self.send(*self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def make_heartbeat(self):
        self.sequence += 1
        return (f"/springstair/executors/{self.ident}/heartbeat",
                {"service": "s", "address": self.address, "zone": self.zone,
                 "slots": 8, "state": "ready", "seq": self.sequence,
                 "capacity": self.capacity, "labels": ["a", "r1"],
                 "clock_ms": self.clock_ms(), "born": self.born})

    async def send(self, path, body):
        await self.guard.call("POST", path, body, timeout=1)

    async def run_tasks(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lease_expired = self.clock_ms() >= self.lease_deadline
            if lease_expired:
                self.record.on_lease_expired(self)
            for task, run in list(self.runs.items()):
                crash = run.traits["crashes_after"]
                if crash is not None and now - run.began >= crash:
                    self.record.note("crash under", task, self.incarnation)
                    self.crash(self.draw.uniform(1, 4),
                               self.restart_draw.random() < KEEPS_ID_SHARE)
                    break
                if lease_expired:
                    self.end(task, run, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self.end(task, run, "stopped")
                elif self.stalled or run.traits["long_running"]:
                    continue
                elif now - run.began >= run.traits["seconds"]:
                    failed = self.fails_all or run.traits["fails"] or (
                        self.draw.random() < 0.03)
                    self.end(task, run, "failed" if failed else "done")

    def end(self, task, run, how):
        del self.runs[task]
        self.highest_run[task] = max(self.highest_run.get(task, 0), run.number)
        self.count += 1
        self.ended.append([self.count, task, run.number, how, run.checkpoint])
        self.record.on_end(self, task, run.number, how)
        self.changed.set()
        self.changed = asyncio.Event()

    # -- orders ----------------------------------------------------------------

    async def handle(self, _method, path, _query, headers, document):
        if self.down:
            raise Silence
        self.reset_stale_connection(headers["peer-port"])
        ident = headers.get("target-executor", self.ident)
        incarnation = self.incarnation  # that took the call, whichever was meant
        call = self.note_call(path, headers, document)
        if self.draw.random() < self.late_share:
            self.note(call, "answer lost: silence; carried out late")
            asyncio.get_running_loop().call_later(
                self.draw.uniform(1, 5), self.execute_late, call, path, ident,
                document, incarnation)
            raise Silence
        await self.delay_reading(call)
        if incarnation != self.incarnation:
            raise Reset  # it went with the process that had it
        status, answer = self.answer(call, path, ident, document)
        if self.occurs(self.slow_share):
            await asyncio.sleep(self.draw.uniform(*SLOW_S))
        if path.endswith("/hold") and status == 200:
            await self.wait_for_end(document)
            if self.down or incarnation != self.incarnation:
                raise Reset
            answer = self.snapshot()
        self.lose_answer(call)
        return status, answer | {"clock_ms": self.clock_ms()}

    def reset_stale_connection(self, port):
        """A connection ends with the incarnation that took it."""
        if (self.incarnation_of_port.setdefault(port, self.incarnation)
                != self.incarnation):
            del self.incarnation_of_port[port]
            raise Reset

    def occurs(self, share):
        return share > 0 and self.draw.random() < share

    async def delay_reading(self, call):
        """The call waits in its socket, whether or not its sender incarnation_count; calls
        on other connections are answered meanwhile."""
        if not self.occurs(self.unread_share):
            return
        self.note(call, "waits unread")
        await asyncio.sleep(self.draw.uniform(*UNREAD_S))
        self.note(call, "is read")
        if self.down:
            raise Silence

    def answer(self, call, path, ident, order):
        """What the call is answered; a busy executor does nothing for it."""
        if self.occurs(self.busy_share):
            status = self.draw.choice((429, 503))
            self.note(call, status, "busy")
            self.record.refused[f"{status} busy"] += bool(call)
            return status, {}
        return self.execute(call, path, ident, order)

    def lose_answer(self, call):
        if self.occurs(self.lost_share):
            how = self.draw.choice((Silence, Reset))
            self.note(call, "answer lost:", how.__name__)
            raise how

    def note_call(self, path, headers, order):
        """The log's name of a call to start or stop; others have none."""
        kind = path.removeprefix("/springstair/")
        if kind not in ("run-start", "run-stop"):
            return ""
        sender = self.senders.get(headers["peer-port"], "?")
        return self.record.on_call(self, kind, order, sender)

    def note(self, call, *words):
        if call:
            self.record.note(call, *words)

    def execute_late(self, call, path, ident, order, incarnation):
        """No bound of time holds for what the executor itself holds up; it
        goes with its incarnation."""
        if incarnation != self.incarnation:
            return
        self.order_delayed = True
        self.execute(call, path, ident, order)
        self.order_delayed = False

    def execute(self, call, path, ident, order):
        self.call = call
        status, answer = self.apply_order(path, ident, order)
        self.note(call, status, *answer.values())
        if call and status != 200:
            self.record.refused[" ".join(map(str, (status, *answer.values())))
                                ] += 1
        return status, answer

    def apply_order(self, path, ident, order):
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
            self.extend_lease(order)
            seen = order.get("last_seen", 0)
            for row in [row for row in self.ended if row[0] <= seen]:
                self.record.on_acknowledged(self, row[1], row[2], row[3])
            self.ended = [row for row in self.ended if row[0] > seen]
        return 200, {}

    def extend_lease(self, order):
        asked = order.get("deadline_ms", 0)
        latest = self.clock_ms() + MAX_LEASE_MS
        self.lease_deadline = max(self.lease_deadline, min(asked, latest))

    def start_run(self, order):
        task, number = order["task"], order["run"]
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        run = self.runs.get(task)
        if run and run.number == number:
            self.extend_lease(order)
            return 200, {}
        if run or number <= self.highest_run.get(task, 0):
            self.extend_lease(order)
            return 409, {"reason": "old"}
        if not self.advice.admits(self.record, self, order):
            return 409, {"reason": "ticket"}
        if self.enforces and self.record.exceeded_capacity(self, task):
            self.extend_lease(order)
            return 409, {"reason": "room"}
        traits = self.record.on_start(self, task, number, order, self.call)
        self.extend_lease(order)
        self.runs[task] = Run(number, self.call, order.get("checkpoint", ""),
                              traits, time.monotonic())
        return 200, {}

    def stop_run(self, task, number):
        run = self.runs.get(task)
        if run and run.number <= number:
            run.stops_at = run.stops_at or time.monotonic() + STOP_S
        self.highest_run[task] = max(self.highest_run.get(task, 0), number)

    async def wait_for_end(self, order):
        seen = order.get("last_seen", 0)
        if any(row[0] > seen for row in self.ended):
            return
        try:
            async with asyncio.timeout(order.get("wait_ms", 0) / 1000):
                await self.changed.wait()
        except TimeoutError:
            pass

    def snapshot(self):
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            share = (now - run.began) / run.traits["seconds"]
            percent = 100 if run.traits["long_running"] else min(99, int(100 * share))
            running.append([task, run.number, run.checkpoint,
                            0 if self.stalled else percent, 100])
        return {"born": self.born, "running": running,
                "ended": self.ended[:500]}
