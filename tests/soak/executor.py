"""Stand-in for an executor and its worker. It runs tasks under a lease, may
execute orders late, and reports every start and end to the soak's record."""

import asyncio
import random
import time

from wire import Connection, Reset, Silence, serve

HEARTBEAT_S = 1.0
TICK_S = 0.02
MAX_LEASE_MS = 6000
STOP_S = 0.1
UNREAD_S = (0.5, 2.0)  # delay before a call is read; a start times out at 2 s
SLOW_S = (0.3, 2.0)  # delay before a slow answer
KEEPS_ID_SHARE = 0.5  # share of restarts after a crash that keep the id


class Run:
    def __init__(self, number, call, checkpoint, traits, now):
        self.number = number
        self.call = call  # name in the event log of the call that started it
        # Saved at once: runs of the soak are shorter than the usual interval.
        self.checkpoint = "c" * traits.get("checkpoint_bytes", 0) or checkpoint
        self.traits = traits
        self.began = now
        self.stops_at = None  # time at which a requested stop takes effect


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
        self.enforces = enforces  # refuses runs that exceed its capacity
        # A separate generator, so that restarts don't change the other draws
        # of a seed.
        self.restart_draw = random.Random(name)
        self.incarnation_count = 0
        # Peer port of a connection: the incarnation that accepted it.
        self.incarnation_of_port = {}
        self.changed = asyncio.Event()
        self.down = False
        self.late_share = 0.0
        self.order_delayed = False  # this executor delayed the current order
        self.call = ""  # name in the event log of the current order
        self.senders = {}  # peer port of a connection: the process behind it
        # Shares of calls that meet a fault.
        self.unread_share = 0.0  # read only after a delay
        self.lost_share = 0.0  # executed, but not answered
        self.busy_share = 0.0  # refused as busy
        self.slow_share = 0.0  # answered slowly
        self.fails_all = False
        self.stalled = False
        self.awake = asyncio.Event()  # cleared while its VM is suspended
        self.awake.set()
        self.suspended_at = 0.0
        self.suspended_for = 0.0  # in all, before that
        self.begin_incarnation()

    def begin_incarnation(self, keeps_id=False):
        """Resets all state: counters and clock start anew. If the id is kept,
        only the start time (born) distinguishes the two incarnations."""
        self.incarnation_count += 1
        if not keeps_id:
            self.ident = f"{self.name}-{self.incarnation_count}"
        # The offset may be negative: the system clock may have stepped back.
        self.born = (int(time.time() * 1000) +
                     self.incarnation_count *
                     self.restart_draw.choice((-1, 1)))
        self.incarnation = f"{self.ident}@{self.born}"  # name in the event log
        self.since = time.monotonic()
        self.clock_offset = (self.draw.randrange(10**6) -
                             int(self.since * 1000))
        self.runs = {}
        self.highest_run = {}  # task: highest run stopped or ended here
        self.ended = []
        self.count = 0
        self.fence = 0
        self.lease_deadline = 0
        self.sequence = 0
        self.changed.set()  # wakes polls of the past incarnation
        self.changed = asyncio.Event()

    def clock_ms(self):
        """A steady clock, which stands still while its VM is suspended."""
        now = time.monotonic() if self.awake.is_set() else self.suspended_at
        return int((now - self.suspended_for) * 1000) + self.clock_offset

    def suspend(self):
        """Does nothing until resume(); calls wait."""
        self.suspended_at = time.monotonic()
        self.awake.clear()

    def resume(self):
        length = time.monotonic() - self.suspended_at
        self.suspended_for += length
        for run in self.runs.values():
            run.began += length
        self.awake.set()

    async def start(self, address, port):
        self.address = f"{address}:{port}"
        self.server = await serve(address, port, self.handle)
        self.tasks = [asyncio.create_task(self.send_heartbeats()),
                      asyncio.create_task(self.run_tasks())]

    def crash(self, back_after_s, keeps_id=False):
        """Loses all runs and begins the next incarnation; it is unreachable
        for the first back_after_s seconds."""
        for task in self.runs:
            self.record.on_lost(self, task)
        self.begin_incarnation(keeps_id)
        if not back_after_s:
            return
        self.down = True
        asyncio.get_running_loop().call_later(
            back_after_s, lambda: setattr(self, "down", False))

    # -- background tasks ----------------------------------------------------

    async def send_heartbeats(self):
        while True:
            await self.awake.wait()
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
            await self.awake.wait()
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

    # -- orders --------------------------------------------------------------

    async def handle(self, method, path, query, headers, document):
        await self.awake.wait()
        answer = await self.handle_awake(method, path, query, headers,
                                         document)
        await self.awake.wait()
        return answer

    async def handle_awake(self, _method, path, _query, headers, document):
        if self.down:
            raise Silence
        self.reset_stale_connection(headers["peer-port"])
        ident = headers.get("target-executor", self.ident)
        # The incarnation that accepted the call, which may not be its target.
        incarnation = self.incarnation
        call = self.note_call(path, headers, document)
        if self.draw.random() < self.late_share:
            self.note(call, "answer lost: Silence; executed late")
            asyncio.get_running_loop().call_later(
                self.draw.uniform(1, 5), self.execute_late, call, path, ident,
                document, incarnation)
            raise Silence
        await self.delay_reading(call)
        if incarnation != self.incarnation:
            raise Reset  # the process that accepted the call has ended
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
        """Resets a connection that a past incarnation accepted."""
        if (self.incarnation_of_port.setdefault(port, self.incarnation)
                != self.incarnation):
            del self.incarnation_of_port[port]
            raise Reset

    def occurs(self, share):
        return share > 0 and self.draw.random() < share

    async def delay_reading(self, call):
        """Leaves the call unread in its socket for a while, even if its sender
        ends. Calls on other connections are answered meanwhile."""
        if not self.occurs(self.unread_share):
            return
        self.note(call, "left unread")
        await asyncio.sleep(self.draw.uniform(*UNREAD_S))
        self.note(call, "is read")
        if self.down:
            raise Silence

    def answer(self, call, path, ident, order):
        """Executes the call and returns its answer; refuses it if busy."""
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
        """Logs a start or stop and returns its name in the event log; other
        calls have none."""
        kind = path.removeprefix("/springstair/")
        if kind not in ("run-start", "run-stop"):
            return ""
        sender = self.senders.get(headers["peer-port"], "?")
        return self.record.on_call(self, kind, order, sender)

    def note(self, call, *words):
        if call:
            self.record.note(call, *words)

    def execute_late(self, call, path, ident, order, incarnation):
        """Executes a call after a delay, unless its incarnation has ended.
        order_delayed exempts it from the checks' time bounds."""
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
            percent = (100 if run.traits["long_running"]
                       else min(99, int(100 * share)))
            running.append([task, run.number, run.checkpoint,
                            0 if self.stalled else percent, 100])
        return {"born": self.born, "running": running,
                "ended": self.ended[:500]}
