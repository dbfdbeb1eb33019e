"""A worker leaves while the answer to its deregister call is lost on the way."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from cell import CannotRun, desired_state, has_trouble, main, queue  # noqa: E402
from workers import Pool  # noqa: E402

JOB = "5c0e7a21d94b36f8"
# Longer than the drain: what still runs on a worker ends when the worker leaves.
WORK_S = 12.0
DRAIN_S = 2.5
LINGER_S = 1.0
# The link from the machines of the system to the leaving worker carries nothing.
CUT_S = 5.0
# "If it receives no ack, it ends anyway, some seconds later."
LEAVES_ANYWAY_S = 4.0


async def leave(worker, record):
    """Planned end of a worker, as "Service discovery" describes it."""
    worker.drain()
    await asyncio.wait_for(worker.drain_acknowledged.wait(), 10)
    record.add(f"{worker.id}: its drain is acknowledged")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    if not worker.runs:
        raise CannotRun("nothing runs on the worker that leaves")
    if has_trouble():
        record.add(f"trouble: packets to {worker.id} are lost for {CUT_S} s")
        worker.cut_inbound = True
    worker.state = "gone"
    record.add(f"{worker.id} sends deregister")
    call = asyncio.create_task(worker.send("deregister", {"born": worker.born}))
    done, _ = await asyncio.wait([call], timeout=LEAVES_ANYWAY_S)
    acknowledged = bool(done) and call.result()
    record.add(f"{worker.id}: deregister acknowledged={acknowledged}")
    worker.end("leaves")
    call.cancel()


async def run(cell, record):
    pool = Pool(cell, record)
    spec = "harvest-day plan"
    phases = [{"count": 1, "cpu": 4000, "mem-mb": 1024, "estimate-ms": int(WORK_S * 1000)}]
    pool.jobs[JOB] = (spec, phases, WORK_S)
    await cell.start(desired_state(3, [queue("plans", "/plans/")]))
    for n in range(8):
        await pool.add(f"i-{n:08x}").start()
    await asyncio.sleep(4)
    await cell.submit(f"/plans/{JOB}", {"task-spec": spec, "phases": phases})
    task = f"{JOB}.0.0.0"
    for _ in range(100):
        if pool.find(task):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the task did not start")
    await asyncio.sleep(1.0)
    await leave(pool.find(task)[0], record)
    for _ in range(60):
        _, answer = await cell.request("GET", f"/plans/{JOB}")
        if answer and answer.get("state") == "completed":
            break
        await asyncio.sleep(0.5)


main(FOLDER, run)
