"""One worker fails all that it starts for a while, and a gang is given up after its first run."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from cell import main, route  # noqa: E402

PATH = "/jobs/"
JOB = "00000000000000c3"
ATTEMPTS, MEMBERS, WORK_MS = 3, 4, 3000
# One of 12 workers fails all that it starts, for 6 s.
WORKERS, FAILING_S, FAILS_AFTER_S = 12, 6.0, 0.3


async def scenario(cell, trouble):
    await cell.start([route(PATH, ATTEMPTS)])
    # The first worker has just the room for the gang, so that it is preferred.
    for i in range(WORKERS):
        await cell.add_worker(cpu=16000 if i == 0 else 32000)
    await asyncio.sleep(3)
    failing = cell.workers[0]
    if trouble:
        failing.fails_after_s = FAILS_AFTER_S
        cell.record.write(f"worker {failing.id} fails all that it starts")
    gang = {"count": MEMBERS, "cpu": 4000, "mem-mb": 512, "estimate-ms": WORK_MS, "gang": True}
    if not await cell.submit(PATH, JOB, {"task-spec": "gang", "phases": [gang]}):
        raise OSError("the job was not accepted")
    await asyncio.sleep(FAILING_S)
    failing.fails_after_s = None
    cell.record.write(f"worker {failing.id} is sound again")
    await asyncio.sleep(WORK_MS / 1000 + 10)
    state = await cell.state_of(PATH, JOB)
    runs = {number for _, _, number, _ in cell.starts}
    failed_runs = {number for _, _, number, how in cell.end_list if how == "failed"}
    most = max((sum(1 for _, task, _, how in cell.end_list
                    if how == "failed" and task == f"{JOB}.0.0.{i}") for i in range(MEMBERS)))
    cell.record.write(f"GET {JOB} -> {state}; the gang was started {len(runs)} times and failed "
                      f"{len(failed_runs)} times; the most failures of one task: {most}")
    if state == "failed" and len(failed_runs) < ATTEMPTS and most < ATTEMPTS:
        return [f"LOST: {JOB} is shown as failed; its gang has failed {len(failed_runs)} times, "
                f"its queue has max-attempts {ATTEMPTS}"]
    if state != "completed":
        raise OSError(f"unexpected state {state}")
    return []


main(FOLDER, scenario)
