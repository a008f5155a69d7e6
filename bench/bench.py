"""Measures the request path at the sizes of both deployments. Only ratios
within one run are meaningful; absolute figures depend on the machine."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "scripts"))

from fleet import Fleet, call, collect, hash_of, wait_for  # noqa: E402

SLOTS = 11 * 8
FAST_MS = 5
HEAVY_MS = 400
SIZES = {"port-of-spain": {"far_us": 500, "client_us": 3000},
         "paczkarnia": {"far_us": 1500, "client_us": 1000}}
SECONDS = int(os.environ.get("BENCH_SECONDS", "12"))
SEEDS = [int(s) for s in os.environ.get("BENCH_SEEDS", "1,2,3").split(",")]


def rows(workspaces=1, limit=0):
    table = {}
    for n in range(workspaces):
        name = f"w{n + 1}"
        table[name] = {"weight": 1, "max_in_flight": limit,
                       "credential_hashes": [hash_of(name)]}
        table[name + "/fast"] = {
            "kind": "latency-critical", "reserved_slots": 1, "weight": 4,
            "repeatable": True}
        table[name + "/heavy"] = {"kind": "heavy"}
        table[name + "/background"] = {"kind": "batch", "weight": 0.5}
    return table


def stream(class_name, rate, service_ms, workspace="w1", deadline_ms=10000):
    return {"label": f"{workspace}/{class_name}", "class": class_name,
            "rate": rate, "credential": workspace, "workspace": workspace,
            "service_ms": service_ms, "deadline_ms": deadline_ms}


def fast(rate=600, workspace="w1"):
    return stream("fast", rate, FAST_MS, workspace, 1000)


def overload(factor=1.2):
    """Heavy and background streams that offer `factor` times the load that all
    slots can serve."""
    rate = factor * SLOTS / (HEAVY_MS / 1000)
    return [stream("heavy", rate * 0.7, HEAVY_MS),
            stream("background", rate * 0.3, HEAVY_MS)]


def deployment(size, **options):
    return Fleet(guards=11, entries=3, data_centres=3,
                 far_us=SIZES[size]["far_us"], **options)


def run(fleet, size, streams, seed, seconds=SECONDS):
    plan = {"duration_ms": seconds * 1000, "seed": seed, "streams": streams,
            "prefix": f"s{seed}-{time.monotonic()}",
            "client_delay_us": SIZES[size]["client_us"]}
    return collect(fleet.load(plan, ids=False))


def median(values):
    return sorted(values)[len(values) // 2]


def show(name, values, unit=""):
    print(f"    {name:58}{median(values):8.2f}{unit}   "
          f"({min(values):.2f} to {max(values):.2f})", flush=True)


# -- fast class during overload ----------------------------------------------


def completed_heavy(result):
    return sum(one["in_window"] for label, one in result.items()
               if not label.endswith("fast"))


def beside_overload(size):
    print(f"{size}: fast class beside 1.2 x heavy and background work")
    variants = {"ours": {}, "random": {"routing": "random", "reserve": False},
            "least loaded": {"routing": "least_loaded", "reserve": False}}
    unloaded_p99, p99, done, refused = [], {v: [] for v in variants}, \
        {v: [] for v in variants}, {v: [] for v in variants}
    for variant, options in variants.items():
        with deployment(size, **options) as fleet:
            fleet.up(rows())
            for seed in SEEDS:
                if variant == "ours":
                    unloaded = run(fleet, size, [fast()], seed)
                    unloaded_p99.append(unloaded["w1/fast"]["p99_ms"])
                result = run(fleet, size, [fast()] + overload(), seed)
                one = result["w1/fast"]
                p99[variant].append(one["p99_ms"])
                refused[variant].append(
                    100 * (one["sent"] - one["answered"]) / one["sent"])
                done[variant].append(completed_heavy(result))
    show("fast alone, p99", unloaded_p99, " ms")
    for variant in variants:
        show(f"{variant}: p99", p99[variant], " ms")
        show(f"{variant}: p99 / p99 of fast alone",
             [a / b for a, b in zip(p99[variant], unloaded_p99)])
        show(f"{variant}: fast not answered", refused[variant], " %")
        show(f"{variant}: heavy work completed / best baseline's",
             [d / max(r, s) for d, r, s in zip(
                 done[variant], done["random"], done["least loaded"])])


# -- one workspace floods the fleet ------------------------------------------


def flood(size):
    print(f"{size}: one workspace offers ten times its share")
    others = ("w2", "w3", "w4")
    ratios = []
    with deployment(size) as fleet:
        fleet.up(rows(4, limit=60))
        for seed in SEEDS:
            def streams(factor):
                result = [fast(100 * factor, "w1"),
                          stream("heavy", 40 * factor, HEAVY_MS, "w1")]
                for name in others:
                    result += [fast(100, name),
                               stream("heavy", 40, HEAVY_MS, name)]
                return result
            baseline = run(fleet, size, streams(1), seed)
            flooded = run(fleet, size, streams(10), seed)
            ratios.append(max(flooded[f"{n}/fast"]["p99_ms"] /
                             baseline[f"{n}/fast"]["p99_ms"] for n in others))
            print("      refused, flooding workspace:",
                  flooded["w1/fast"]["not_run"], "others:",
                  [flooded[f"{n}/fast"]["not_run"] for n in others])
    show("worst p99 of the others, flooded / baseline", ratios)


# -- store outage ------------------------------------------------------------


def store_down(size):
    print(f"{size}: the store down for the whole run")
    with deployment(size) as fleet:
        fleet.up(rows())
        load = [fast(), stream("heavy", 100, HEAVY_MS)]
        up = run(fleet, size, load, SEEDS[0])
        fleet.set_store("down")
        down = run(fleet, size, load, SEEDS[0])
        for label, one in down.items():
            print(f"    {label}: {one['sent']} sent, {one['answered']} "
                  f"answered, refused {one['not_run']} {one['unknown']}")
        show("fast p99, store down / up", [
            down["w1/fast"]["p99_ms"] / up["w1/fast"]["p99_ms"]])


# -- cost of the two hops ----------------------------------------------------


def cpu_seconds(fleet, kind):
    ticks = 0
    for name, process in fleet.processes.items():
        if name.startswith(kind):
            with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
                words = file.read().rsplit(")", 1)[1].split()
            ticks += int(words[11]) + int(words[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def hops(size):
    print("cost of the two hops, compared to calling executors directly")
    rate = 400
    with deployment(size) as fleet:
        fleet.up(rows())
        latency, p50 = [], []
        for seed in SEEDS:
            kinds = ("entry", "guard", "worker")
            idle = {k: cpu_seconds(fleet, k) for k in kinds}
            time.sleep(SECONDS)
            before = {k: cpu_seconds(fleet, k) for k in kinds}
            scheduled = run(fleet, size, [fast(rate)], seed)["w1/fast"]
            after = {k: cpu_seconds(fleet, k) for k in kinds}
            direct = collect(fleet.load({
                "duration_ms": SECONDS * 1000, "seed": seed,
                "balancer": False, "prefix": f"direct-{seed}",
                "client_delay_us": SIZES[size]["client_us"],
                "targets": [{"address": a} for a in fleet.workers.values()],
                "streams": [fast(rate)]}, ids=False))["w1/fast"]
            p50.append(scheduled["p50_ms"] - direct["p50_ms"])
            latency.append(scheduled["p99_ms"] / direct["p99_ms"])
            for kind in kinds:
                base = before[kind] - idle[kind]
                spent = after[kind] - before[kind] - base
                print(f"      {kind}: "
                      f"{1e6 * spent / scheduled['sent']:.0f} us "
                      f"of processor time per request; idle "
                      f"{100 * base / SECONDS:.2f}% of a core in total")
        show("p50 scheduled - direct", p50, " ms")
        show("p99 scheduled / direct", latency)


# -- executors that fail every request, and one that becomes unresponsive ----


def runs_at(fleet, name):
    status, body = call(fleet.workers[name], "GET", "/control")
    return len(body["executor"]["runs"])


def failing(size):
    print(f"{size}: one of eleven executors fails every request")
    with deployment(size) as fleet:
        fleet.up(rows())
        call(fleet.workers["guard-2"], "POST", "/control",
             {"fail_all": True})
        load = fleet.load({"duration_ms": SECONDS * 1000, "seed": 1,
                           "streams": [fast(300), stream(
                               "heavy", 60, HEAVY_MS)]}, ids=False)
        seen, last_growth, begin = 0, 0, time.monotonic()
        while load.poll() is None:
            now_at = runs_at(fleet, "guard-2")
            if now_at > seen + 1:  # a probe adds one run
                last_growth = time.monotonic() - begin
            seen = now_at
            time.sleep(0.1)
        result = collect(load)
        sent = sum(one["sent"] for one in result.values())
        unanswered = sum(one["sent"] - one["answered"]
                         for one in result.values())
        print(f"    {sent} sent, {unanswered} not answered well "
              f"({100 * unanswered / sent:.2f} %), {seen} reached it; "
              f"it was given more than a probe for {last_growth:.1f} s")


def silent(size):
    print(f"{size}: one executor's machine becomes unresponsive (frozen)")
    with deployment(size) as fleet:
        fleet.up(rows())
        load = fleet.load({"duration_ms": SECONDS * 1000, "seed": 1,
                           "streams": [fast(300), stream(
                               "heavy", 60, HEAVY_MS)]}, ids=False)
        time.sleep(3)
        fleet.freeze("worker-2")
        fleet.freeze("guard-2")
        begin = time.monotonic()
        wait_for("no entry counts its guard as live", lambda: all(
            fleet.live_guards(entry) == 10 for entry in fleet.entries))
        until = time.monotonic() - begin
        result = collect(load)
        sent = sum(one["sent"] for one in result.values())
        unanswered = sum(one["sent"] - one["answered"]
                         for one in result.values())
        print(f"    {sent} sent, {unanswered} not answered well "
              f"({100 * unanswered / sent:.2f} %); "
              f"no new work after {until:.2f} s")
        print("    ", {label: {**one["not_run"], **one["unknown"]}
                       for label, one in result.items()})


BENCHMARKS = {"overload": beside_overload, "flood": flood, "store": store_down,
       "hops": hops, "failing": failing, "silent": silent}


def main():
    chosen = sys.argv[1:] or list(BENCHMARKS)
    for name in chosen:
        sizes = SIZES if name in ("overload", "flood") else ["port-of-spain"]
        for size in sizes:
            BENCHMARKS[name](size)
            print(flush=True)


if __name__ == "__main__":
    main()
