"""Callers that submit jobs, query their state and cancel some. Each call goes
to a random entry over a kept-alive connection."""

import asyncio
import json
import random
import time

from fleet import HOST
from record import Submission

QUERY_INTERVAL_S = 0.5
MAX_TRIES = 6
WEIGHTS = (70, 25, 5)  # relative frequency of quick, heavy and lasting jobs
CRASHING_SHARE = 0.03  # of jobs; 3 to 4 tasks in 20 s at 6 jobs per second
LARGE_COUNT = 300  # tasks of a large job
LARGE_SPEC_BYTES = 4000  # the platform's limit
LARGE_IMAGE_BYTES = 20_000
LARGE_CHECKPOINT_BYTES = 50_000


class Caller:
    def __init__(self, fleet, record, draw, weights=WEIGHTS,
                 crashing=CRASHING_SHARE, large=0.0):
        self.fleet = fleet
        self.record = record
        self.draw = draw
        self.weights = weights
        self.crashing = crashing
        self.large = large
        self.idle = [[] for _ in fleet.entries]

    async def call(self, method, job, document=None):
        status, answer, _ = await self.call_entry(method, job, document)
        return status, answer

    async def call_entry(self, method, job, document=None):
        """Like call(); also returns the number of the entry called."""
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "Deadline-Ms": "2500"}
        path = f"/{job.queue}/{job.ident}"
        number = self.draw.randrange(len(self.idle))
        idle = self.idle[number]
        connection = idle.pop() if idle else self.fleet.connection(number)
        status, answer = await connection.call(method, path, document, headers)
        idle.append(connection)
        return status, answer, number

    def make_job(self):
        draw = self.draw
        kind = draw.choices(("quick", "heavy", "lasting"), self.weights)[0]
        poison = draw.random() < 0.03
        steps = []
        for number in range(1 if kind == "lasting" else draw.randint(1, 3)):
            heavy = kind == "heavy"
            step = {"count": draw.randint(1, 4 if heavy else 3),
                    "cpu": 2500 if heavy else draw.randrange(200, 1500),
                    "mem_mb": draw.randrange(100, 3000),
                    "est_duration_ms": 500, "image": f"{kind}{number}"}
            if number:
                step["depends_on"] = [number - 1]
            if kind == "lasting":
                step |= {"long_running": True, "cpu": 500}
            step["traits"] = {"fails": poison, "seconds":
                              draw.uniform(0.1, 1.5 if heavy else 0.5)}
            steps.append(step)
        job = Submission(f"{draw.getrandbits(64):016x}", "", steps)
        job.spec = json.dumps({"of": job.ident})
        job.queue = kind
        self.add_crashing_task(job)
        self.make_large(job)
        self.record.jobs[job.ident] = job
        return job

    def make_large(self, job):
        """Makes some jobs large in one way, within the platform's limits."""
        draw = random.Random(job.ident + " large")
        if draw.random() >= self.large:
            return
        way = draw.choice(("tasks", "text", "image", "checkpoint"))
        step = job.steps[0]
        if way == "tasks" and job.queue != "lasting":
            step |= {"count": LARGE_COUNT, "cpu": 0, "mem_mb": 0}
        elif way == "text":
            job.spec = job.spec.ljust(LARGE_SPEC_BYTES)
        elif way == "image":
            step["image"] = step["image"].ljust(LARGE_IMAGE_BYTES, "i")
        else:
            step["traits"]["checkpoint_bytes"] = LARGE_CHECKPOINT_BYTES

    def add_crashing_task(self, job):
        """Gives some jobs a task that crashes each executor that starts it."""
        draw = random.Random(job.ident)
        if draw.random() < self.crashing:
            draw.choice(job.steps)["traits"]["crashes_after"] = draw.choice(
                (0, draw.uniform(0, 0.3)))

    async def submit(self, job):
        """Retries after a refusal or a missing answer, as the platform's
        clients do."""
        visible = [{name: value for name, value in step.items()
                    if name != "traits"} for step in job.steps]
        for _ in range(MAX_TRIES):
            status, _ = await self.call(
                "POST", job, {"spec": job.spec, "steps": visible})
            self.record.on_answer(job, status)
            if status == 200:
                return True
            await asyncio.sleep(self.draw.uniform(0.1, 0.6))
        return False

    async def cancel(self, job):
        job.cancel_sent = True
        for _ in range(MAX_TRIES):
            status, _ = await self.call("DELETE", job)
            if status in (200, 410):
                self.record.on_cancelled(job)
                return
            await asyncio.sleep(0.3)

    async def follow(self, job, until):
        """Submits a job, cancels some, and queries it until it has ended."""
        if not await self.submit(job):
            return
        if self.draw.random() < 0.1:
            await asyncio.sleep(self.draw.uniform(0, 1.5))
            await self.cancel(job)
        while not until.is_set() and job.state in ("pending", "running"):
            await asyncio.sleep(QUERY_INTERVAL_S)
            await self.query(job)

    async def query(self, job):
        asked_at = time.monotonic()
        status, answer, entry = await self.call_entry("GET", job)
        self.record.on_state(job, status, answer.get("state"), asked_at, entry)

    async def run(self, seconds, rate, until):
        """Submits jobs for the given seconds and follows each until it has
        ended or until is set."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        followed = []
        while loop.time() < end:
            followed.append(asyncio.create_task(
                self.follow(self.make_job(), until)))
            await asyncio.sleep(self.draw.expovariate(rate))
        await asyncio.gather(*followed)

    def close(self):
        for idle in self.idle:
            for connection in idle:
                connection.close()
