"""LOST: a job fails after one failed run of four, as its route was away for some seconds."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import cell as standins

JOB = "5c0e7a21d94b36f8"
MAX_ATTEMPTS = 4


async def scenario(cell, has_trouble):
    record = cell.record
    proof = cell.route(max_attempts=MAX_ATTEMPTS)
    other = cell.route(name="other", prefix="/other/")
    await cell.start(
        [(16000, ["a", "r1-0"]), (16000, ["a", "r1-1"])], routes=[proof, other]
    )
    # The first run of the task ends as failed after 2 s; later runs end as done after 1 s.
    await cell.submit(
        JOB,
        {"ms": 1000, "fails": 1, "fails_ms": 2000},
        [{"count": 1, "cpu": 1000, "mem_mb": 100}],
    )
    if not await cell.until(lambda: cell.runs_now(JOB), 5.0):
        return standins.COULD_NOT_RUN
    if has_trouble:
        cell.configure(3, [other])
    await asyncio.sleep(4.0)
    if has_trouble:
        cell.configure(7, [proof, other])
    await asyncio.sleep(3.0)
    state = await cell.until_state(JOB, ["completed", "failed", "cancelled"], 15.0)
    failed_runs = sum(
        how == standins.FAILED
        for worker in cell.workers
        for _, task, _, how in worker.noted
        if task.startswith(JOB)
    )
    record.write(f"state: {state}; ends `failed`: {failed_runs}; max_attempts: {MAX_ATTEMPTS}")
    record.write(f"starts: {cell.starts_of(JOB)}")
    if state == "failed" and failed_runs < MAX_ATTEMPTS:
        return standins.BROKEN
    return standins.HELD if state == "completed" else standins.COULD_NOT_RUN


standins.run(Path(__file__).parent, scenario)
