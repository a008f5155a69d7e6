"""Runs a fleet of processes on this machine for the demonstration, the drills
and the measurements. Every process is ended by its own pid."""

import fcntl
import hashlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("SPRINGSTAIR_BUILD", os.path.join(ROOT, "build"))
FLEET_KEY = "a key that only the fleet has"
OPERATOR = "operator-secret"
ADDRESS = "127.0.0.1"


def hash_of(credential):
    return hashlib.sha256(credential.encode()).hexdigest()


LOCKED_PORTS = {}


def free_port():
    """Returns a free port below the ephemeral range. A file lock keeps other
    processes that call this at the same time from choosing it."""
    locks = os.path.join(tempfile.gettempdir(), "springstair-ports")
    os.makedirs(locks, exist_ok=True)
    draw = random.Random(os.getpid() * 1000 + len(LOCKED_PORTS))
    while True:
        port = draw.randrange(12000, 32000)
        if port in LOCKED_PORTS:
            continue
        lock = open(os.path.join(locks, str(port)), "w", encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as probe:
                probe.bind((ADDRESS, port))
        except OSError:
            lock.close()
            continue
        LOCKED_PORTS[port] = lock
        return port


def call(address, method, path, body=None, headers=None, timeout=10):
    """Makes one HTTP call; returns the status and the parsed body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        answer = connection.getresponse()
        data = answer.read()
        try:
            return answer.status, json.loads(data)
        except ValueError:
            return answer.status, data.decode(errors="replace")
    finally:
        connection.close()


def wait_for(description, condition, seconds=20):
    """Polls until condition() is true; fails after the given seconds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            if condition():
                return
        except (OSError, KeyError, http.client.HTTPException):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out waiting for: " + description)


class Fleet:
    """Entries, guards with their workers, and a stand-in for the platform."""

    def __init__(self, guards=3, entries=2, data_centres=2, slots=8,
                 routing="sampled", reserve=True, cpu_millis=16000,
                 memory_mb=60000, accelerators=0, far_us=0, directory=None,
                 entry_extra=None, guard_extra=None):
        self.directory = directory or tempfile.mkdtemp(prefix="springstair-")
        os.makedirs(self.directory, exist_ok=True)
        self.processes = {}
        self.commands = {}
        self.entries = {}
        self.guards = {}
        self.workers = {}
        self.store = f"{ADDRESS}:{free_port()}"
        data_centre_names = [f"dc-{1 + n}" for n in range(data_centres)]
        names = [f"entry-{1 + n}" for n in range(entries)]
        for name in names:
            self.entries[name] = f"{ADDRESS}:{free_port()}"
        self._declare("store", ["store_stand_in",
                                "port=" + self.store.split(":")[1]])
        for n in range(guards):
            name = f"guard-{1 + n}"
            centre = data_centre_names[n % data_centres]
            self.workers[name] = f"{ADDRESS}:{free_port()}"
            self.guards[name] = f"{ADDRESS}:{free_port()}"
            self._declare(f"worker-{1 + n}", [
                "worker_stand_in", f"name={name}", f"data_centre={centre}",
                "port=" + self.workers[name].split(":")[1],
                f"slots={slots}", f"cpu_millis={cpu_millis}",
                f"memory_mb={memory_mb}", f"accelerators={accelerators}",
                f"far_us={far_us}"])
            section = {"executor": self.workers[name],
                       "worker": self.workers[name], "slots": slots,
                       "reserve_slots": reserve, "cpu_millis": cpu_millis,
                       "memory_mb": memory_mb, "accelerators": accelerators}
            section.update(guard_extra or {})
            self._declare_daemon(name, "guard", centre, self.guards[name],
                                 section, rack=f"rack-{1 + n // 3}")
        for n, name in enumerate(names):
            section = {"store": [self.store], "routing": routing,
                       "operator_credential_hashes": [hash_of(OPERATOR)],
                       "drain_grace_ms": 500}
            section.update(entry_extra or {})
            self._declare_daemon(
                name, "entry", data_centre_names[n % data_centres],
                self.entries[name], section)
        self.centre_of_entry = {name: data_centre_names[n % data_centres]
                                for n, name in enumerate(names)}

    def _declare(self, name, arguments):
        self.commands[name] = ([os.path.join(BUILD, arguments[0])] +
                               arguments[1:])

    def _declare_daemon(self, name, role, centre, address, section,
                        rack="none"):
        host, port = address.split(":")
        settings = {"role": role, "name": name, "data_centre": centre,
                    "rack": rack, "address": host, "port": int(port),
                    "fleet_key": FLEET_KEY, "platform": self.store,
                    "entries": list(self.entries.values()), role: section}
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=2)
        self._declare(name, ["springstaird", "--settings", path])

    # -- processes ----------------------------------------------------------

    def start(self, *names):
        for name in names or self.commands:
            log = open(os.path.join(self.directory, name + ".log"), "ab")
            self.processes[name] = subprocess.Popen(
                self.commands[name], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
            log.close()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def freeze(self, name):
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name):
        self.signal(name, signal.SIGCONT)

    def stop(self, name, seconds=30):
        """Stops a process as planned (SIGTERM); returns its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        code = process.wait(timeout=seconds)
        del self.processes[name]
        return code

    def restart(self, name):
        code = self.stop(name)
        self.start(name)
        return code

    def end(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end()

    # -- control and observation --------------------------------------------

    def cli(self, *arguments, credential=OPERATOR, entries=None):
        """Runs the operators' command line; returns exit code, stdout and
        stderr."""
        chosen = ",".join(entries or self.entries.values())
        done = subprocess.run(
            [os.path.join(BUILD, "springstair"), "--entries", chosen,
             "--credential", credential, *arguments],
            capture_output=True, text=True, check=False)
        return done.returncode, done.stdout, done.stderr

    def status(self, entry="entry-1"):
        return call(self.entries[entry], "GET", "/v1/status",
                    headers={"springstair-operator": OPERATOR}, timeout=5)[1]

    def set_store(self, mode, delay_ms=0):
        return call(self.store, "POST", "/control",
                    {"mode": mode, "delay_ms": delay_ms})[1]

    def store_counts(self):
        return call(self.store, "GET", "/control")[1]

    def set_vms(self, leaving=(), gone=()):
        vms = []
        for role, members in (("entry", self.entries),
                              ("guard", self.guards)):
            for name, address in members.items():
                if name not in gone:
                    state = "leaving" if name in leaving else "live"
                    vms.append({"name": name, "address": address,
                                "role": role, "state": state})
        call(self.store, "POST", "/control/vms", {"vms": vms})

    def history(self):
        """Each worker's record of what it ran, by its guard's name."""
        return {name: call(address, "GET", "/control")[1]
                for name, address in self.workers.items()}

    def runs(self):
        """The number of runs of each request over all executors."""
        all_runs = {}
        for one in self.history().values():
            for request, count in one["executor"]["runs"].items():
                all_runs[request] = all_runs.get(request, 0) + count
        return all_runs

    def load(self, plan, ids=True):
        """Starts the load tool; collect() returns its result."""
        path = os.path.join(self.directory, f"plan-{time.monotonic()}.json")
        plan.setdefault("targets", [
            {"address": address,
             "data_centre": self.centre_of_entry[name]}
            for name, address in self.entries.items()])
        with open(path, "w", encoding="utf-8") as file:
            json.dump(plan, file)
        arguments = [os.path.join(BUILD, "springstair_load"), path]
        return subprocess.Popen(arguments + (["ids"] if ids else []),
                                stdout=subprocess.PIPE, text=True)

    def import_table(self, rows):
        path = os.path.join(self.directory, "table.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"rows": rows}, file)
        code, out, err = self.cli("table", "import", path)
        assert code == 0, (code, out, err)
        return out

    def up(self, rows):
        """Starts all processes, imports the table and waits until they
        serve."""
        self.start()
        wait_for("the store answers", lambda: self.store_counts() is not None)
        self.set_vms()
        for address in self.entries.values():
            wait_for("an entry answers", lambda a=address: call(
                a, "GET", "/healthz")[0] in (200, 503))
        self.import_table(rows)
        self.wait_until_serving()

    def wait_until_serving(self):
        for name, address in self.entries.items():
            wait_for(name + " serves", lambda a=address: call(
                a, "GET", "/healthz")[0] == 200)
            wait_for("all guards are live at " + name,
                     lambda n=name: self.live_guards(n) == len(self.guards))

    def wait_until_tasks_run(self):
        for name in self.entries:
            wait_for("all workers accept tasks", lambda n=name: all(
                one["tasks_ready"] for one in self.status(n)["guards"]))

    def live_guards(self, entry="entry-1"):
        return sum(1 for one in self.status(entry)["guards"]
                   if one["state"] == "live")


def collect(process, seconds=120):
    out, _ = process.communicate(timeout=seconds)
    assert process.returncode == 0, process.returncode
    return json.loads(out)


def two_workspaces():
    """Table rows of the demonstration: two rival workspaces, each with
    latency-critical, heavy and batch work."""
    rows = {}
    for workspace, weight in (("ferreira", 2), ("ramdeen", 1)):
        rows[workspace] = {"weight": weight, "max_in_flight": 400,
                      "credential_hashes": [hash_of(workspace + "-secret")]}
        rows[workspace + "/clause-fill"] = {
            "kind": "latency-critical", "weight": 4, "reserved_slots": 2,
            "target_ms": 50, "repeatable": True}
        rows[workspace + "/bundle-render"] = {"kind": "heavy", "weight": 1}
        rows[workspace + "/statute-watch"] = {"kind": "batch", "weight": 1}
    return rows
