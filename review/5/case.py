"""LOST: a job is shown as failed although none of its runs has ended as failed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import cell as standins

JOB = "5c0e7a21d94b36f8"
WORKERS = 8
CRASHES = 5
DOWN_S = 2.0
TASK_S = 12.0


async def scenario(cell, has_trouble):
    record = cell.record
    workers = [(16000, ["a", f"r1-{number // 4}"]) for number in range(WORKERS)]
    await cell.start(workers)
    await cell.submit(
        JOB,
        {"ms": int(TASK_S * 1000)},
        [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": TASK_S * 1000}],
    )
    for number in range(CRASHES if has_trouble else 0):
        if not await cell.until(lambda: cell.runs_now(JOB), 15.0):
            break
        await asyncio.sleep(4.0)
        hosts = cell.runs_now(JOB)
        if not hosts:
            break
        worker = hosts[0][0]
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.boot(name=f"{worker.id.partition('-')[0]}-{number + 1}")
    state = await cell.until_state(JOB, ["completed", "failed", "cancelled"], 40.0, period_s=1.0)
    failed_runs = sum(
        how == standins.FAILED for worker in cell.workers for _, _, _, how in worker.noted
    )
    record.write(f"state: {state}; ends `failed`: {failed_runs}")
    record.write(f"starts: {cell.starts_of(JOB)}")
    if state == "failed" and failed_runs == 0:
        return standins.BROKEN
    return standins.HELD if state == "completed" else standins.COULD_NOT_RUN


standins.run(Path(__file__).parent, scenario)
