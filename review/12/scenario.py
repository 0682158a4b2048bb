"""A scheduled job of 10,000 tasks is due every 0.4 s, 100 times; other jobs come as before.

The platform kills a process that exceeds `memory_mb`, and starts it again, as DEPLOY.md says.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from cell import MEMORY_MB, Cell, Job, play

STEP = {"count": 10_000, "cpu": 1000, "mem_mb": 64, "estimate_ms": 900}
REPEATS, INTERVAL_MS = 100, 400
LARGE_PREFIX = "/pufi791/"
SMALL = {
    "spec": json.dumps({"work_s": 0.5}),
    "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}],
}
WORKERS = 5
BEFORE_S, AFTER_S = 4.0, 70.0
EACH_S = 0.5
SETTLE_S = 14.0
ENDS, MACHINES = 3, 2
"""The rule: so many ends on so many machines."""


async def send_small(cell: Cell, for_s: float) -> list[Job]:
    """Submit a small job every half second, and return them all."""
    until_s = time.monotonic() + for_s
    sending = []
    while time.monotonic() < until_s and not is_broken(cell):
        sending.append(asyncio.create_task(cell.submit(SMALL)))
        await asyncio.sleep(EACH_S)
    return list(await asyncio.gather(*sending))


def is_broken(cell: Cell) -> bool:
    """Return whether enough processes have ended by themselves."""
    return sum(len(node.ends) >= ENDS for node in cell.nodes) >= MACHINES


async def scenario(cell: Cell, is_disturbed: bool) -> str:
    """Return what broke the rule, an empty string if nothing did."""
    cell.add_route("r-73d3zji", LARGE_PREFIX, priority=2, max_attempts=2)
    cell.is_killing_large = True
    await cell.start({f"i-{number:08x}": {} for number in range(WORKERS)})
    before = await send_small(cell, BEFORE_S)
    large = {"spec": json.dumps({"work_s": 0.9}), "steps": [STEP]}
    if is_disturbed:
        due = {"first_run_ms": round(time.time() * 1000), "interval_ms": INTERVAL_MS}
        large = {**large, "repeat_count": REPEATS, **due}
    job = await cell.submit(large, LARGE_PREFIX)
    cell.note(f"the scheduled job {json.dumps(large)} is answered {job.answers}")
    after = await send_small(cell, AFTER_S)
    cell.note("the traffic ends")
    if not is_broken(cell):
        await asyncio.sleep(SETTLE_S)
    accepted = [each for each in before + after if each.accepted_s is not None]
    states = await asyncio.gather(*(cell.state(each) for each in accepted))
    done = sum(state == "completed" for state in states)
    cell.note(f"{done} of {len(accepted)} accepted small jobs are completed")
    for node in cell.nodes:
        cell.note(f"{node.name} ended by itself: {node.ends}; it has {node.resident_mb():.0f} MB")
    if is_broken(cell):
        return f"FAULT: processes were over {MEMORY_MB} MB {ENDS} times on {MACHINES} machines"
    return ""


if __name__ == "__main__":
    sys.exit(play(scenario, Path(__file__).with_name("record.txt")))
