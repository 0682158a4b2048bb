"""TWICE: tasks that were done while no owner was there run again, as a list of ends was cut."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import cell as standins

JOB = "5c0e7a21d94b36f8"
TASKS, TASK_MS = 1500, 4000
DOWN_S = 5.0
"""For how long no process runs; the site has 9.5 s."""


async def scenario(cell, has_trouble):
    record = cell.record
    await cell.start([(16000, ["a", "r1-0"]), (16000, ["a", "r1-1"])])
    await cell.submit(
        JOB,
        {"ms": TASK_MS, "cpu": 20},
        [{"count": TASKS, "cpu": 20, "mem_mb": 10, "estimate_ms": TASK_MS}],
    )
    began_s = record.now_s()
    await cell.until(lambda: len(cell.starts_of(JOB)) >= TASKS, 15.0)
    record.write(f"{len(cell.starts_of(JOB))} starts after {record.now_s() - began_s:.2f} s")
    if has_trouble:
        record.write("platform: kills all nodes")
        await asyncio.gather(*(node.end() for node in cell.nodes))
        await asyncio.sleep(DOWN_S)
        record.write(f"ends listed by the workers: {[len(w.ends) for w in cell.workers]}")
        for node in cell.nodes:
            await node.start()
    state = await cell.until_state(JOB, ["completed", "failed"], 60.0, period_s=1.0)
    twice = find_starts_after_done(cell)
    record.write(f"state {state}; starts of tasks that were done: {len(twice)}; {twice[:5]}")
    if twice:
        return standins.BROKEN
    return standins.HELD if state == "completed" else standins.COULD_NOT_RUN


def find_starts_after_done(cell):
    """Return the starts of tasks that had ended `done`, where that end was taken note of."""
    noted = {
        (task, attempt)
        for worker in cell.workers
        for _, task, attempt, how in worker.noted
        if how == standins.DONE
    }
    rows = [(at_s, 1, task, attempt) for at_s, task, attempt, _ in cell.starts_of(JOB)]
    for worker in cell.workers:
        rows += [(at_s, 0, task, attempt) for at_s, task, attempt in worker.done]
    done_tasks, twice = set(), []
    for at_s, is_start, task, attempt in sorted(rows):
        if is_start and task in done_tasks:
            twice.append((at_s, task, attempt))
        elif not is_start and (task, attempt) in noted:
            done_tasks.add(task)
    return twice


standins.run(Path(__file__).parent, scenario)
