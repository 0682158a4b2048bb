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
STUCK_S = 3.0
BEFORE_S, AFTER_S = 4.0, 40.0
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
    await asyncio.sleep(FINISH_S)
    accepted = [each for each in before + after if each.accepted_s is not None]
    states = await asyncio.gather(*(cell.state(each) for each in accepted))
    begun = {row["task"].split(".")[0] for row in cell.runs() if row["what"] == "start"}
    last_s = max(row["t"] for row in cell.runs() if row["what"] == "start")
    unanswered = [each for each, state in zip(accepted, states) if state.startswith("no state")]
    waiting = [each for each in accepted if each.job_id not in begun]
    cell.note(f"{len(accepted)} of {len(before + after)} small jobs were accepted")
    cell.note(f"{sum(state == 'completed' for state in states)} of them are shown as completed, "
              f"{len(unanswered)} get no answer, {len(waiting)} have not begun")  # fmt: skip
    cell.note(f"the last start of any task was {time.time() - last_s:.1f} s ago")
    for node in cell.nodes:
        cell.note(f"{node.name} was ended for its memory {node.ends.count('memory')} times")
    if unanswered or (waiting and time.time() - last_s > STUCK_S):
        ends = [node.ends.count("memory") for node in cell.nodes]
        return (
            f"LOST: of {len(accepted)} accepted small jobs {len(unanswered)} get no answer and "
            f"{len(waiting)} have not begun, with no start for {time.time() - last_s:.0f} s; "
            f"Fault: the nodes were over {MEMORY_MB} MB {ends} times"
        )
    return ""


if __name__ == "__main__":
    sys.exit(play(scenario, Path(__file__).with_name("record.txt")))
