"""Drills of clients that don't behave: crowds that exhaust memory or
connections. They check that each process lives within the limits in its
settings, and that an ordinary job is accepted and runs to its end. They check
no times."""

import asyncio
import base64
import json
import os
import signal
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from drill_case import SHORT_TASK_S, JobDrillCase  # noqa: E402
from fleet import (CALLERS, HEARTBEATS, HOST, INTERNAL,  # noqa: E402
                   descriptors)

MEMORY_MB = 64
DESCRIPTORS = 1200  # a quarter of them for the connections of each server
CROWD = 280  # below that quarter
IDLE_CROWD = 600  # above it
LEGAL_BODY_BYTES = 262_144  # the largest that the platform's pages allow
LEGAL_SPEC_BYTES = 4000  # the same for the text of a job
LARGE_BODY_BYTES = 16 << 20
SENDING_S = 8.0  # the crowd may be refused or slowed down
HELD_S = 2.0
SAMPLE_S = 0.05
CHUNK_BYTES = 65_536
TOO_LARGE_CPU = 1_000_000  # no worker has as many thousandths of a core


def resident_mb(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as sizes:
        pages = int(sizes.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def peak_resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0


def unread_mb(address):
    """Bytes that arrived at an address and that its process has not read."""
    local = "".join(f"{int(part):02X}" for part in
                    reversed(address.split(".")))
    listening = "0A"
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as sockets:
        for line in sockets:
            fields = line.split()
            if fields[1].startswith(local) and fields[3] != listening:
                total += int(fields[4].split(":")[1], 16)
    return total / 2**20


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def padded(document, size):
    """A document as text of exactly so many bytes."""
    text = json.dumps(document)
    return (text + " " * (size - len(text))).encode()


def large_submission():
    """A valid submission of the largest size, with as many dependencies and
    steps as fit."""
    steps = []
    for number in range(256):
        step = {"count": 4, "cpu": TOO_LARGE_CPU, "mem_mb": 1}
        if number:
            step["depends_on"] = list(range(number))
        if len(json.dumps(steps + [step])) > LEGAL_BODY_BYTES - 5000:
            break
        steps.append(step)
    return padded({"spec": "x" * 4000, "steps": steps}, LEGAL_BODY_BYTES)


def many_tasks():
    return json.dumps({"spec": "x", "steps": [
        {"count": 10_000, "cpu": TOO_LARGE_CPU, "mem_mb": 1}]}).encode()


def zeros():
    """A document whose steps are all invalid."""
    text = b'{"spec":"x","steps":[0'
    return text + b",0" * ((LEGAL_BODY_BYTES - len(text) - 2) // 2) + b"]}"


class Crowd:
    """Connections to one address. Each sends the pieces of a request, then
    stays open."""

    def __init__(self, address):
        self.host, port = address.split(":")
        self.port = int(port)
        self.writers = []
        self.tasks = []

    async def send(self, count, pieces, pause_s=0):
        """Returns once all have sent their pieces, were refused or wait."""
        fresh = [asyncio.create_task(self.send_one(pieces, pause_s))
                 for _ in range(count)]
        self.tasks += fresh
        await asyncio.wait(fresh, timeout=SENDING_S)

    async def send_one(self, pieces, pause_s):
        try:
            _, writer = await asyncio.open_connection(self.host, self.port)
            self.writers.append(writer)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            pass

    def close(self):
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()


class ClientDrill(JobDrillCase):
    entries = 1
    limits = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.peak_mb = {}
        self.peak_descriptors = {}
        self.crowds = []
        self.pids = [process.child.pid for process in self.fleet.processes]
        self.sampler = asyncio.create_task(self.sample())

    async def asyncTearDown(self):
        self.sampler.cancel()
        for crowd in self.crowds:
            crowd.close()
        await super().asyncTearDown()

    async def sample(self):
        while True:
            for number, process in enumerate(self.fleet.processes):
                self.sample_process(self.fleet.ip(0, number), process)
            await asyncio.sleep(SAMPLE_S)

    def sample_process(self, address, process):
        if not process.is_running():
            return
        pid = process.child.pid
        try:
            now = resident_mb(pid) + unread_mb(address)
            peak = max(now, peak_resident_mb(pid))
        except (FileNotFoundError, ProcessLookupError):
            return
        name = process.name
        self.peak_mb[name] = max(self.peak_mb.get(name, 0), peak)
        self.peak_descriptors[name] = max(
            self.peak_descriptors.get(name, 0), descriptors(pid))

    def crowd(self, process=0, port=CALLERS):
        crowd = Crowd(f"{self.fleet.ip(0, process)}:{port}")
        self.crowds.append(crowd)
        return crowd

    def head(self, *headers, ident=None):
        """The first lines of a submission, with a new id if none is given."""
        ident = ident or f"{self.fleet.draw.getrandbits(64):016x}"
        lines = [f"POST /quick/{ident} HTTP/1.1", f"Host: {HOST}",
                 "Deadline-Ms: 2500", *headers]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def announced(self, size):
        return self.head(f"Content-Length: {size}")

    def chunked(self):
        return self.head("Transfer-Encoding: chunked")

    async def submit_all(self, count, body, at_once=CROWD):
        """Submits a body under so many ids; returns the answers' statuses."""
        limit = asyncio.Semaphore(at_once)

        async def submit_one():
            async with limit:
                return await self.submit_body(body)

        return await asyncio.gather(*(submit_one() for _ in range(count)))

    async def submit_body(self, body, ident=None):
        """Submits a body; returns the answer's status."""
        head = self.head(f"Content-Length: {len(body)}", ident=ident)
        reader, writer = await asyncio.open_connection(
            self.fleet.ip(0, 0), CALLERS)
        try:
            writer.write(head + body)
            await writer.drain()
            return int((await reader.readline()).split()[1])
        except (ConnectionError, IndexError):
            return None
        finally:
            writer.transport.abort()

    async def check_processes(self):
        await asyncio.sleep(HELD_S)
        await self.check_an_ordinary_job()
        for process, pid in zip(self.fleet.processes, self.pids):
            self.assertEqual(process.child.pid, pid, process.name + " ended")
        self.check_limits()

    async def check_an_ordinary_job(self):
        job = self.caller.make_job()
        job.steps = [{"count": 1, "cpu": 500, "mem_mb": 100,
                      "traits": {"fails": False, "seconds": SHORT_TASK_S}}]
        job.queue = "quick"
        await self.wait_until("an ordinary job is accepted",
                              lambda: self.caller.submit(job))
        await self.wait_until_done(job)

    def check_limits(self):
        for name, peak in self.peak_mb.items():
            self.assertLessEqual(round(peak), MEMORY_MB, name)
        for name, peak in self.peak_descriptors.items():
            self.assertLessEqual(peak, DESCRIPTORS, name)

    async def check_next_leader(self):
        """The next leader loads the same jobs within its memory."""
        self.fleet.processes[0].signal(signal.SIGKILL)
        await asyncio.sleep(HELD_S)
        await self.check_an_ordinary_job()
        self.check_limits()

    async def leave_open(self, count, size, process=0, port=CALLERS):
        await self.crowd(process, port).send(
            count, [self.announced(size), bytes(size - 1)])

    async def leave_chunks_open(self, count, size, chunk_bytes=CHUNK_BYTES):
        whole = chunk(bytes(chunk_bytes))
        pieces = [whole] * (size // chunk_bytes)
        await self.crowd().send(count, [self.chunked(), *pieces])

    # Bodies of a legal size that stop one byte short of their end.

    async def test_legal_bodies_left_open(self):
        await self.leave_open(CROWD, LEGAL_BODY_BYTES)
        await self.check_processes()

    async def test_legal_bodies_in_pieces(self):
        piece = bytes(8192)
        count = LEGAL_BODY_BYTES // len(piece) - 1
        await self.crowd().send(
            CROWD, [self.announced(LEGAL_BODY_BYTES), *[piece] * count,
                    piece[1:]], pause_s=SAMPLE_S)
        await self.check_processes()

    async def test_legal_chunked_bodies_left_open(self):
        await self.leave_chunks_open(CROWD, LEGAL_BODY_BYTES)
        await self.check_processes()

    async def test_small_chunks_left_open(self):
        await self.crowd().send(
            CROWD, [self.chunked(), *[chunk(b"x") * 6500] * 20])
        await self.check_processes()

    # Bodies that are larger than any caller may send.

    async def test_large_bodies_left_open(self):
        await self.leave_open(12, LARGE_BODY_BYTES)
        await self.check_processes()

    async def test_large_chunked_bodies_left_open(self):
        await self.leave_chunks_open(12, LARGE_BODY_BYTES)
        await self.check_processes()

    async def test_bodies_over_the_limit(self):
        size = 2 * LARGE_BODY_BYTES
        data = bytes(CHUNK_BYTES)
        count = size // len(data)
        for pieces in ([self.announced(size), *[data] * count],
                       [self.chunked(), *[chunk(data)] * count]):
            await self.crowd().send(30, pieces)
        await self.check_processes()

    # A client that sends the whole body first would otherwise see a reset.
    async def test_a_body_over_the_limit_is_answered(self):
        size = LARGE_BODY_BYTES + 2**20
        data = bytes(CHUNK_BYTES)
        whole = [chunk(data)] * (size // len(data)) + [b"0\r\n\r\n"]
        for pieces in ([self.announced(size), bytes(size)],
                       [self.chunked(), *whole]):
            reader, writer = await asyncio.open_connection(
                self.fleet.ip(0, 0), CALLERS)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            self.assertIn(b" 413 ", await reader.readline())
            writer.close()

    # The same at other ports.

    async def test_large_bodies_at_the_internal_port(self):
        await self.leave_open(12, LARGE_BODY_BYTES, port=INTERNAL)
        await self.check_processes()

    async def test_large_bodies_at_the_executors_port(self):
        await self.leave_open(12, LARGE_BODY_BYTES, process=self.entries,
                              port=HEARTBEATS)
        await self.check_processes()

    async def test_large_answers_of_an_executor(self):
        executor = self.fleet.executors[0]
        snapshot = executor.snapshot
        executor.snapshot = lambda: snapshot() | {"other": "x" * (30 << 20)}
        await asyncio.sleep(HELD_S)
        executor.snapshot = snapshot
        await self.check_processes()

    # Whole requests.

    async def test_large_submissions(self):
        await self.submit_all(CROWD, large_submission())
        await self.check_processes()
        await self.check_next_leader()

    # Each is answered before the next arrives, so bodies need little memory.
    async def test_large_submissions_in_turn(self):
        await self.submit_all(200, large_submission(), at_once=4)
        await self.check_processes()
        await self.check_next_leader()

    async def test_submissions_of_many_tasks(self):
        await self.submit_all(200, many_tasks())
        await self.check_processes()
        await self.check_next_leader()

    # Guards against processes that end for their memory: one message of start
    # orders held a copy of a job's text for each of its tasks.
    async def test_start_orders_of_many_tasks(self):
        for _ in range(2):
            job = self.caller.make_job()
            job.queue = "quick"
            job.spec = "x" * LEGAL_SPEC_BYTES
            job.steps = [{"count": 10_000, "cpu": 0, "mem_mb": 0,
                          "est_duration_ms": 1000,
                          "traits": {"fails": False, "seconds": SHORT_TASK_S}}]
            self.assertTrue(await self.caller.submit(job))
        await self.check_processes()

    # 503 promises that the job never runs.
    async def test_a_repeated_submission_is_not_refused(self):
        accepted = "00000000000000aa"
        self.assertEqual(await self.submit_body(many_tasks(), accepted), 200)
        statuses = await self.submit_all(20, many_tasks(), at_once=1)
        self.assertEqual(statuses[-1], 503)
        self.assertEqual(await self.submit_body(many_tasks(), accepted), 200)

    # As an earlier version accepted them.
    async def test_stored_jobs_of_many_tasks(self):
        await self.store_many_tasks()
        await self.check_processes()
        await self.check_next_leader()

    # A job that a leader holds for another term was accepted and may run.
    async def test_a_held_job_is_not_refused(self):
        idents = await self.store_many_tasks()
        await asyncio.sleep(HELD_S)
        status = await self.submit_body(many_tasks(), idents[-1])
        self.assertEqual(status, 200)

    async def store_many_tasks(self):
        """Puts 200 jobs into the store; returns their ids."""
        self.assertEqual(await self.submit_all(1, many_tasks()), [200])
        store = self.fleet.store
        key = max(name for name in store.items
                  if name.startswith("springstair/jobs/") and
                  '"count":10000' in store.text(store.items[name]))
        ident = key.rsplit("/", 1)[1]
        text = store.text(store.items[key])
        idents = [f"{number:016x}" for number in range(200)]
        for other in idents:
            value = base64.b64encode(text.replace(ident, other).encode())
            store.apply({"put": [{"tls_key": key.replace(ident, other),
                                  "value": value.decode()}]})
        return idents

    async def test_documents_that_are_refused(self):
        statuses = await self.submit_all(100, zeros())
        self.assertNotIn(200, statuses)
        await self.check_processes()

    # Connections that send no whole header.

    async def test_slow_headers(self):
        await self.crowd().send(
            IDLE_CROWD, [bytes([byte]) for byte in self.head()], pause_s=1)
        await self.check_processes()

    async def test_idle_connections(self):
        await self.crowd().send(IDLE_CROWD, [])
        await self.check_processes()


if __name__ == "__main__":
    unittest.main()
