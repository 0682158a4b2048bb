"""One of ten workers goes down and up by turns while jobs wait for room."""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

from cell import Cell, play

WORKERS = 10
FLAPPING = "i-00000009"
PERIOD_S, FLAPS_S = 1.4, 6.5
"""As for `srv_flap` of the grown sites: one worker in ten, a period of 1.4 s, for 6.5 s."""
FILLING = {
    "spec": json.dumps({}),
    "steps": [{"count": 9, "cpu": 64000, "mem_mb": 256, "estimate_ms": 900, "long_running": True}],
}
JOB = {
    "spec": json.dumps({"work_s": 1.6}),
    "steps": [{"count": 1, "cpu": 64000, "mem_mb": 256, "estimate_ms": 1600}],
}
JOBS = 4
MAX_ATTEMPTS = 4
SETTLE_S = 30.0


async def flap(cell: Cell) -> None:
    """Let the worker go down and up by turns, and be up at the end."""
    until_s = time.monotonic() + FLAPS_S
    while time.monotonic() < until_s:
        cell.crash_worker(FLAPPING)
        await asyncio.sleep(PERIOD_S / 2)
        cell.start_worker(FLAPPING)
        cell.note(f"{FLAPPING} is up again")
        await asyncio.sleep(PERIOD_S / 2)


async def scenario(cell: Cell, is_disturbed: bool) -> str:
    """Return what broke the rule, an empty string if nothing did."""
    names = [f"i-{number:08x}" for number in range(WORKERS)]
    await cell.start({name: {} for name in names if name != FLAPPING})
    filling = await cell.submit(FILLING)
    cell.note(f"the lasting job that fills nine workers is answered {filling.answers}")
    await asyncio.sleep(2.0)
    cell.add_worker(FLAPPING, {})
    jobs = [await cell.submit(JOB) for _ in range(JOBS)]
    cell.note(f"{JOBS} jobs are answered {[job.answers for job in jobs]}")
    await asyncio.sleep(2.5)
    if is_disturbed:
        await flap(cell)
    until_s = time.monotonic() + SETTLE_S
    states: list[str] = []
    while time.monotonic() < until_s:
        states = [await cell.state(job) for job in jobs]
        if all(state in ("completed", "failed", "cancelled") for state in states):
            break
        await asyncio.sleep(0.5)
    failed_ends = Counter(
        row["task"].split(".")[0]
        for row in cell.runs()
        if row["what"] == "end" and row["how"] == "failed"
    )
    broken = []
    for job, state in zip(jobs, states, strict=True):
        ends = failed_ends[job.job_id]
        cell.note(f"job {job.job_id} is shown as {state}; runs that ended failed: {ends}")
        if state == "failed" and ends < MAX_ATTEMPTS:
            broken.append(job.job_id)
    if broken:
        return f"LOST: accepted jobs are shown as failed though no run of theirs ended so: {broken}"
    return ""


if __name__ == "__main__":
    sys.exit(play(scenario, Path(__file__).with_name("record.txt")))
