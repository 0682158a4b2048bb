"""A job of 10,000 tasks that write checkpoints arrives; other jobs come as before."""

import asyncio
import json
import sys
import time
from pathlib import Path

from cell import Cell, Job, play

TASKS = 10_000
CHECKPOINTS = (
    "/archive/ankara/notahane/part-extract/2026-12-07/checkpoints/full-orchestra-engraving"
)
"""Where the tasks save; with the task and a number a checkpoint has some 118 characters."""
STEP = {"count": TASKS, "cpu": 20, "mem_mb": 10, "estimate_ms": 40_000}
LARGE_PREFIX = "/pufi791/"
SMALL = {
    "spec": json.dumps({"work_s": 0.5}),
    "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}],
}
WORKERS = 8
BEFORE_S, AFTER_S = 3.0, 45.0
EACH_S = 0.5
FINISH_S = 14.0


async def send_small(cell: Cell, for_s: float) -> list[Job]:
    """Submit a small job every half second, and return them all."""
    until_s = time.monotonic() + for_s
    sending = []
    while time.monotonic() < until_s:
        sending.append(asyncio.create_task(cell.submit(SMALL)))
        await asyncio.sleep(EACH_S)
    return list(await asyncio.gather(*sending))


def started_jobs(cell: Cell) -> set[str]:
    """Return the jobs of which a worker has begun a task."""
    return {row["task"].split(".")[0] for row in cell.runs() if row["what"] == "start"}


async def scenario(cell: Cell, is_disturbed: bool) -> str:
    """Return what broke the rule, an empty string if nothing did."""
    cell.add_route("r-73d3zji", LARGE_PREFIX, priority=2, max_attempts=2)
    await cell.start({f"i-{number:08x}": {} for number in range(WORKERS)})
    before = await send_small(cell, BEFORE_S)
    payload = {"work_s": 40.0, "spread": 0.6}
    step = STEP
    if is_disturbed:
        payload = {**payload, "saves_under": CHECKPOINTS}
        step = {**STEP, "checkpointing": True}
    job = await cell.submit({"spec": json.dumps(payload), "steps": [step]}, LARGE_PREFIX)
    cell.note(f"the large job is answered {job.answers}")
    after = await send_small(cell, AFTER_S)
    cell.note("the traffic ends")
    await asyncio.sleep(FINISH_S)
    accepted = [each for each in before + after if each.accepted_s is not None]
    states = await asyncio.gather(*(cell.state(each) for each in accepted))
    started = started_jobs(cell)
    stuck = [each for each, state in zip(accepted, states) if state != "completed"]
    stuck = [each for each in stuck if each.job_id not in started]
    large = sum(row["what"] == "start" and job.job_id in row["task"] for row in cell.runs())
    cell.note(f"{large} tasks of the large job have begun, which take {large * 20} of "
              f"{WORKERS * 64_000} thousandths of a core")  # fmt: skip
    cell.note(f"{len(accepted)} small jobs were accepted; {len(stuck)} of them have not begun")
    cell.note(f"{len(cell.store.refused)} calls of the store were refused with 400: "
              f"{sorted(set(cell.store.refused))}")  # fmt: skip
    if stuck and large * 20 < WORKERS * 64_000 / 2:
        return f"LOST: {len(stuck)} accepted jobs have nothing running though there is room"
    return ""


if __name__ == "__main__":
    sys.exit(play(scenario, Path(__file__).with_name("record.txt")))
