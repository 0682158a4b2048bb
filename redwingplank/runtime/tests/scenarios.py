"""What several tests do with candidates, and the promises that are checked beside it."""

import asyncio
from collections import Counter

from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError
from redwingplank.runtime.tests.cells import DOMAIN
from redwingplank.scheduling.messages import JobState, OwnershipMode, SubmitOutcome
from redwingplank.scheduling.ownership import ShardKeys, decode_owner

OPEN_STATES = (JobState.ACCEPTED, JobState.RUNNING)
EPOCH_KEY = ShardKeys(DOMAIN).epoch


async def submit_until_accepted(candidates, spec):
    """Submit as an entry does: to whoever owns the shard, again after a doubt."""
    while True:
        for candidate in candidates:
            try:
                answer = await candidate.runner.submit(spec)
            except (NotOwnerError, CallOutcomeUnknownError):
                continue
            if answer.outcome in (SubmitOutcome.ACCEPTED, SubmitOutcome.DUPLICATE):
                return answer
        await asyncio.sleep(0.05)


async def final_state(candidates, job_id):
    known_version = 0
    while True:
        for candidate in candidates:
            try:
                status, version = await candidate.runner.status(job_id, known_version, 1.0)
            except NotOwnerError:
                continue
            known_version = version
            if status is not None and status.state not in OPEN_STATES:
                return status.state
        await asyncio.sleep(0.05)


def epoch_in(cell):
    entries = cell.store.read(EPOCH_KEY, is_prefix=False).entries
    return decode_owner(entries[0].value).epoch if entries else 0


async def watch_promises(cell, candidates):
    """Check at every step that one owner at most may start work, and that epochs only grow."""
    highest = 0
    while True:
        owners = [each for each in candidates if each.mode is OwnershipMode.OWNING]
        assert len(owners) <= 1, "two owners at once"
        assert epoch_in(cell) >= highest, "the epoch went back"
        highest = epoch_in(cell)
        await asyncio.sleep(0.01)


async def checked(cell, candidates, scenario):
    """Run a scenario beside the checks."""
    watch = asyncio.create_task(watch_promises(cell, candidates))
    work = asyncio.create_task(scenario)
    done, _ = await asyncio.wait([watch, work], return_when=asyncio.FIRST_COMPLETED, timeout=900)
    assert done, "the scenario never ended"
    for task in done:
        task.result()
    watch.cancel()
    return work.result()


def assert_each_ran_once(cell, spec):
    counts = Counter(cell.started_tasks())
    wanted = {f"{spec.job_id}/{index}": 1 for index in range(spec.task_count)}
    assert {task: counts[task] for task in wanted} == wanted
