"""TWICE: a job that has completed runs once more, long after its end was taken note of."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import cell as standins

EARLY_JOB, JOB = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
STEPS = [{"count": 4, "cpu": 1000, "mem_mb": 100}]
STATUS_S = 20
"""For how long states can be read at least; 120 on the pages, shorter so that the case is short."""
REMOVAL_PERIOD_S = 10.0
"""Time between two removals of the records of jobs that ended long ago, as measured."""
DOWN_S = 4.5
"""The longest time for which the store is down on the page of the site."""


async def scenario(cell, has_trouble):
    store, record = cell.store, cell.record
    await cell.start([(16000, ["a", "r1-0"]), (16000, ["a", "r1-1"])])
    for job_id in (EARLY_JOB, JOB):
        await cell.submit(job_id, {"ms": 500}, STEPS)
        if await cell.until_state(job_id, ["completed"], 8.0, period_s=0.5) != "completed":
            return standins.COULD_NOT_RUN
        if job_id == EARLY_JOB:
            await asyncio.sleep(REMOVAL_PERIOD_S)
    first_starts = cell.starts_of(JOB)
    removed = asyncio.Event()

    def watch_removal(wanted):
        if any(EARLY_JOB in key for key in wanted.get("remove", [])):
            removed.set()

    store.before_txn = watch_removal
    async with asyncio.timeout(STATUS_S + 60.0):
        await removed.wait()
    record.write("store: removes the record of the early job; the other is due 10 s later")
    # The outage covers the moment of the removal with 2 s to spare on both sides.
    await asyncio.sleep(REMOVAL_PERIOD_S - DOWN_S / 2)
    if has_trouble:
        store.is_busy = True
        record.write("store: is down")
    await asyncio.sleep(DOWN_S)
    if has_trouble:
        store.is_busy = False
        record.write("store: answers again")
    await asyncio.sleep(3.0)
    if has_trouble:
        record.write("store: forgets its history, and cuts the watches that wait")
        store.forget_history()
    await asyncio.sleep(5.0)
    await cell.state(JOB)
    later = [row for row in cell.starts_of(JOB) if row not in first_starts]
    noted = {}
    for worker in cell.workers:
        for at_s, task, _, how in worker.noted:
            if how == standins.DONE:
                noted[task] = min(at_s, noted.get(task, at_s))
    twice = [row for row in later if row[1] in noted and noted[row[1]] < row[0]]
    record.write(f"first starts: {first_starts}")
    record.write(f"starts after the end `done` was taken note of: {twice}")
    return standins.BROKEN if twice else standins.HELD


standins.run(Path(__file__).parent, scenario, bounds={"status_s": STATUS_S})
