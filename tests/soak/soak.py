"""Randomized soak test of the job system: runs the real programs, injects
faults from outside and checks what callers and executors observed.

    soak.py --seed 7                        one seed
    soak.py --seeds 50 --from 1 --jobs 4    seeds 1 to 50, four at a time
"""

import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from callers import CRASHING_SHARE, WEIGHTS, Caller  # noqa: E402
from faults import Faults  # noqa: E402
from fleet import PROGRAM, Fleet  # noqa: E402
from outages import Outages  # noqa: E402
from record import FINAL_STATES, Record  # noqa: E402
from restarts import Restarts  # noqa: E402

READY_S = 20  # timeout for the first accepted job
SETTLE_S = 25  # max time from the last fault to every job's end; leases: 10 s
SILENCE_INTERVAL_S = 4  # mean time between faults that silence connections
CLOSURE_INTERVAL_S = 3  # keeps the two zones closed about half of the time
OBSERVATION_S = 1.5  # wait for forbidden events after all jobs have ended


async def wait_until_ready(fleet, record, draw, options):
    caller = Caller(fleet, record, draw, options.weights, options.crashing,
                    options.large)
    for _ in range(READY_S * 4):
        if await caller.submit(caller.make_job()):
            return caller
        await asyncio.sleep(0.25)
    record.breach("START", f"no job was accepted within {READY_S} s")
    return caller


async def run_seed(seed, options, directory):
    draw = random.Random(seed)
    record = Record()
    fleet = Fleet(random.Random(seed + 1), record, directory,
                  options.entries, options.guards,
                  enforces=random.Random(seed + 6).random() < 0.5)
    until = asyncio.Event()
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: record.breach("HARNESS",
                                         repr(context.get("exception")),
                                         context.get("message")))
    try:
        await fleet.start()
        caller = await wait_until_ready(fleet, record, draw, options)
        load = asyncio.create_task(
            caller.run(options.seconds, options.rate, until))
        await asyncio.gather(
            Faults(fleet, record, random.Random(seed + 2)).run(
                options.seconds, options.gap),
            Faults(fleet, record, random.Random(seed + 3),
                   only="silent links").run(
                       options.seconds, SILENCE_INTERVAL_S),
            Faults(fleet, record, random.Random(seed + 4),
                   only="closures").run(options.seconds, CLOSURE_INTERVAL_S),
            Outages(fleet, record, random.Random(seed + 5)).run(
                options.seconds, options.outage_gap),
            Restarts(fleet, record, random.Random(seed + 7)).run(
                options.seconds, options.restart_gap))
        fleet.end_faults()
        record.note_fault("all faults ended")
        await wait_for_jobs(fleet, record, caller)
        until.set()
        await load
        await asyncio.sleep(OBSERVATION_S)
        record.check_end()
        caller.close()
        for process in fleet.processes:
            if not process.is_running():
                record.breach("AWAY", process.name,
                              "is not running at the end")
            if process.unexpected_exits:
                record.breach("EXIT", process.name, "exited unexpectedly")
            if process.exceeds_bounds():
                record.breach("BOUNDS", process.name, process.max_mb, "MB",
                              process.max_descriptors, "descriptors")
        record.note("peak usage:", *(
            f"{process.name} {process.max_mb:.1f} MB "
            f"{process.max_descriptors} fds;"
            for process in fleet.processes))
    finally:
        fleet.end()
    record.takeovers = fleet.store.takeovers
    return record


async def wait_for_jobs(fleet, record, caller):
    """Waits until no accepted job is open, or for SETTLE_S. Queries open jobs,
    since the answers to earlier queries may be lost."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SETTLE_S
    while record.open_jobs() and loop.time() < end:
        for job in record.open_jobs():
            await caller.query(job)
        await asyncio.sleep(0.3)


def print_result(seed, record, directory):
    with open(os.path.join(directory, "story.txt"), "w",
              encoding="utf-8") as out:
        out.write("\n".join(record.log) + "\n")
    ended = sum(job.state in FINAL_STATES for job in record.jobs.values())
    accepted = sum(job.accepted is not None for job in record.jobs.values())
    print(f"seed {seed}: {len(record.jobs)} jobs, {accepted} accepted, {ended} "
          f"ended, {record.start_count} starts, "
          f"{len(record.breaches)} breaches",
          flush=True)
    for breach in record.breaches[:8]:
        print("   ", breach, flush=True)


def result_counts(record):
    """The counts of one seed that print_totals sums up."""
    return {"breaches": collections.Counter(
                breach.partition(":")[0] for breach in record.breaches),
            "counts": {"starts": record.start_count,
                       "takeovers": record.takeovers,
                       "accepted jobs": sum(job.accepted is not None
                                            for job in record.jobs.values())},
            "starts and stops refused": record.refused,
            "faults": record.fault_counts}


def print_totals(directory):
    """Prints the sums over all seeds by kind, and the fault kinds that no seed
    injected."""
    sums = {}
    seeds = os.listdir(directory)
    for name in seeds:
        with open(os.path.join(directory, name), encoding="utf-8") as text:
            for group, counts in json.load(text).items():
                sums.setdefault(group, collections.Counter()).update(counts)
    print("seeds with results:", len(seeds))
    for group, counts in sums.items():
        print(f"{group}:", ", ".join(
            f"{name} {count}" for name, count in sorted(counts.items()))
            or "none")
    faults = sums.get("faults", {})
    never = [name for name, count in faults.items() if not count]
    print("faults never injected:", ", ".join(sorted(never)) or "none")


def run_one_seed(options):
    directory = options.keep or tempfile.mkdtemp(prefix="springstair-soak-")
    os.makedirs(directory, exist_ok=True)
    record = asyncio.run(run_seed(options.seed, options, directory))
    print_result(options.seed, record, directory)
    if options.figures:
        with open(options.figures, "w", encoding="utf-8") as out:
            json.dump(result_counts(record), out)
    if record.breaches:
        print("    logs:", directory, flush=True)
        return 1
    if not options.keep:
        shutil.rmtree(directory)
    return 0


def command_for_seed(options, seed, figures):
    """The command that runs one of many seeds with the given options."""
    line = [sys.executable, __file__, "--seed", str(seed),
            "--figures", os.path.join(figures, f"{seed}.json")]
    for name in ("seconds", "rate", "gap", "outage_gap", "restart_gap",
                 "entries", "guards", "crashing", "large"):
        line += ["--" + name.replace("_", "-"), str(getattr(options, name))]
    line += ["--weights", *map(str, options.weights)]
    if options.keep:
        line += ["--keep", os.path.join(options.keep, f"seed-{seed}")]
    return line


def run_many_seeds(options):
    """Runs each seed in its own process, options.jobs at a time. All run one
    copy of the program, so a concurrent build does not affect them."""
    copies = tempfile.mkdtemp(prefix="springstair-program-")
    os.environ["SPRINGSTAIR_PROGRAM"] = shutil.copy2(PROGRAM, copies)
    figures = tempfile.mkdtemp(prefix="springstair-figures-")
    waiting = list(range(options.first, options.first + options.seeds))
    running, failed = [], []
    while waiting or running:
        while waiting and len(running) < options.jobs:
            seed = waiting.pop(0)
            running.append((seed, subprocess.Popen(
                command_for_seed(options, seed, figures))))
        seed, child = running.pop(0)
        if child.wait():
            failed.append(seed)
    shutil.rmtree(copies)
    print_totals(figures)
    shutil.rmtree(figures)
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed",
          failed or "")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--from", dest="first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--rate", type=float, default=6)
    parser.add_argument("--gap", type=float, default=1.2)
    parser.add_argument("--outage-gap", type=float, default=5)
    parser.add_argument("--restart-gap", type=float, default=4,
                        help="mean seconds between executor restarts")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--guards", type=int, default=5)
    parser.add_argument("--weights", type=int, nargs=3, default=WEIGHTS,
                        help="relative frequency of quick, heavy and lasting "
                        "jobs")
    parser.add_argument("--crashing", type=float, default=CRASHING_SHARE,
                        help="share of jobs with a task that crashes executors")
    parser.add_argument("--large", type=float, default=0.0,
                        help="share of jobs that are large in one way: tasks, "
                        "text, image or checkpoints")
    parser.add_argument("--keep", help="directory for process logs and the "
                        "event log (story.txt); with --seeds, one "
                        "subdirectory per seed")
    parser.add_argument("--figures",
                        help="output file (JSON) for one seed's counts")
    options = parser.parse_args()
    return run_many_seeds(options) if options.seeds else run_one_seed(options)


if __name__ == "__main__":
    sys.exit(main())
