"""The machines of the core are replaced one after the other; the gateways run on all the time."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from cell import CannotRun, desired_state, has_trouble, main, queue  # noqa: E402
from workers import Pool  # noqa: E402

JOBS = [f"{n:016x}" for n in range(0xa0, 0xa4)]
WORK_S = 1.0
SUCCESSOR_AFTER_S = 1.0
# A machine stops counting as lost 4 s (catch-up-s) after its successor has started.
GAP_S = 9.0
RECOVERY_S = 12.0
FINISH_S = 14.0


async def replace(cell, record, process):
    process.kill()
    record.add(f"trouble: {process.name} is gone for good")
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    live = cell.live_controllers()
    cell.seeds = [f"{p.ip}:8166" for p in live[:3]]
    successor = cell.add("controller", len([p for p in cell.processes
                                            if p.role == "controller"]) + 1)
    successor.start()
    await asyncio.sleep(GAP_S - SUCCESSOR_AFTER_S)


async def run(cell, record):
    pool = Pool(cell, record)
    spec, phases = "plan", [{"count": 1, "cpu": 2000, "mem-mb": 512, "estimate-ms": 1000}]
    for job in JOBS:
        pool.jobs[job] = (spec, phases, WORK_S)
    await cell.start(desired_state(3, [queue("plans", "/plans/")]))
    for n in range(8):
        await pool.add(f"i-{n:08x}").start()
    await asyncio.sleep(4)
    await cell.submit(f"/plans/{JOBS[0]}", {"task-spec": spec, "phases": phases})
    leader = await cell.find_leader()
    if leader is None:
        raise CannotRun("no leader")
    record.add(f"leader {leader.name}")
    # The leader comes last: until then the gateways stay connected to it.
    first = list(cell.controllers)
    for number, process in enumerate([p for p in first if p is not leader] + [leader]):
        if has_trouble():
            await replace(cell, record, process)
        if number < 3:
            await cell.submit(f"/plans/{JOBS[number + 1]}",
                              {"task-spec": spec, "phases": phases})
    await asyncio.sleep(RECOVERY_S)
    record.add("the last replacement was recovery-s ago and more")
    # The operator is served: the core is sound.
    status = await cell.put_config(desired_state(7, [queue("plans", "/plans/")]))
    if status != 200:
        raise CannotRun("the core itself does not answer")
    end = asyncio.get_running_loop().time() + FINISH_S
    left = set(JOBS)
    while left and asyncio.get_running_loop().time() < end:
        for job in sorted(left):
            _, answer = await cell.request("GET", f"/plans/{job}")
            if (answer or {}).get("state") == "completed":
                left.discard(job)
        await asyncio.sleep(0.5)
    for job in sorted(left):
        record.add_broken("LOST", f"accepted job {job} gets no answer for finish-s")


main(FOLDER, run)
