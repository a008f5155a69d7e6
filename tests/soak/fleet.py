"""Runs the real programs as separate processes, with stand-ins around them.
Each process has two loopback addresses: one that it listens on, and one of a
proxy that all others connect to. Processes are ended by their own pids."""

import asyncio
import json
import os
import signal
import subprocess

from advice import VALID_MS, Advice
from executor import Executor
from links import Link
from store import Store
from wire import Connection

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BUILD = os.environ.get("SPRINGSTAIR_BUILD", os.path.join(ROOT, "build"))
PROGRAM = os.environ.get("SPRINGSTAIR_PROGRAM",
                         os.path.join(BUILD, "springstaird"))
(INTERNAL, CALLERS, READINESS, HEARTBEATS, EXECUTOR, STORE,
 ADVICE) = range(17001, 17008)
APPLY_MS = 5000  # max time until a configuration is in force everywhere
GRACE_S = 6
HOST = "jobs.example"
ZONES = ("dc-1", "dc-2")  # assigned to executors in turn
CAPACITY = {"cpu": 8000, "mem_mb": 16000, "gpu": 0}

# Limits per process. The smallest VM of the largest fleet has 160 MB and 4,100
# descriptors. A process of this fleet, which has a twentieth of that fleet's
# size, may use an eighth of them.
MEMORY_MB = 160
DESCRIPTORS = 4100
MAX_SHARE = 1 / 8


def memory_mb(pid):
    """Private memory of a process; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except (FileNotFoundError, ProcessLookupError):
        pass
    return 0


def descriptors(pid):
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except (FileNotFoundError, ProcessLookupError):
        return 0


class Process:
    """A process of the program under test, restarted whenever it exits."""

    def __init__(self, name, settings, directory):
        self.name = name
        self.settings = settings
        self.path = os.path.join(directory, name + ".json")
        self.log = os.path.join(directory, name + ".log")
        with open(self.path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.child = None
        self.incarnation_count = 0
        self.stopped_by_harness = False
        self.paused = False
        self.unexpected_exits = 0
        self.max_mb = 0
        self.max_descriptors = 0

    def start(self):
        self.stopped_by_harness = False
        self.incarnation_count += 1
        with open(self.log, "a", encoding="utf-8") as out:
            self.child = subprocess.Popen(
                [PROGRAM, "--settings", self.path],
                stdout=out, stderr=out)

    def incarnation(self):
        """Name of the current run of the program in the event log."""
        return f"{self.name}#{self.incarnation_count}"

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def sample_usage(self):
        if self.is_running():
            self.max_mb = max(self.max_mb, memory_mb(self.child.pid))
            self.max_descriptors = max(self.max_descriptors,
                                        descriptors(self.child.pid))

    def exceeds_bounds(self):
        return (self.max_mb > MAX_SHARE * MEMORY_MB or
                self.max_descriptors > MAX_SHARE * DESCRIPTORS)

    def signal(self, which):
        if not self.is_running():
            return
        if which in (signal.SIGTERM, signal.SIGKILL):
            self.stopped_by_harness = True
        # SIGKILL also ends a paused process.
        self.paused = which == signal.SIGSTOP or (
            self.paused and which not in (signal.SIGCONT, signal.SIGKILL))
        self.child.send_signal(which)

    def restart_if_exited(self):
        """Restarts the process if it has ended and returns whether it did;
        counts exits that the harness did not cause."""
        if self.is_running():
            return False
        if self.child is not None and not self.stopped_by_harness:
            self.unexpected_exits += 1
        self.start()
        return True

    def end(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()


class Fleet:
    def __init__(self, draw, record, directory, entries=3, guards=5,
                 enforces=False, limits=None):
        self.draw = draw
        self.record = record
        self.directory = directory
        self.limits = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}
        self.limits |= limits or {}
        self.enforces = enforces  # executors refuse runs that don't fit
        number = os.getpid()
        self.network = f"127.{20 + number // 250 % 200}.{1 + number % 250}"
        self.store = Store(draw)
        self.links = []
        self.processes = []
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.guards = [f"guard-{n}" for n in range(guards)]
        record.entries = entries
        self.executors = []
        self.version = 0
        self.supervisor = None

    def ip(self, kind, number):
        """An address by kind: 0 process, 1 its proxy, 2 executor, 3 store."""
        return f"{self.network}.{1 + 50 * kind + number}"

    async def start(self):
        await self.store.start(self.ip(3, 0), STORE)
        self.advice = Advice(self.draw)
        await self.advice.start(self.ip(3, 0), ADVICE)
        self.configure()
        names = self.entries + self.guards
        for number, name in enumerate(names):
            await self.add(number, name)
        self.supervisor = asyncio.create_task(self.supervise())

    async def add(self, number, name):
        own, announced = self.ip(0, number), self.ip(1, number)
        await self.link("to " + name, f"{own}:{INTERNAL}", announced, INTERNAL)
        await self.link("store of " + name, f"{self.ip(3, 0)}:{STORE}",
                        announced, STORE)
        settings = {
            "name": name, "data_centre": "dc-1", "address": own,
            "announced_address": announced, "internal_port": INTERNAL,
            "store": f"{announced}:{STORE}", "longest_lease_ms": 6000,
            "stop_ms": 200, "grace_s": GRACE_S, "apply_within_ms": APPLY_MS,
            **self.limits,
            "entries": [f"{self.ip(1, n)}:{INTERNAL}"
                        for n in range(len(self.entries))]}
        if name in self.entries:
            settings |= {"role": "job_entry", "callers": f"{own}:{CALLERS}",
                         "readiness": f"{own}:{READINESS}",
                         "advice": f"{self.ip(3, 0)}:{ADVICE}",
                         "processors": 1 if number else 2}
            await self.link("callers of " + name, f"{own}:{CALLERS}",
                            announced, CALLERS)
        else:
            settings |= {"role": "job_guard",
                         "executors": f"{own}:{HEARTBEATS}",
                         "executor": f"{announced}:{EXECUTOR}"}
            await self.add_executor(number, own, announced)
        process = Process(name, settings, self.directory)
        if name in self.guards:
            self.links[-1].sender = process.incarnation
        process.start()
        self.record.note("started", process.incarnation(), process.child.pid)
        self.processes.append(process)

    async def add_executor(self, number, own, announced):
        executor = Executor(f"x{number}", ZONES[number % len(ZONES)], self.draw,
                       self.record, f"{own}:{HEARTBEATS}", CAPACITY,
                       self.advice, self.enforces)
        await executor.start(self.ip(2, number), EXECUTOR)
        link = await self.link(f"executor {number}", executor.address,
                               announced, EXECUTOR)
        executor.senders = link.senders
        executor.address = f"{announced}:{EXECUTOR}"  # announced in heartbeats
        self.executors.append(executor)

    async def link(self, name, target, address, port):
        link = Link(name, target)
        await link.start(address, port)
        self.links.append(link)
        return link

    def remove_route(self, queue):
        self.configure(without=queue)

    def configure(self, without=None):
        """Writes a newer configuration to the store, as the operator does."""
        self.version += 3
        routes = [{"name": f"r{n}", "host": HOST, "path_prefix": f"/{queue}/",
                   "service": "s", "priority": n, "max_attempts": 3,
                   "stretch": 2, "target_latency_ms": 1000}
                  for n, queue in enumerate(("quick", "heavy", "lasting"))]
        routes[1]["advice"] = {"decide_ms": 20, "each_ms": 2,
                               "valid_ms": VALID_MS}
        routes = [route for route in routes
                  if route["path_prefix"] != f"/{without}/"]
        document = {"version": self.version, "routes": routes,
                    "services": [{"name": "s",
                                  "enforces_capacity": self.enforces}]}
        self.store.configure(document)

    async def supervise(self):
        while True:
            await asyncio.sleep(0.1)
            for process in self.processes:
                process.sample_usage()
                if not process.paused:
                    self.restart_if_exited(process)

    def restart_if_exited(self, process):
        try:
            if process.restart_if_exited():
                self.record.note("started", process.incarnation(),
                                 process.child.pid)
        except OSError as error:
            self.record.breach("HARNESS", process.name, "failed to start:",
                               error)

    def end_faults(self):
        """Ends all faults that are in progress."""
        for link in self.links:
            link.heal()
        for process in self.processes:
            if process.paused:
                process.signal(signal.SIGCONT)
        store = self.store
        store.outage = None
        store.delay_s = store.lost_share = store.late_share = 0.0
        for zone in list(self.record.closed):
            store.open(zone)
            del self.record.closed[zone]
        for executor in self.executors:
            executor.late_share = executor.unread_share = 0.0
            executor.lost_share = executor.busy_share = 0.0
            executor.slow_share = 0.0
            executor.fails_all = executor.stalled = False

    def connection(self, number):
        return Connection(f"{self.ip(1, number)}:{CALLERS}")

    def end(self):
        if self.supervisor:
            self.supervisor.cancel()
        for process in self.processes:
            process.end()
        for stand_in in [self.store, self.advice, *self.links,
                         *self.executors]:
            stand_in.server.close()
