"""Removal of ended jobs from the store, at whole nodes over HTTP.

Failure: an owner forgets a job before the store does, and takes it for a new one when it reads the
store again.
"""

import pytest

from redwingplank.cell import owner
from redwingplank.cell.keys import (
    CANCELS_PREFIX,
    INTAKE_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
)
from redwingplank.cell.record_writer import JOBS_PER_REMOVAL
from redwingplank.cell.tests.site_fixture import run_site

STEP = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
JOB = {"spec": "payload", "steps": [STEP]}
LASTING = {"spec": "last", "steps": [{**STEP, "long_running": True}]}
ID = "5c0e7a21d94b36f8"


@pytest.fixture(autouse=True)
def short_period(monkeypatch):
    monkeypatch.setattr(owner, "REMOVAL_PERIOD_S", 0.2)


def begin_removals(site) -> None:
    """Let the owner remove ended jobs from now on."""
    settings = site.owner_node()._owner._settings
    object.__setattr__(settings, "state_kept_s", 0.0)


def start_count(site) -> int:
    return sum(len(worker.starts) for worker in site.workers)


async def fail_removal(site) -> None:
    """Let the owner begin to remove jobs while the store is down, and then bring it back."""
    await site.until(lambda: not any(worker.ends for worker in site.workers))
    site.store.is_down = True
    begin_removals(site)
    await site.until(lambda: any("event=removal_failed" in line for line in site.events()))
    site.store.is_down = False


async def read_anew(site) -> None:
    """Let the owner read all jobs again, and wait until it has done so twice."""
    for _ in range(2):
        lines = len(site.events())
        site.store.forget_history()
        site.store.put("redwing/intake/none", b"")
        site.store.forget_history()
        await site.until(
            lambda count=lines: any(
                "event=prefix_read" in line and "redwing/intake/" in line
                for line in site.events()[count:]
            )
        )


async def until_removed(site, job_id: str = ID) -> None:
    keys = [prefix + job_id for prefix in (JOBS_PREFIX, PROGRESS_PREFIX, CANCELS_PREFIX)]
    await site.until(lambda: not any(key in site.store.items for key in keys))


async def until_completed(site, count: int) -> None:
    """Wait until the owner has completed jobs so many times, also if it has removed them since."""
    await site.until(lambda: sum("event=job_ended" in line for line in site.events()) == count)
    assert all("state=completed" in line for line in site.events() if "event=job_ended" in line)


async def complete(site, job_id: str = ID) -> None:
    await site.call("POST", f"/proof/{job_id}", JOB)
    await site.until_state(job_id, "completed")


class TestFailedRemoval:
    # Guards against a completed job that runs again, and is shown as running.
    def test_a_job_whose_removal_was_refused_does_not_run_again(self):
        async def scenario(site):
            await complete(site)
            await fail_removal(site)
            await read_anew(site)
            assert await site.state_of(ID) in ("completed", "")
            await until_removed(site)
            assert start_count(site) == 2

        run_site(scenario)

    # Guards against the same for a job that was cancelled.
    def test_a_cancelled_job_whose_removal_was_refused_does_not_run_again(self):
        async def scenario(site):
            await site.call("POST", f"/proof/{ID}", LASTING)
            await site.until(lambda: start_count(site) == 2)
            await site.call("DELETE", f"/proof/{ID}")
            await site.until_state(ID, "cancelled")
            await fail_removal(site)
            await read_anew(site)
            await until_removed(site)
            assert start_count(site) == 2

        run_site(scenario)

    # Guards against keys that stay for ever because one batch of several failed.
    def test_is_repeated_for_every_job(self):
        async def scenario(site):
            job_ids = [f"{number:016x}" for number in range(2 * JOBS_PER_REMOVAL + 1)]
            for job_id in job_ids:
                await complete(site, job_id)
            await fail_removal(site)
            await read_anew(site)
            for job_id in job_ids:
                await until_removed(site, job_id)
            assert start_count(site) == 2 * len(job_ids)

        run_site(scenario)


class TestUnansweredRemoval:
    # Guards against a removal that was carried out without an answer and then takes a new job of
    # the same id with it.
    def test_a_new_job_with_the_same_id_runs(self):
        async def scenario(site):
            await complete(site)
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            site.store.is_down_after_loss = True
            begin_removals(site)
            await site.until(lambda: f"{JOBS_PREFIX}{ID}" not in site.store.items)
            site.store.is_down = False
            status, _, _ = await site.call("POST", f"/proof/{ID}", JOB)
            assert status == 200
            await until_completed(site, 2)
            assert start_count(site) == 4
            await until_removed(site)

        run_site(scenario)

    # Guards against taking a new job for the one that was known when the history is lost.
    def test_a_new_job_with_the_same_id_runs_after_a_gap_in_the_history(self):
        async def scenario(site):
            await complete(site)
            site.store.is_silent = True
            item = site.store.items[f"{JOBS_PREFIX}{ID}"]
            for prefix in (JOBS_PREFIX, PROGRESS_PREFIX):
                site.store.remove(prefix + ID)
            site.store.put(f"{JOBS_PREFIX}{ID}", item.value)
            site.store.forget_history()
            site.store.is_silent = False
            await site.until(lambda: start_count(site) == 4)

        run_site(scenario)


class TestRemovalDuringARead:
    # Guards against a read of all jobs that began before the removal and is applied after it.
    def test_a_job_that_a_read_still_shows_does_not_run_again(self):
        async def scenario(site):
            await complete(site)
            store = site.contexts[0].store
            read_range = store.read_range

            async def read_before_removal(prefix, timeout_s):
                page = await read_range(prefix, timeout_s)
                if prefix == INTAKE_PREFIX:
                    assert any(item.key == JOBS_PREFIX + ID for item in page.items)
                    store.read_range = read_range
                    begin_removals(site)
                    await until_removed(site)
                return page

            store.read_range = read_before_removal
            await read_anew(site)
            assert store.read_range == read_range
            assert start_count(site) == 2

        run_site(scenario)
