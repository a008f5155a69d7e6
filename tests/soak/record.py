"""Records what callers and executors observed and checks it against the
system's guarantees. Breaches are logged with their time; any breach fails the
soak."""

import collections
import time

CANCEL_DEADLINE_S = 3.0  # max time from a cancellation to the last start
UNDISTURBED_S = 4.0  # min time since the last fault for that deadline to hold
MAX_ATTEMPTS = 3
MIN_CRASHES_TO_FAIL = 2  # executor crashes of a task that may fail its job
MAX_CRASHES = 3  # executor crashes after which STARTS_AFTER applies
STARTS_AFTER = 2  # max starts of a task after MAX_CRASHES crashes
CLOSURE_DEADLINE_S = 5.0  # max time from a zone's closure to the last start
MAX_HELD_UP_S = 6.0  # max time that links and pauses may delay an order
FINAL_STATES = ("succeeded", "failed", "cancelled")


class Submission:
    def __init__(self, ident, spec, steps):
        self.ident = ident
        self.spec = spec
        self.steps = steps  # as submitted, plus traits that are not sent
        self.answers = []  # statuses; None: outcome unknown, 0: not sent
        self.accepted = None
        self.cancelled = None
        self.cancel_sent = False
        self.started = False
        self.state = "pending"
        self.state_at = 0.0  # when this state was first reported

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
        self.done = set()  # tasks with an end "done"
        self.acknowledged_done = set()  # tasks with an acknowledged end "done"
        self.failures = {}  # task: number of failed runs
        self.acknowledged_failures = {}  # task: number of acknowledged ones
        self.unacknowledged_done = {}  # task: its unacknowledged "done" ends
        # Ends in unacknowledged_done after which the task started again.
        self.restarted_ends = set()
        self.crashes = {}  # task: number of executor crashes while it ran
        self.starts_after_limit = {}  # task: starts after MAX_CRASHES crashes
        self.last_fault_at = self.began
        self.entries = 0  # number of entries; executor n has guard n - entries
        self.closed = {}  # zone: when it was closed
        self.held_up_at = {}  # guard or link: when a fault last began or ended
        self.start_count = 0
        self.call_count = 0
        self.refused = collections.Counter()  # refused starts, stops by answer
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

    # -- executors -----------------------------------------------------------

    def on_call(self, executor, kind, order, sender):
        """Logs a received start or stop and returns its name in the log."""
        self.call_count += 1
        call = f"call {self.call_count}"
        self.note(call, "received:", kind, order["task"], order["run"],
                  executor.incarnation, "from", sender)
        return call

    def find_task(self, task):
        ident, _, step, _ = task.split(".")
        job = self.jobs.get(ident)
        return job, (job.steps[int(step)] if job else None)

    def on_start(self, executor, task, number, order, call):
        """Checks the start of a run; returns how the run is to behave."""
        self.start_count += 1
        self.note("start", task, number, executor.incarnation, "by", call)
        job, step = self.find_task(task)
        if job is None or job.spec != order["spec"]:
            self.breach("UNASKED", task, "was not submitted with this spec")
            return {"long_running": False, "seconds": 0.1, "fails": False,
                    "crashes_after": None}
        job.started = True
        self.check_start(executor, job, step, task)
        self.live.setdefault(task, []).append(executor)
        return {"long_running": step.get("long_running", False),
                "seconds": step["traits"]["seconds"],
                "fails": step["traits"]["fails"],
                "checkpoint_bytes": step["traits"].get("checkpoint_bytes", 0),
                "crashes_after": step["traits"].get("crashes_after")
                if task.endswith(".0") else None}

    def check_start(self, executor, job, step, task):
        others = [f"{one.incarnation} as run {one.runs[task].number} by "
                  f"{one.runs[task].call}" for one in self.live.get(task, [])]
        if others:
            self.breach("TWICE", task, "already runs at", others)
        if task in self.acknowledged_done:
            self.breach("TWICE", task, "started after its acknowledged end")
        self.restarted_ends |= self.unacknowledged_done.get(task, set())
        for before in step.get("depends_on", []):
            for index in range(job.steps[before]["count"]):
                if f"{job.ident}.0.{before}.{index}" not in self.done:
                    self.breach("ORDER", task, "before step", before)
        failures = self.acknowledged_failures.get(task, 0)
        if failures >= MAX_ATTEMPTS and not job.is_long_running():
            self.breach("BUDGET", task, "started after", failures, "failures")
        self.check_crashes(step, task)
        self.check_open(executor, task)
        late = (job.cancelled and
                time.monotonic() - job.cancelled > CANCEL_DEADLINE_S)
        if late and self.is_undisturbed():
            self.breach("UNASKED", task, "started after its cancellation")
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
            self.breach("BUDGET", task, "started after",
                        self.crashes[task], "executor crashes")

    def exceeded_capacity(self, executor, task):
        """The resources that an executor's runs and this task exceed, with the
        amounts needed."""
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
        self.note("lost", task, executor.incarnation)

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
                self.breach("TWICE", task, "started after an end that was "
                            "acknowledged later")
        if how == "failed":
            self.acknowledged_failures[task] = (
                self.acknowledged_failures.get(task, 0) + 1)

    def on_lease_expired(self, executor):
        """Drops the executor's unacknowledged ends: after a lease expires,
        their acknowledgement no longer counts (the platform's rule)."""
        for ends in self.unacknowledged_done.values():
            ends -= {end for end in ends if end[2] == executor.incarnation}

    # -- callers -------------------------------------------------------------

    def on_answer(self, job, status):
        job.answers.append(status)
        if status == 200 and job.accepted is None:
            job.accepted = time.monotonic()
            self.note("accepted", job.ident)

    def on_cancelled(self, job):
        job.cancelled = job.cancelled or time.monotonic()
        self.note("cancelled", job.ident)

    def on_state(self, job, status, state, asked_at, entry):
        """Checks an entry's answer to a query sent at asked_at."""
        if status == 410 and job.accepted and not job.cancel_sent:
            self.breach("LOST", job.ident, "is no longer known")
        if status != 200:
            return
        ended = job.state in FINAL_STATES
        if state != job.state:
            self.note("reported", job.ident, state, "by entry", entry,
                      f"queried {time.monotonic() - asked_at:.3f} s ago")
        # A query sent before the job's end was reported may be answered late
        # with an earlier state; no answer may report a different end.
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
            self.breach("LOST", job.ident,
                        "is cancelled, but no caller cancelled it")
        if state == "failed" and not self.has_cause(job):
            self.breach("LOST", job.ident,
                        "failed without enough failures or crashes")

    def has_cause(self, job):
        return any(self.failures.get(task, 0) >= MAX_ATTEMPTS
                   or self.crashes.get(task, 0) >= MIN_CRASHES_TO_FAIL
                   for task in job.tasks())

    # -- final checks --------------------------------------------------------

    def open_jobs(self):
        """Accepted jobs, neither cancelled nor failed, that have not ended; or
        long-running ones with a task that does not run."""
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
            self.breach("LOST", job.ident, "is", job.state, "at the end")
        for job in self.jobs.values():
            refused = job.answers and all(
                status in (429, 503, 0) for status in job.answers)
            if refused and job.started:
                self.breach("REFUSED", job.ident, "ran although refused")
            running = [task for task in job.tasks() if self.live.get(task)]
            if job.cancelled and running:
                self.breach("UNASKED", "cancelled, but still running:",
                            running)
