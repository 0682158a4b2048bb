"""A new version of the configuration removes two routes, and adds one of them under another name.

Jobs that were accepted there before have steps to go.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from cell import PREFIX, Cell, Job, play

DROPPED_PREFIX, DROPPED = "/pufi791/", "r-73d3zji"
RENAMED_PREFIX, EARLIER, LATER = "/pule252/", "r-9n73hh2", "r-4c81kwd"
WORKERS = 6
JOB = {
    "spec": json.dumps({"work_s": 3.0}),
    "steps": [
        {"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": 3000},
        {"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": 3000, "after": [0]},
    ],
}
JOBS = 3
RUNNING_S = 1.0
TRAFFIC_S = 6.0
FINISH_S = 14.0
STUCK_S = 3.0


def count(cell: Cell, job: Job, step: int, what: str) -> int:
    """Return how many starts or ends of the tasks of a step the workers have recorded."""
    prefix = f"{job.job_id}.0.{step}."
    rows = [row for row in cell.runs() if row.get("task", "").startswith(prefix)]
    return sum(row["what"] == what and row.get("how", "done") == "done" for row in rows)


async def scenario(cell: Cell, is_disturbed: bool) -> str:
    """Return what broke the rule, an empty string if nothing did."""
    cell.add_route(DROPPED, DROPPED_PREFIX, priority=2, max_attempts=2)
    cell.add_route(EARLIER, RENAMED_PREFIX, priority=1, max_attempts=3)
    await cell.start({f"i-{number:08x}": {} for number in range(WORKERS)})
    prefixes = [PREFIX, DROPPED_PREFIX, RENAMED_PREFIX]
    jobs = [await cell.submit(JOB, prefix) for prefix in prefixes for _ in range(JOBS)]
    cell.note(f"jobs are answered {[job.answers for job in jobs]}")
    await asyncio.sleep(RUNNING_S)
    if is_disturbed:
        cell.routes = [route for route in cell.routes if route["name"] not in (DROPPED, EARLIER)]
        cell.add_route(LATER, RENAMED_PREFIX, priority=1, max_attempts=3)
        cell.note(f"the next version removes {DROPPED} and {EARLIER}, and adds {LATER} with the "
                  "host and prefix of the latter")  # fmt: skip
    cell.put_config()
    await asyncio.sleep(TRAFFIC_S)
    cell.note("the traffic ends")
    await asyncio.sleep(FINISH_S)
    stuck = []
    now = time.time()
    for job in jobs:
        first, second = count(cell, job, 0, "end"), count(cell, job, 1, "start")
        cell.note(
            f"job {job.job_id} at {job.prefix}: {first} tasks of step 0 ended done, {second} of "
            f"step 1 have begun; a GET is answered {await cell.state(job)}"
        )
        if job.accepted_s is not None and first == 4 and second == 0:
            stuck.append(job.job_id)
    running = {row["task"] for row in cell.runs() if row["what"] == "start"} - {
        row["task"] for row in cell.runs() if row["what"] == "end"
    }
    last = max(row["t"] for row in cell.runs() if row["what"] in ("start", "end"))
    cell.note(f"{len(running)} tasks run on {WORKERS} workers; the last start or end was "
              f"{now - last:.1f} s ago")  # fmt: skip
    if stuck and not running and now - last > STUCK_S:
        return f"LOST: accepted jobs have nothing running though a step's turn has come: {stuck}"
    return ""


if __name__ == "__main__":
    sys.exit(play(scenario, Path(__file__).with_name("record.txt")))
