"""Steps that several tests run on candidates, and invariants checked meanwhile."""

import asyncio
from collections import Counter

from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError
from redwingplank.runtime.tests.cells import DOMAIN
from redwingplank.scheduling.messages import JobState, OwnershipMode, SubmitOutcome
from redwingplank.scheduling.ownership import ShardKeys, decode_owner

OPEN_STATES = (JobState.ACCEPTED, JobState.RUNNING)
EPOCH_KEY = ShardKeys(DOMAIN).epoch


async def submit_until_accepted(candidates, spec):
    """Submit a job to the shard's owner, again while the outcome is unknown, as an entry does."""
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


async def watch_invariants(cell, candidates):
    """Check repeatedly that at most one owner may start work and that the epoch never decreases."""
    highest = 0
    while True:
        owners = [each for each in candidates if each.mode is OwnershipMode.OWNING]
        assert len(owners) <= 1, "two owners at once"
        assert epoch_in(cell) >= highest, "the epoch decreased"
        highest = epoch_in(cell)
        await asyncio.sleep(0.01)


async def run_checked(cell, candidates, scenario):
    """Run a scenario while the invariants are checked."""
    watch_task = asyncio.create_task(watch_invariants(cell, candidates))
    scenario_task = asyncio.create_task(scenario)
    done, _ = await asyncio.wait(
        [watch_task, scenario_task], return_when=asyncio.FIRST_COMPLETED, timeout=900
    )
    assert done, "the scenario did not finish within 900 s"
    for task in done:
        task.result()
    watch_task.cancel()
    return scenario_task.result()


def assert_each_ran_once(cell, spec):
    counts = Counter(cell.started_tasks())
    expected = {f"{spec.job_id}/{index}": 1 for index in range(spec.task_count)}
    assert {task: counts[task] for task in expected} == expected
