"""A member of the core stands still while another one is replaced; later two lose their disks."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from cell import CannotRun, desired_state, has_trouble, main, queue  # noqa: E402
from workers import Pool  # noqa: E402

JOBS = [f"{n:016x}" for n in range(0xa0, 0xa6)]
WORK_S = 2.0
# Length of a freeze of a core machine, and the delay of a successor, in the site file.
FREEZE_S = 4.0
REPLACED_AFTER_S = 0.5
SUCCESSOR_AFTER_S = 1.0
# catch-up-s is 4: after this time none of the machines counts as lost any more.
CALM_S = 12.0
DOWN_S = 1.6
RECOVERY_S = 12.0
FINISH_S = 14.0


async def read_all(cell):
    """What requesters and the operator are shown: states of the jobs, the desired state."""
    states = []
    for job in JOBS:
        _, answer = await cell.request("GET", f"/plans/{job}")
        states.append((answer or {}).get("state"))
    return states, await cell.get_config()


async def run(cell, record):
    pool = Pool(cell, record)
    spec, phases = "plan", [{"count": 1, "cpu": 2000, "mem-mb": 512, "estimate-ms": 2000}]
    for job in JOBS:
        pool.jobs[job] = (spec, phases, WORK_S)
    successor = cell.add("controller", 6)
    cell.processes.remove(successor)
    await cell.start(desired_state(3, [queue("plans", "/plans/")]))
    for n in range(8):
        await pool.add(f"i-{n:08x}").start()
    await asyncio.sleep(5)
    for job in JOBS:
        await cell.submit(f"/plans/{job}", {"task-spec": spec, "phases": phases})
    leader = await cell.find_leader()
    if leader is None:
        raise CannotRun("no leader")
    others = [p for p in cell.controllers if p is not leader]
    frozen, replaced, spared = others[0], others[1], others[2:]
    record.add(f"leader {leader.name}, frozen {frozen.name}, replaced {replaced.name}")
    if has_trouble():
        if os.environ.get("FREEZE", "1") != "0":
            frozen.send(signal.SIGSTOP)
        await asyncio.sleep(REPLACED_AFTER_S)
        replaced.kill()
        record.add(f"trouble: {replaced.name} is gone for good")
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        cell.processes.append(successor)
        successor.start()
        await asyncio.sleep(FREEZE_S - REPLACED_AFTER_S - SUCCESSOR_AFTER_S)
        frozen.send(signal.SIGCONT)
    await asyncio.sleep(CALM_S)
    status = await cell.put_config(desired_state(7, [queue("plans", "/plans/")]))
    states, _ = await read_all(cell)
    if status != 200 or None in states:
        raise CannotRun("the system does not answer before the last disruption")
    if has_trouble():
        lost = [leader, spared[0]]
        record.add(f"trouble: {lost[0].name} and {lost[1].name} lose their disks")
        for process in lost:
            process.kill()
        for process in lost:
            process.wipe()
        await asyncio.sleep(DOWN_S)
        for process in lost:
            process.start()
    await asyncio.sleep(RECOVERY_S)
    end = asyncio.get_running_loop().time() + FINISH_S
    while True:
        states, document = await read_all(cell)
        if document is not None and all(state == "completed" for state in states):
            break
        if asyncio.get_running_loop().time() > end:
            break
        await asyncio.sleep(0.5)
    for job, state in zip(JOBS, states):
        if state != "completed":
            record.add_broken("LOST", f"accepted job {job}: shown as {state}")
    if document is None:
        record.add_broken("CONFIG", "the acknowledged desired state 7 is not read back")
    elif document["version"] != 7:
        record.add_broken("CONFIG", f"read back {document['version']}, 7 was acknowledged")


main(FOLDER, run)
