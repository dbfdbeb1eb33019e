"""Workers are lost, and a sound job that never ran is shown as failed.

Five idle workers are lost for good, one every six seconds, each shortly before the system sends
it the job's only task: nothing can have told the system of the loss yet. With SCENARIO=crashes,
four workers crash one after the other while they run the task instead, and come back."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from cell import MAX_HOLD_MS, main, route  # noqa: E402

PATH = "/jobs/"
JOB, SERVICE_JOB = "00000000000000a1", "00000000000000b2"
NEED = {"count": 1, "cpu": 4000, "mem-mb": 512}
ATTEMPTS = 3
WORK_MS = 8000

# Workers that are lost: 5 of 40. The first has the least room, so that the task is sent there
# first; the others have the most, in this order. All others have 16,000.
WORKERS = 40
LOST_CPU = [5000, 32000, 30000, 28000, 26000]
# A task of a silent worker starts elsewhere after the longest hold on the worker's clock, for
# which the system allows 3% more, and a little time for the next order.
NEXT_ORDER_S = MAX_HOLD_MS / 1000 * 1.03 + 0.1
# Time from the loss of a worker to the order: pings are due every 1.5 s.
UNKNOWN_S = 1.2

# With SCENARIO=crashes: one of 8 workers is down at a time.
CRASH_WORKERS, CRASHES = 8, 4
BEFORE_CRASH_S, DOWN_S = 1.5, 2.0


def task_of(job):
    return f"{job}.0.0.0"


async def lose_workers(cell, submitted_at):
    for i, cpu in enumerate(LOST_CPU[1:], 1):
        at = submitted_at + i * NEXT_ORDER_S - UNKNOWN_S
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        next(w for w in cell.workers if w.capacity["cpu"] == cpu).crash()
    await asyncio.sleep(UNKNOWN_S + NEXT_ORDER_S)


async def lost_workers(cell, trouble):
    for i in range(WORKERS):
        await cell.add_worker(cpu=LOST_CPU[i] if i < len(LOST_CPU) else 16000)
    await asyncio.sleep(3)
    if trouble:
        cell.workers[0].crash()
        await asyncio.sleep(UNKNOWN_S)
    submitted_at = time.monotonic()
    await submit(cell, JOB, {**NEED, "estimate-ms": WORK_MS})
    if trouble:
        await lose_workers(cell, submitted_at)
    return [JOB]


async def find_victim(cell, jobs):
    """The worker on which a task of one of the jobs has worked for a while, or None."""
    end = time.monotonic() + 15
    while time.monotonic() < end:
        for job in jobs:
            worker, run = cell.worker_of(task_of(job))
            if run is not None and time.monotonic() - run.since >= BEFORE_CRASH_S:
                return worker
        await asyncio.sleep(0.05)
    return None


async def crash_workers(cell):
    """Crashes one worker after the other until CRASHES have crashed under each job. Each machine
    is back after DOWN_S, as a new worker; only then the next one crashes."""
    crashes = {JOB: 0, SERVICE_JOB: 0}
    while remaining := [job for job, n in crashes.items() if n < CRASHES]:
        worker = await find_victim(cell, remaining)
        if worker is None:
            return
        for job in crashes:
            crashes[job] += task_of(job) in worker.runs
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await cell.add_worker(address=worker.address)


async def crashing_workers(cell, trouble):
    for _ in range(CRASH_WORKERS):
        await cell.add_worker()
    await asyncio.sleep(2)
    await submit(cell, JOB, {**NEED, "estimate-ms": WORK_MS})
    await submit(cell, SERVICE_JOB, {**NEED, "estimate-ms": 1000, "long-running": True})
    if trouble:
        await crash_workers(cell)
    return [JOB, SERVICE_JOB]


async def submit(cell, job, step):
    if not await cell.submit(PATH, job, {"task-spec": f"spec of {job}", "phases": [step]}):
        raise OSError("a job was not accepted")


async def scenario(cell, trouble):
    await cell.start([route(PATH, ATTEMPTS)])
    play = crashing_workers if os.environ.get("SCENARIO") == "crashes" else lost_workers
    jobs = await play(cell, trouble)
    await asyncio.sleep(WORK_MS / 1000 + 4)
    breaks = []
    for job in jobs:
        state = await cell.state_of(PATH, job)
        failed = sum(1 for _, task, _, how in cell.end_list
                     if how == "failed" and task.startswith(job))
        starts = sum(1 for _, task, _, _ in cell.starts if task.startswith(job))
        cell.record.write(f"GET {job} -> {state}; {starts} starts, {failed} runs ended failed")
        if state == "failed" and failed < ATTEMPTS:
            breaks.append(f"LOST: {job} is shown as failed; it was started {starts} times, "
                          f"{failed} runs ended failed, its queue has max-attempts {ATTEMPTS}")
        elif state != ("running" if job == SERVICE_JOB else "completed"):
            raise OSError(f"unexpected state {state}")
    return breaks


main(FOLDER, scenario)
