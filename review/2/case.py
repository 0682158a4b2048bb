"""REFUSED: a job that the store has taken is answered with 503, and runs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import cell as standins

JOB = "5c0e7a21d94b36f8"
DOWN_S = 4.5
"""The longest time for which the store is down on the page of the site."""
RETRIES = 4
RETRY_AFTER_S = 1.0


async def scenario(cell, has_trouble):
    store, record = cell.store, cell.record
    await cell.start([(16000, ["a", "r1-0"]), (16000, ["a", "r1-1"])])
    await cell.submit("00000000000000aa", {"ms": 300}, [{"count": 2, "cpu": 1000, "mem_mb": 100}])
    await cell.until_state("00000000000000aa", ["completed"], 10.0)

    def begin_outage(wanted):
        """Lose the answer to the job's own write, and refuse every later call."""
        if not any(JOB in row["key"] for row in wanted.get("puts", [])):
            return False
        store.lose_answer_of = None
        store.is_busy = True
        record.write(f"store: carried out the write of {JOB}, lost its answer, is down from now")
        return True

    if has_trouble:
        store.lose_answer_of = begin_outage
    began_s = record.now_s()
    answers = []
    for attempt in range(1 + RETRIES):
        answer = await cell.submit(
            JOB, {"ms": 500}, [{"count": 2, "cpu": 1000, "mem_mb": 100}], node=attempt % 3
        )
        answers.append(answer[0] if answer else None)
        if answers[-1] is not None and answers[-1] < 300:
            break
        if record.now_s() - began_s + RETRY_AFTER_S > DOWN_S - 1.0:
            record.write("caller: gives up, as callers do after about 3 s")
            break
        await asyncio.sleep(RETRY_AFTER_S)
    if has_trouble:
        await asyncio.sleep(max(0.0, began_s + DOWN_S - record.now_s()))
        store.is_busy = False
        record.write("store: answers again")
    await cell.until(lambda: len(cell.starts_of(JOB)) >= 2, 15.0)
    starts = cell.starts_of(JOB)
    all_rejected = all(status in (429, 503) for status in answers)
    record.write(f"answers to the attempts: {answers}; starts of its tasks: {starts}")
    if all_rejected and starts:
        return standins.BROKEN
    if not has_trouble and not starts:
        return standins.COULD_NOT_RUN
    return standins.HELD


standins.run(Path(__file__).parent, scenario)
