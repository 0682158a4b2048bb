"""What an owner takes in of stored jobs and cancellations, in every order, in virtual time."""

import asyncio
from collections.abc import Callable

import pytest

from redwingplank.batch.model import JobState
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.records import encode_submission
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_config, make_job, step
from redwingplank.cell import job_intake
from redwingplank.cell.job_intake import JobIntake
from redwingplank.cell.keys import CANCELS_PREFIX, INTAKE_PREFIX, JOBS_PREFIX, PROGRESS_PREFIX
from redwingplank.cell.tests.link_fixture import PAGE_ITEMS, LinkedNode
from redwingplank.cell.tests.site_fixture import run_site
from redwingplank.standin.virtual_time import run_virtual

LINK_BYTES_PER_S = 10_000_000
MANY = PAGE_ITEMS + 100
FIRST, LAST = "0000", f"{MANY - 1:04}"


class Intake:
    """An owner that takes in what a store holds; made inside a virtual-time loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.node = LinkedNode(monkeypatch, LINK_BYTES_PER_S)
        monkeypatch.setattr(job_intake, "now_s", follower_time)
        self.model = self.node.model
        self.owner = JobOwner(BatchSettings(), 1, make_config(), lambda *_, **__: None)
        self.intake = JobIntake(self.node.context, self.owner, lambda: None)

    def store_job(self, job_id: str) -> None:
        self.model.put(JOBS_PREFIX + job_id, encode_submission(make_job(job_id, step())))

    def store_cancellation(self, job_id: str) -> None:
        self.model.put(CANCELS_PREFIX + job_id, b"1")

    def cancelled_ids(self) -> list[str]:
        jobs = self.owner.state.jobs_by_id.values()
        return sorted(job.spec.job_id for job in jobs if job.state is JobState.CANCELLED)

    def after_page(self, number: int, act: Callable[[], None]) -> None:
        """Act between the answer to a page of the next read, counted from 1, and what follows."""
        client = self.node.client
        make_page = client._range
        pages = []

        def make_page_and_act(query):
            page = make_page(query)
            pages.append(page)
            if len(pages) == number:
                act()
            return page

        client._range = make_page_and_act  # type: ignore[method-assign]


def follower_time() -> float:
    return asyncio.get_running_loop().time()


class TestReadOfSeveralPages:
    """Pattern: more jobs than a page holds; pages are no snapshot."""

    def play(self, monkeypatch, prepare: Callable[[Intake], None]) -> Intake:
        """Read and follow the jobs for some seconds, after a preparation."""

        async def scenario() -> Intake:
            intake = Intake(monkeypatch)
            for number in range(MANY):
                intake.store_job(f"{number:04}")
            prepare(intake)
            await intake.intake.load({})
            intake.node.tasks.start_loop(intake.intake.run)
            await asyncio.sleep(2.0)
            await intake.node.tasks.stop()
            assert len(intake.owner.state.jobs_by_id) == MANY
            return intake

        return run_virtual(scenario())

    # Guards against a cancellation that is dropped because its job is on a later page.
    def test_a_cancellation_may_come_pages_before_its_job(self, monkeypatch):
        intake = self.play(monkeypatch, lambda intake: intake.store_cancellation(LAST))
        assert intake.cancelled_ids() == [LAST]

    # Guards against a cancellation that no page shows, as it was written during the read.
    @pytest.mark.parametrize("page", [1, 2])
    def test_a_cancellation_during_the_read_is_taken_in(self, monkeypatch, page):
        def prepare(intake: Intake) -> None:
            def cancel() -> None:
                intake.store_cancellation(FIRST)
                intake.store_cancellation(LAST)

            intake.after_page(page, cancel)

        assert self.play(monkeypatch, prepare).cancelled_ids() == [FIRST, LAST]


class TestEvents:
    # Guards against a cancellation that is dropped because its job is not known yet.
    @pytest.mark.parametrize("is_one_page", [True, False])
    def test_a_cancellation_may_come_before_its_job(self, monkeypatch, is_one_page):
        async def scenario() -> None:
            intake = Intake(monkeypatch)
            await intake.intake.load({})
            intake.node.tasks.start_loop(intake.intake.run)
            await asyncio.sleep(1.0)
            intake.store_cancellation(FIRST)
            await asyncio.sleep(0.0 if is_one_page else 1.0)
            intake.store_job(FIRST)
            await asyncio.sleep(1.0)
            await intake.node.tasks.stop()
            assert intake.cancelled_ids() == [FIRST]

        run_virtual(scenario())

    # Guards against a cancellation that outlives its job, and cancels the next one with its id.
    def test_a_new_job_after_a_removal_is_not_cancelled(self, monkeypatch):
        async def scenario() -> None:
            intake = Intake(monkeypatch)
            await intake.intake.load({})
            intake.node.tasks.start_loop(intake.intake.run)
            intake.store_job(FIRST)
            intake.store_cancellation(FIRST)
            await asyncio.sleep(1.0)
            assert intake.cancelled_ids() == [FIRST]
            keys = [JOBS_PREFIX + FIRST, CANCELS_PREFIX + FIRST]
            assert intake.model.transact({"remove": keys})[0] == 200
            intake.store_job(FIRST)
            await asyncio.sleep(1.0)
            await intake.node.tasks.stop()
            assert intake.cancelled_ids() == []
            assert list(intake.owner.state.jobs_by_id) == [FIRST]

        run_virtual(scenario())


class TestTakeover:
    # Guards against an owner that starts a job which was cancelled between its two reads.
    def test_a_cancellation_after_the_read_of_the_records_is_taken_in(self):
        async def scenario(site):
            job_id = "5c0e7a21d94b36f8"
            number = next(i for i, node in enumerate(site.nodes) if not node.owns_jobs)
            store = site.contexts[number].store
            read_range = store.read_range
            read_prefixes = []

            async def cancel_and_read(prefix, timeout_s):
                if prefix == PROGRESS_PREFIX:
                    spec = make_job(job_id, step(), queue="proof")
                    site.store.put(JOBS_PREFIX + job_id, encode_submission(spec))
                elif prefix == INTAKE_PREFIX:
                    site.store.put(CANCELS_PREFIX + job_id, b"1")
                read_prefixes.append(prefix)
                return await read_range(prefix, timeout_s)

            store.read_range = cancel_and_read
            await site.crash(site.owner_node())
            await site.until(lambda: site.owner_node() is not None)
            await site.until_state(job_id, "cancelled", node=number)
            assert read_prefixes[:2] == [PROGRESS_PREFIX, INTAKE_PREFIX]
            assert not any(worker.starts for worker in site.workers)

        run_site(scenario, nodes=2)
