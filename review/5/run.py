"""A task that needs a label fails once on the one worker that has it, and is not tried again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from cell import CannotRun, desired_state, has_trouble, main, queue  # noqa: E402
from workers import Pool  # noqa: E402

BATCH, SERVICE = "5c0e7a21d94b36f8", "0b1f6cc2a85d7e93"
# One of twelve workers is of kind b. It is less than the site file's share of 0.085.
WORKERS = 12
GREY_S = 6.5
# RULES.md: a job with nothing running for 3 s, in a calm that begins 4 s before.
CALM_S = 4.0
STALL_S = 3.0
FINISH_S = 14.0


async def run(cell, record):
    pool = Pool(cell, record)
    step = {"count": 1, "cpu": 4000, "mem-mb": 1024, "estimate-ms": 1000, "requirements": "b"}
    pool.jobs[BATCH] = ("needs b", [step], 1.0)
    pool.jobs[SERVICE] = ("lasts on b", [{**step, "long-running": True}], None)
    await cell.start(desired_state(3, [queue("reduce", "/reduce/")]))
    for n in range(WORKERS - 1):
        await pool.add(f"i-{n:08x}", labels=("a", "r1")).start()
    special = pool.add(f"i-{WORKERS:08x}", labels=("b", "r2"))
    await special.start()
    await asyncio.sleep(4)
    if has_trouble():
        record.add(f"trouble: {special.id} fails all that it starts for {GREY_S} s")
        special.fails_all = True
    for job, (spec, phases, _) in pool.jobs.items():
        await cell.submit(f"/reduce/{job}", {"task-spec": spec, "phases": phases})
    await asyncio.sleep(GREY_S)
    record.add(f"{special.id} is sound")
    special.fails_all = False
    await asyncio.sleep(CALM_S)
    # Times for which the task of each job has not been at work; all that time its worker is up,
    # nearly empty, and the whole pool idle.
    idle_s = dict.fromkeys(pool.jobs, 0.0)
    longest = dict(idle_s)
    for _ in range(int(FINISH_S / 0.25)):
        await asyncio.sleep(0.25)
        for job in pool.jobs:
            idle_s[job] = 0.0 if pool.find(f"{job}.0.0.0") else idle_s[job] + 0.25
            longest[job] = max(longest[job], idle_s[job])
    for job in pool.jobs:
        _, answer = await cell.request("GET", f"/reduce/{job}")
        state = (answer or {}).get("state")
        if state is None:
            raise CannotRun("no answer")
        ended = state in ("completed", "failed", "canceled")
        if not ended and longest[job] > STALL_S:
            record.add_broken("LOST", f"{job} is {state}; nothing of it ran for {longest[job]} s "
                                      f"while {special.id} was up and had room")


main(FOLDER, run)
