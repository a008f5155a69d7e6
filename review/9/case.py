"""Three large submissions within the limits of a request, among ordinary
ones."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

from deployment import (BODY_BYTES, FINISH_S, Deployment, Job,  # noqa: E402
                        main, new_id, ordinary)

TASKS = 10_000  # accepted with 200; the pages set no bound
USUAL_TASKS = 100
SPEC_BYTES = 4000  # the bound of the pages
LARGE_AT = (3, 4, 5)  # seconds
TRAFFIC_S = 25


def large(count):
    return Job(new_id(), {"spec": "x" * SPEC_BYTES, "steps": [
        {"count": count, "est_duration_ms": 3000}]},
        lambda _task: 3.0, "large")


async def case(record, trouble):
    record.quiet.add("large")
    deployment = Deployment(record)
    await deployment.start()
    if not await deployment.ready():
        return None
    jobs = []
    handed_in = []
    loop = asyncio.get_running_loop()
    end = loop.time() + TRAFFIC_S
    second = 0
    while loop.time() < end:
        job = ordinary()
        jobs.append(job)
        handed_in.append(asyncio.create_task(deployment.submit(job)))
        if second in LARGE_AT:
            jobs.append(job := large(TASKS if trouble else USUAL_TASKS))
            record.note(f"the large submission {jobs[-1].ident}: "
                        f"{jobs[-1].body['steps'][0]['count']} tasks, "
                        f"body of about {len(str(jobs[-1].body))} bytes, limit "
                        f"{BODY_BYTES}")
            handed_in.append(asyncio.create_task(deployment.submit(jobs[-1])))
        second += 1
        await asyncio.sleep(1)
    await asyncio.gather(*handed_in)
    await asyncio.sleep(FINISH_S)
    accepted = [job for job in jobs if job.accepted_at is not None]
    lost = await deployment.lost(jobs)
    # The rule Fault: on two machines at least, three ends each.
    ends = sum(process.own_ends for process in
               deployment.entries + deployment.guards)
    faulty = [process.name for process in
              deployment.entries + deployment.guards if process.own_ends >= 3]
    begun = sum(bool(job.started) for job in jobs)
    record.note(f"submissions: {len(jobs)} sent, {len(accepted)} "
                f"accepted, {begun} began, {len(lost)} LOST; processes over their memory or "
                f"ended by themselves: {ends} times")
    for job in lost:
        record.note(f"LOST {job.ident}: accepted, shown as {job.state}, "
                    f"nothing runs")
    record.note(f"machines with three such ends or more: {faulty}")
    return bool(lost) or len(faulty) >= 2


main(case, HERE)
