"""Stand-ins for the platform of the second review's scripts: executors, a
client and the machines that run the project's programs. The store and the HTTP
of tests/soak serve as they are. All addresses are loopback addresses."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from store import Store  # noqa: E402
from wire import Connection, Reset, Silence, serve  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "springstaird")  # `run` of both roles
TEMPLATES = {"edge": "platform/entry-settings.json",
             "side": "platform/guard-settings.json"}
# The bounds of the site ccc-pos.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
          "config_apply_ms": 2000, "max_hold_ms": 6000, "stop_ms": 200,
          "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "early_ms": 250, "finish_s": 14, "save_s": 2, "restore_ms": 100,
          "lease_ms": 3000}
HEARTBEAT_S = 1.1
FRONT, READINESS, CONTROL, APP, STORE = 8161, 8167, 8166, 8080, 8169
INTERNAL = 7720
HOST = "drafts.example"


class CannotRun(Exception):
    """The case could not be played (exit status 2)."""


def fill(text, fields):
    """Fills the gaps of a template, as DEPLOY.md describes them."""

    def value(name, scope):
        if name == ".":
            return scope
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            elif isinstance(scope, dict):
                scope = scope.get(part)
            else:
                return None
        return scope

    def section(match):
        found = value(match[1], fields)
        if isinstance(found, list):
            parts = []
            for number, entry in enumerate(found):
                comma = "," if number + 1 < len(found) else ""
                body = match[2].replace("{{,}}", comma)
                parts.append(body.replace("{{.|json}}", json.dumps(entry)))
            return "".join(parts)
        return match[2] if found else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)

    def gap(match):
        found = value(match[1], fields)
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.lines = []
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        self.lines.append(f"{self.now():8.3f} " + " ".join(map(str, words)))

    def breach(self, rule, *words):
        self.broken.append(rule)
        self.note("BROKEN", rule, *words)

    def write(self):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


class Run:
    def __init__(self, number, seconds, checkpoint):
        self.number = number
        self.seconds = seconds  # None: lasts
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        self.stops_at = None


class Executor:
    """One executor on a side machine, by PROTOCOL.md. Its tasks take the time
    that work_of(task) gives."""

    def __init__(self, record, ident, address, control, work_of,
                 service="draftworks", rack="r1-1", capacity=None):
        self.record = record
        self.ident = ident
        self.address = address
        self.control = Connection(control) if control else None
        self.work_of = work_of
        self.service = service
        self.labels = ["a", rack]
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 128000, "gpu": 0}
        self.born = int(time.time() * 1000)
        self.clock_offset = random.randrange(10**6)
        self.clock_zero = time.monotonic()
        self.state = "ready"
        self.remaining_ms = 0
        self.sequence = 0
        self.fence = 0
        self.lease_deadline = 0
        self.runs = {}
        self.highest = {}  # task: highest run stopped or ended here
        self.ended = []
        self.ends = 0
        self.up = True
        self.changed = asyncio.Event()
        self.on_start = self.on_end = lambda *words: None
        self.tasks = []
        self.server = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await serve(host, int(port), self.handle)
        self.tasks = [asyncio.create_task(self.work())]
        if self.control:
            self.tasks.append(asyncio.create_task(self.beat()))

    def clock_ms(self):
        passed = time.monotonic() - self.clock_zero
        return int(passed * 1000) + self.clock_offset

    def describe(self):
        self.sequence += 1
        beat = {"service": self.service, "address": self.address,
                "zone": "pos-a", "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock_ms(), "seq": self.sequence,
                "born": self.born}
        if self.state == "draining":
            beat["remaining_ms"] = self.remaining_ms
        return beat

    async def beat(self):
        while True:
            await self.control.call(
                "POST", f"/springstair/executors/{self.ident}/heartbeat",
                self.describe(), {"Content-Type": "application/json"},
                timeout=1)
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.lease_deadline
            for task, run in list(self.runs.items()):
                if lapsed:
                    self.end(task, run, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self.end(task, run, "stopped")
                elif run.seconds and now - run.began >= run.seconds:
                    self.end(task, run, "done")

    def end(self, task, run, how):
        del self.runs[task]
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ends += 1
        self.ended.append([self.ends, task, run.number, how, run.checkpoint])
        self.record.note("end", task, run.number, how, "at", self.ident)
        self.on_end(self, task, run.number, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, _method, path, _query, headers, order):
        call = path.removeprefix("/springstair/")
        if headers.get("target-executor", self.ident) != self.ident:
            return 421, {"clock_ms": self.clock_ms()}
        status, answer = self.carry_out(call, order)
        if call == "hold" and status == 200:
            await self.wait_for_end(order)
            answer = self.lists()
        return status, answer | {"clock_ms": self.clock_ms(),
                                 "born": self.born}

    def carry_out(self, call, order):
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = order.get("fencing_token", 0)
        if call == "run-start":
            return self.start_run(order)
        if call == "run-stop":
            self.stop_run(order["task"], order["run"])
        if call == "hold":
            self.extend(order)
            seen = order.get("last_seen", 0)
            for row in [row for row in self.ended if row[0] <= seen]:
                self.record.note("noted", row[1], row[2], row[3], "at",
                                 self.ident)
            self.ended = [row for row in self.ended if row[0] > seen]
        return 200, {}

    def extend(self, order):
        latest = self.clock_ms() + BOUNDS["max_hold_ms"]
        self.lease_deadline = max(self.lease_deadline,
                                  min(order.get("deadline_ms", 0), latest))

    def start_run(self, order):
        task, number = order["task"], order["run"]
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(order)
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {}
        if run or number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = Run(number, self.work_of(task),
                              order.get("checkpoint", ""))
        self.record.note("start", task, number, "at", self.ident)
        self.on_start(self, task, number, order)
        return 200, {}

    def stop_run(self, task, number):
        self.record.note("stop", task, number, "at", self.ident)
        run = self.runs.get(task)
        if run and run.number <= number:
            run.stops_at = run.stops_at or time.monotonic() + 0.1
        self.highest[task] = max(self.highest.get(task, 0), number)

    async def wait_for_end(self, order):
        seen = order.get("last_seen", 0)
        if any(row[0] > seen for row in self.ended):
            return
        try:
            async with asyncio.timeout(order.get("wait_ms", 0) / 1000):
                await self.changed.wait()
        except TimeoutError:
            pass

    def lists(self):
        now = time.monotonic()
        running = [[task, run.number, run.checkpoint,
                    100 if run.seconds is None else
                    min(99, int(100 * (now - run.began) / run.seconds)), 0]
                   for task, run in self.runs.items()]
        return {"running": running, "ended": self.ended[:500]}


class Machine:
    """A machine of the deployment with the one process that it runs."""

    def __init__(self, fleet, kind, number, ip):
        self.fleet = fleet
        self.kind = kind
        self.name = f"{kind}-pos-a-{number}"
        self.ip = ip
        self.child = None
        self.stopped = False  # a planned kill of this script
        self.own_exits = 0

    def fields(self):
        fields = {
            "node_name": self.name, "machine_class": self.kind, "ip": self.ip,
            "zone": "pos-a", "region": "tt-north",
            "internal_port_range": [INTERNAL, INTERNAL + 15],
            "seeds": [f"{ip}:{CONTROL}" for ip in self.fleet.edge_ips],
            "bounds": BOUNDS, "heartbeat_ms": 1100,
            "platform": {"address": self.fleet.store_address},
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100},
            "listen_addrs": {"front": f"{self.ip}:{FRONT}",
                             "readiness": f"{self.ip}:{READINESS}",
                             "control": f"{self.ip}:{CONTROL}"}}
        if self.kind == "side":
            fields["app"] = f"{self.ip}:{APP}"
        return fields

    def start(self):
        with open(os.path.join(ROOT, TEMPLATES[self.kind]),
                  encoding="utf-8") as template:
            text = fill(template.read(), self.fields())
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(json.loads(text), out)
        log = os.path.join(self.fleet.folder, self.name + ".log")
        with open(log, "a", encoding="utf-8") as out:
            self.child = subprocess.Popen(
                [PROGRAM], cwd=ROOT, stdout=out, stderr=out,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                     "HOME": self.fleet.folder, "LANG": "C.UTF-8",
                     "SPRINGSTAIR_CONFIG": path})
        self.stopped = False
        self.fleet.record.note("process started:", self.name)

    def signal(self, which):
        self.fleet.record.note(signal.Signals(which).name, "to", self.name)
        self.stopped = which in (signal.SIGKILL, signal.SIGTERM)
        self.child.send_signal(which)

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()


class Fleet:
    """The store, some edge machines and some side machines, each of these with
    an executor."""

    def __init__(self, record, edges=2, sides=3, store=None,
                 work_of=lambda task: 1.0, route_fields=None,
                 executor_type=Executor):
        self.record = record
        self.executor_type = executor_type
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        number = os.getpid()
        self.network = f"127.{60 + number // 250 % 100}.{1 + number % 250}"
        self.edge_ips = [f"{self.network}.{10 + n}" for n in range(edges)]
        self.side_ips = [f"{self.network}.{40 + n}" for n in range(sides)]
        self.store_address = f"{self.network}.5:{STORE}"
        self.store = store or Store(random.Random(1))
        self.work_of = work_of
        self.route = {"name": "clause-fill", "host": HOST,
                      "path_prefix": "/lohu930/", "service": "draftworks",
                      "priority": 0, "max_attempts": 3, "stretch": 2,
                      "target_latency_ms": 1000} | (route_fields or {})
        self.edges = [Machine(self, "edge", n + 1, ip)
                      for n, ip in enumerate(self.edge_ips)]
        self.sides = [Machine(self, "side", n + 1, ip)
                      for n, ip in enumerate(self.side_ips)]
        self.executors = []
        self.version = 0
        self.watcher = None

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/springstaird is not built")
        host, port = self.store_address.split(":")
        await self.store.start(host, int(port))
        self.configure()
        for number, machine in enumerate(self.sides):
            executor = self.executor_type(
                self.record, f"i-{number + 1:08x}", f"{machine.ip}:{APP}",
                f"{machine.ip}:{CONTROL}", self.work_of,
                rack=f"r1-{number + 1}")
            await executor.start()
            self.executors.append(executor)
        for machine in self.edges + self.sides:
            machine.start()
        self.watcher = asyncio.create_task(self.restart_ended())

    def configure(self):
        self.version += 3
        self.store.configure(
            {"version": self.version, "routes": [self.route],
             "services": [{"name": "draftworks", "enforces_capacity": True}]})

    async def restart_ended(self):
        """Starts a process again that was killed or has ended."""
        while True:
            await asyncio.sleep(0.1)
            for machine in self.edges + self.sides:
                if machine.child.poll() is not None:
                    if not machine.stopped:
                        machine.own_exits += 1
                        self.record.breach("Fault", machine.name,
                                           "ended by itself with status",
                                           machine.child.returncode)
                    machine.start()

    async def ready(self, within=10):
        """Waits until the first edge machine says that it is ready and all
        side machines have taken heartbeats."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            states = [await self.call_readiness(machine)
                      for machine in self.edges]
            if all(state == 200 for state in states):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("no edge machine is ready")

    async def call_readiness(self, machine):
        connection = Connection(f"{machine.ip}:{READINESS}")
        status, _ = await connection.call("GET", "/springstair/readyz",
                                          timeout=1)
        connection.close()
        return status

    async def call(self, edge, method, ident, document=None, deadline_ms=3000,
                   quiet=False):
        """A client's call on a new channel; the answer is recorded."""
        connection = Connection(f"{self.edges[edge].ip}:{FRONT}")
        path = self.route["path_prefix"] + ident
        if not quiet:
            self.record.note("client sends", method, path, "to",
                             self.edges[edge].name)
        status, answer = await connection.call(
            method, path, document,
            {"Host": HOST, "Content-Type": "application/json",
             "Deadline-Ms": str(deadline_ms)}, timeout=deadline_ms / 1000)
        connection.close()
        if not quiet:
            self.record.note("client gets", status, json.dumps(answer), "for",
                             method, path)
        return status, answer

    def leader(self):
        """The machine that the key of the leader in the store names."""
        text = self.store.text(self.store.items.get("springstair/holder"))
        for machine in self.edges:
            if machine.ip + ":" in text:
                return machine
        return None

    def end(self):
        if self.watcher:
            self.watcher.cancel()
        for machine in self.edges + self.sides:
            machine.end()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder):
    """Plays an asynchronous case(record, trouble) and exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("TROUBLE =", int(trouble))

    async def until_ended():
        """On SIGTERM, the case ends its processes and exits with 2."""
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        await case(record, trouble)

    status = 2
    try:
        asyncio.run(until_ended())
        status = 1 if record.broken else 0
    except (Exception, asyncio.CancelledError) as error:
        record.note("the case could not run:", repr(error))
    record.note("exit", status)
    record.write()
    print(f"exit {status}", *sorted(set(record.broken)))
    sys.exit(status)
