"""What callers and executors saw, checked against the promises. A breach is
kept with its moment; the soak fails if there is any."""

import collections
import time

CANCEL_DEADLINE_S = 3.0  # after a cancellation nothing starts any more
UNDISTURBED_S = 4.0  # bounds on time hold once nothing was last_fault_at for so long
MAX_ATTEMPTS = 3
MIN_CRASHES_TO_FAIL = 2  # a job may end for a task after so many
MAX_CRASHES = 3  # of executors that one task may bring about ...
STARTS_AFTER = 2  # ... and starts of it after that
CLOSURE_DEADLINE_S = 5.0  # after a zone is closed nothing begins there any more
MAX_HELD_UP_S = 6.0  # links and pauses may hold an order back for so long
FINAL_STATES = ("succeeded", "failed", "cancelled")


class Submission:
    def __init__(self, ident, spec, steps):
        self.ident = ident
        self.spec = spec
        self.steps = steps  # as submitted, with hidden traits beside
        self.answers = []  # statuses; None: unknown
        self.accepted = None
        self.cancelled = None
        self.cancel_sent = False
        self.started = False
        self.state = "pending"
        self.state_at = 0.0  # when the newest state was shown

    def tasks(self):
        for step, traits in enumerate(self.steps):
            for index in range(traits["count"]):
                yield f"{self.ident}.0.{step}.{index}"

    def is_long_running(self):
        return any(step.get("long_running") for step in self.steps)


class Record:
    def __init__(self):
        self.began = time.monotonic()
        self.jobs = {}
        self.live = {}  # task: executors that run it now
        self.done = set()  # tasks of which an end "done" was listed
        self.acknowledged_done = set()  # ... and taken note of
        self.failures = {}  # task: failures that were listed
        self.acknowledged_failures = {}  # task: ... and taken note of
        self.unacknowledged_done = {}  # task: ends "done" that are not taken note of yet
        self.restarted_ends = set()  # ... and after which the task was started
        self.crashes = {}  # task: executors that crashed under it
        self.starts_after_limit = {}  # ... and its starts after the last allowed one
        self.last_fault_at = self.began
        self.entries = 0  # executors are numbered after them
        self.closed = {}  # zone: when it was closed
        self.held_up_at = {}  # guard or link: when it last was held up or healed
        self.start_count = 0
        self.call_count = 0
        self.refused = collections.Counter()  # starts and stops, by answer
        self.fault_counts = collections.Counter()  # faults by kind
        self.breaches = []
        self.log = [f"     began at {time.time():.3f} (s since 1970)"]

    def note(self, *words):
        stamp = time.monotonic() - self.began
        self.log.append(f"{stamp:8.3f} " + " ".join(str(w) for w in words))

    def breach(self, promise, *words):
        self.note("BREACH", promise, *words)
        self.breaches.append(f"{promise}: " + " ".join(str(w) for w in words))

    def note_fault(self, *words):
        self.last_fault_at = time.monotonic()
        if len(words) > 1:
            self.held_up_at[str(words[1])] = self.last_fault_at
        self.note("fault", *words)

    def is_undisturbed(self):
        return time.monotonic() - self.last_fault_at > UNDISTURBED_S

    # -- executors ---------------------------------------------------------------

    def on_call(self, executor, kind, order, sender):
        """An order to start or to stop came; gives the call's name."""
        self.call_count += 1
        call = f"call {self.call_count}"
        self.note(call, "came:", kind, order["task"], order["run"],
                  executor.incarnation, "from", sender)
        return call

    def find_task(self, task):
        ident, _, step, _ = task.split(".")
        job = self.jobs.get(ident)
        return job, (job.steps[int(step)] if job else None)

    def on_start(self, executor, task, number, order, call):
        """A run begins. Gives what it is to do."""
        self.start_count += 1
        self.note("start", task, number, executor.incarnation, "by", call)
        job, step = self.find_task(task)
        if job is None or job.spec != order["spec"]:
            self.breach("UNASKED", task, "was not submitted so")
            return {"long_running": False, "seconds": 0.1, "fails": False,
                    "crashes_after": None}
        job.started = True
        self.check_start(executor, job, step, task)
        self.live.setdefault(task, []).append(executor)
        return {"long_running": step.get("long_running", False),
                "seconds": step["traits"]["seconds"],
                "fails": step["traits"]["fails"],
                "crashes_after": step["traits"].get("crashes_after")
                if task.endswith(".0") else None}

    def check_start(self, executor, job, step, task):
        others = [f"{one.incarnation} as run {one.runs[task].number} by "
                  f"{one.runs[task].call}" for one in self.live.get(task, [])]
        if others:
            self.breach("TWICE", task, "runs already at", others)
        if task in self.acknowledged_done:
            self.breach("TWICE", task, "was done")
        self.restarted_ends |= self.unacknowledged_done.get(task, set())
        for before in step.get("depends_on", []):
            for index in range(job.steps[before]["count"]):
                if f"{job.ident}.0.{before}.{index}" not in self.done:
                    self.breach("ORDER", task, "before step", before)
        failures = self.acknowledged_failures.get(task, 0)
        if failures >= MAX_ATTEMPTS and not job.is_long_running():
            self.breach("BUDGET", task, "after", failures)
        self.check_crashes(step, task)
        self.check_open(executor, task)
        late = (job.cancelled and
                time.monotonic() - job.cancelled > CANCEL_DEADLINE_S)
        if late and self.is_undisturbed():
            self.breach("UNASKED", task, "was cancelled")
        for resource, amount in self.exceeded_capacity(executor, task).items():
            self.breach("LIMIT", executor.incarnation, resource, amount)

    def check_open(self, executor, task):
        now = time.monotonic()
        since = now - self.closed.get(executor.zone, now)
        number = executor.name[1:]
        held_up_at = max(
            self.held_up_at.get(name, self.began - MAX_HELD_UP_S)
            for name in (f"executor {number}",
                         f"guard-{int(number) - self.entries}"))
        if (since > CLOSURE_DEADLINE_S and not executor.order_delayed
                and now - held_up_at > MAX_HELD_UP_S):
            self.breach("CLOSED", task, "at", executor.incarnation,
                        f"{since:.1f} s")

    def check_crashes(self, step, task):
        if self.crashes.get(task, 0) < MAX_CRASHES:
            return
        self.starts_after_limit[task] = (
            self.starts_after_limit.get(task, 0) + 1)
        crashes = "crashes_after" in step["traits"] and task.endswith(".0")
        if crashes and self.starts_after_limit[task] > STARTS_AFTER:
            self.breach("BUDGET", task, "has crashed", self.crashes[task])

    def exceeded_capacity(self, executor, task):
        """What an executor has too little of to run a task beside its own."""
        used = {"cpu": 0, "mem_mb": 0}
        for other in [*executor.runs, task]:
            _, step = self.find_task(other)
            for name in used:
                used[name] += step[name] if step else 0
        return {name: amount for name, amount in used.items()
                if amount > executor.capacity[name]}

    def remove_run(self, executor, task):
        executors = self.live.get(task, [])
        if executor in executors:
            executors.remove(executor)

    def on_lost(self, executor, task):
        self.remove_run(executor, task)
        self.crashes[task] = self.crashes.get(task, 0) + 1
        self.note("vanished", task, executor.incarnation)

    def on_end(self, executor, task, number, how):
        self.remove_run(executor, task)
        self.note("end", task, number, executor.incarnation, how)
        if how == "done":
            self.done.add(task)
            self.unacknowledged_done.setdefault(task, set()).add(
                (task, number, executor.incarnation))
        if how == "failed":
            self.failures[task] = self.failures.get(task, 0) + 1

    def on_acknowledged(self, executor, task, number, how):
        self.note("acknowledged", task, number, executor.incarnation, how)
        end = (task, number, executor.incarnation)
        if how == "done" and end in self.unacknowledged_done.get(task, set()):
            self.unacknowledged_done[task].discard(end)
            self.acknowledged_done.add(task)
            if end in self.restarted_ends:
                self.breach("TWICE", task, "started after its end")
        if how == "failed":
            self.acknowledged_failures[task] = (
                self.acknowledged_failures.get(task, 0) + 1)

    def on_lease_expired(self, executor):
        """Ends listed before a lease ran out count as taken note of no more
        (the platform's rule)."""
        for ends in self.unacknowledged_done.values():
            ends -= {end for end in ends if end[2] == executor.incarnation}

    # -- callers -----------------------------------------------------------------

    def on_answer(self, job, status):
        job.answers.append(status)
        if status == 200 and job.accepted is None:
            job.accepted = time.monotonic()
            self.note("accepted", job.ident)

    def on_cancelled(self, job):
        job.cancelled = job.cancelled or time.monotonic()
        self.note("cancelled", job.ident)

    def on_state(self, job, status, state, asked_at, entry):
        """An entry's answer to a question that was sent at a time."""
        if status == 410 and job.accepted and not job.cancel_sent:
            self.breach("LOST", job.ident, "is not known any more")
        if status != 200:
            return
        ended = job.state in FINAL_STATES
        if state != job.state:
            self.note("shown", job.ident, state, "by entry", entry,
                      f"asked {time.monotonic() - asked_at:.3f} s ago")
        # An ask from before the end may be answered late with what was then;
        # no ask is ever answered with another end.
        changed = state in FINAL_STATES or asked_at > job.state_at
        if ended and state != job.state and changed:
            self.breach("MIXED", job.ident, job.state, "then", state,
                        "by entry", entry)
        if not ended and state != job.state:
            job.state = state
            job.state_at = time.monotonic()
        self.check_state(job, state)

    def check_state(self, job, state):
        missing = [task for task in job.tasks() if task not in self.done]
        if state == "succeeded" and missing:
            self.breach("MIXED", job.ident, "succeeded without", missing)
        if state == "cancelled" and not job.cancel_sent:
            self.breach("LOST", job.ident, "was never cancelled")
        if state == "failed" and not self.has_cause(job):
            self.breach("LOST", job.ident, "failed without cause")

    def has_cause(self, job):
        return any(self.failures.get(task, 0) >= MAX_ATTEMPTS
                   or self.crashes.get(task, 0) >= MIN_CRASHES_TO_FAIL
                   for task in job.tasks())

    # -- in the end --------------------------------------------------------------

    def open_jobs(self):
        """Accepted jobs that are not where they should be in the end."""
        out = []
        for job in self.jobs.values():
            if not job.accepted or job.cancelled or job.state == "failed":
                continue
            if job.is_long_running():
                missing = [task for task in job.tasks()
                           if not self.live.get(task)]
                out += [job] if missing else []
            elif job.state not in FINAL_STATES:
                out.append(job)
        return out

    def check_end(self):
        for job in self.open_jobs():
            self.breach("LOST", job.ident, "is", job.state, "in the end")
        for job in self.jobs.values():
            refused = job.answers and all(
                status in (429, 503, 0) for status in job.answers)
            if refused and job.started:
                self.breach("REFUSED", job.ident, "ran though refused")
            running = [task for task in job.tasks() if self.live.get(task)]
            if job.cancelled and running:
                self.breach("UNASKED", "cancelled, but runs:", running)
