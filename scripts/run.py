"""Demonstration: starts a small fleet, sends mixed load through it, prints the
results of each class and a task, and stops all processes cleanly."""

import json
import sys

from fleet import Fleet, call, collect, two_workspaces, wait_for


def stream(workspace, class_name, rate, service_ms, repeatable):
    return {"label": f"{workspace}/{class_name}", "class": class_name,
            "rate": rate, "credential": workspace + "-secret",
            "workspace": workspace,
            "service_ms": service_ms, "repeatable": repeatable,
            "deadline_ms": 5000}


def show(results):
    head = ("class", "requests", "answered", "p50 ms", "p99 ms", "refused")
    print("{:26}{:>9}{:>9}{:>9}{:>9}  {}".format(*head))
    for label, one in sorted(results.items()):
        refused = {**one["not_run"], **one["unknown"]}
        print("{:26}{:>9}{:>9}{:>9.1f}{:>9.1f}  {}".format(
            label, one["sent"], one["answered"], one["p50_ms"],
            one["p99_ms"], json.dumps(refused) if refused else "-"))


def run_task(fleet):
    credential = {"springstair-credential": "ferreira-secret"}
    entry = fleet.entries["entry-1"]
    task = {"class": "statute-watch", "cpu_millis": 500, "memory_mb": 256,
            "payload": json.dumps({"run_ms": 300})}
    status, record = 503, {}

    def submitted():
        nonlocal status, record
        status, record = call(entry, "POST", "/v1/tasks", task, credential)
        return status == 202
    wait_for("a task is accepted", submitted)
    path = "/v1/tasks/" + record["id"]
    wait_for("the task is finished", lambda: call(
        entry, "GET", path, headers=credential)[1]["state"] == "finished")
    print("\ntask", record["id"], call(entry, "GET", path,
                                       headers=credential)[1])


def main():
    with Fleet(guards=3, entries=2, data_centres=2) as fleet:
        fleet.up(two_workspaces())
        print(fleet.cli("table", "set", "ramdeen", "weight", "3")[1])
        print("sending mixed load for 5 seconds ...\n")
        streams = []
        for workspace in ("ferreira", "ramdeen"):
            streams += [stream(workspace, "clause-fill", 100, 3, "true"),
                        stream(workspace, "bundle-render", 12, 400, "false")]
        results = collect(fleet.load(
            {"duration_ms": 5000, "seed": 7, "streams": streams}, ids=False))
        show(results)
        run_task(fleet)
        print()
        print(fleet.cli("status")[1])
        codes = {name: fleet.stop(name)
                 for name in list(fleet.guards) + list(fleet.entries)}
        print("stopped cleanly:", all(code == 0 for code in codes.values()))
        return 0 if all(code == 0 for code in codes.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
