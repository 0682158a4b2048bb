"""What a scheduler process confirms holds although it is killed or replaced right after it."""

import asyncio
from dataclasses import replace

import pytest

from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError
from redwingplank.runtime.tests.cells import (
    Candidate,
    Cell,
    make_declarations,
    make_real_core,
    make_spec,
    until,
)
from redwingplank.runtime.tests.scenarios import final_state, submit_until_accepted
from redwingplank.scheduling.journal_values import JournalSettings
from redwingplank.scheduling.messages import JobState, OwnershipMode, SubmitOutcome
from redwingplank.standin.virtual_time import run_virtual


def make_cell(worker_count: int = 1) -> Cell:
    return Cell(
        worker_count,
        make_core=make_real_core,
        declarations=make_declarations(),
        task_lease_s=15.0,
    )


async def start_owner(cell: Cell, name: str = "a") -> Candidate:
    """Start a candidate and return it once it owns the shard."""
    candidate = cell.add_candidate(name)
    await until(lambda: candidate.is_ready and candidate.mode is OwnershipMode.OWNING)
    return candidate


async def run_job(cell: Cell, owner: Candidate, run_s: float) -> str:
    """Submit a job and return its id once its task has started."""
    spec = make_spec(run_s=run_s)
    await submit_until_accepted([owner], spec)
    await until(lambda: len(cell.started_tasks()) == 1)
    return spec.job_id


async def cut_off(owner: Candidate) -> None:
    """Let the store refuse the owner, and return once another one may have replaced it."""
    owner.store_faults.is_down = True
    await until(lambda: owner.mode is OwnershipMode.DEGRADED)


async def final_state_at(owner: Candidate, job_id: str) -> JobState:
    """Return the final state of a job, which the owner has to reach in 60 s."""
    return await asyncio.wait_for(final_state([owner], job_id), 60.0)


class TestKilledOwner:
    # Guards against a job that was answered "accepted" and that the next owner does not know.
    def test_accepted_job_runs_under_the_next_owner(self):
        async def scenario():
            cell = make_cell()
            owner = await start_owner(cell)
            spec = make_spec()
            answer = await owner.runner.submit(spec)
            await owner.process.abort()
            successor = cell.add_candidate("b")
            assert answer.outcome is SubmitOutcome.ACCEPTED
            assert await final_state_at(successor, spec.job_id) is JobState.SUCCEEDED

        run_virtual(scenario())

    # Guards against an acceptance, or a refusal, of a job whose record the store did not take.
    def test_submission_without_the_store_is_unknown(self):
        async def scenario():
            cell = make_cell()
            owner = await start_owner(cell)
            owner.store_faults.is_down = True
            spec = make_spec()
            calls = [asyncio.create_task(owner.runner.submit(spec)) for _ in range(2)]
            await asyncio.sleep(1.0)
            await owner.process.abort()
            for call in calls:
                with pytest.raises(CallOutcomeUnknownError):
                    await call

        run_virtual(scenario())

    # Guards against a job that is shown as accepted, or as unknown, while its record waits for the
    # store.
    def test_job_without_the_store_is_neither_shown_nor_unknown(self):
        async def scenario():
            cell = make_cell()
            owner = await start_owner(cell)
            owner.store_faults.is_down = True
            spec = make_spec()
            submission = asyncio.create_task(owner.runner.submit(spec))
            await asyncio.sleep(0.1)
            with pytest.raises(CallOutcomeUnknownError):
                await owner.runner.status(spec.job_id, 0, 0.0)
            owner.store_faults.is_down = False
            status, _ = await owner.runner.status(spec.job_id, 0, 0.0)
            assert status is not None
            assert (await submission).outcome is SubmitOutcome.ACCEPTED

        run_virtual(scenario())

    # Guards against a job that starts after its cancellation was acknowledged.
    def test_cancelled_job_does_not_start_under_the_next_owner(self):
        async def scenario():
            cell = make_cell()
            owner = await start_owner(cell)
            job_id = await run_job(cell, owner, 100.0)
            assert (await owner.runner.cancel(job_id)).is_known
            await owner.process.abort()
            for worker in cell.workers.values():
                worker.restart()
            successor = cell.add_candidate("b")
            assert await final_state_at(successor, job_id) is JobState.CANCELLED
            await asyncio.sleep(5.0)
            assert len(cell.started_tasks()) == 1

        run_virtual(scenario())

    # Guards against the incident: a job that ended in memory only was taken for a stored one, and
    # its cancellation was acknowledged.
    def test_cancellation_of_a_job_that_ended_in_memory_is_unknown(self):
        async def scenario():
            cell = make_cell()
            owner = await start_owner(cell)
            job_id = await run_job(cell, owner, 0.5)
            owner.store_faults.is_down = True
            await until(lambda: any(worker.unacknowledged for worker in cell.workers.values()))
            await asyncio.sleep(1.5)
            calls = [asyncio.create_task(owner.runner.cancel(job_id)) for _ in range(2)]
            await asyncio.sleep(1.0)
            for worker in cell.workers.values():
                worker.restart()
            await owner.process.abort()
            for call in calls:
                with pytest.raises(CallOutcomeUnknownError):
                    await call
            successor = cell.add_candidate("b")
            assert await final_state_at(successor, job_id) is JobState.SUCCEEDED
            assert len(cell.started_tasks()) == 2

        run_virtual(scenario())


class TestReplacedOwner:
    """The store refuses the first owner, another one takes over, and the first one is asked."""

    async def replace(self, cell: Cell) -> tuple[Candidate, Candidate]:
        """Return an owner that does not know that it was replaced, and its successor."""
        first = await start_owner(cell)
        await cut_off(first)
        second = await start_owner(cell, "b")
        assert first.mode is OwnershipMode.DEGRADED
        return first, second

    # Guards against "no such job" for a job that the present owner has accepted.
    def test_does_not_say_that_there_is_no_such_job(self):
        async def scenario():
            first, second = await self.replace(make_cell(0))
            spec = make_spec()
            assert (await second.runner.submit(spec)).outcome is SubmitOutcome.ACCEPTED
            with pytest.raises(NotOwnerError):
                await first.runner.status(spec.job_id, 0, 0.0)
            with pytest.raises(NotOwnerError):
                await first.runner.cancel(spec.job_id)

        run_virtual(scenario())

    # Guards against a rejection, which callers take as final, of a job that was accepted: only the
    # present owner knows whether there is one with this id.
    def test_does_not_reject_a_job(self):
        async def scenario():
            first, second = await self.replace(make_cell(0))
            spec = make_spec()
            assert (await second.runner.submit(spec)).outcome is SubmitOutcome.ACCEPTED
            with pytest.raises(NotOwnerError):
                await first.runner.submit(make_spec(service="gone"))

        run_virtual(scenario())

    # Guards against an owner that says nothing any more although it is the only one.
    def test_present_owner_says_it(self):
        async def scenario():
            owner = await start_owner(make_cell(0))
            assert await owner.runner.status("nothing", 0, 0.0) == (None, 0)
            assert not (await owner.runner.cancel("nothing")).is_known
            answer = await owner.runner.submit(make_spec(service="gone"))
            assert answer.outcome is SubmitOutcome.REJECTED

        run_virtual(scenario())

    # Guards against a cancellation that a replaced owner acknowledges.
    def test_does_not_acknowledge_a_cancellation(self):
        async def scenario():
            cell = make_cell(0)
            owner = await start_owner(cell)
            spec = make_spec()
            await submit_until_accepted([owner], spec)
            await cut_off(owner)
            successor = await start_owner(cell, "b")
            call = asyncio.create_task(owner.runner.cancel(spec.job_id))
            await asyncio.sleep(3.0)
            assert not call.done()
            await owner.process.abort()
            with pytest.raises(CallOutcomeUnknownError):
                await call
            status, _ = await successor.runner.status(spec.job_id, 0, 0.0)
            assert status is not None and status.state is JobState.ACCEPTED

        run_virtual(scenario())

    # Guards against an order registry that relies on its memory after another one took over, and
    # against one that refuses orders during a planned stop although there is no other.
    def test_knows_that_it_may_not_be_the_only_owner(self):
        async def scenario():
            first, second = await self.replace(make_cell(0))
            assert not first.runner.is_only_owner()
            assert second.runner.is_only_owner()
            second.runner.ownership.begin_stop()
            assert second.runner.is_only_owner()
            await second.process.stop()
            assert not second.runner.is_only_owner()

        run_virtual(scenario())


class TestDrainedWorker:
    """An operator's drain command was answered, and the owner is killed right after it."""

    async def drain_and_kill(self, cell: Cell, *orders: bool) -> Candidate:
        """Drain the only worker, or end that, and return the next owner."""
        owner = await start_owner(cell)
        for is_draining in orders:
            await owner.runner.drain_vm("w0", is_draining)
        await owner.process.abort()
        return await start_owner(cell, "b")

    # Guards against new tasks on a worker that the operator was told gets none: the next owner did
    # not know of the command.
    def test_gets_no_tasks_of_the_next_owner(self):
        async def scenario():
            cell = make_cell()
            successor = await self.drain_and_kill(cell, True)
            spec = make_spec()
            await submit_until_accepted([successor], spec)
            await asyncio.sleep(20.0)
            assert cell.started_tasks() == []
            await successor.runner.drain_vm("w0", False)
            assert await final_state_at(successor, spec.job_id) is JobState.SUCCEEDED

        run_virtual(scenario())

    # Guards against a worker that stays closed although the operator was told that it is open.
    def test_gets_tasks_of_the_next_owner_once_the_draining_was_ended(self):
        async def scenario():
            cell = make_cell()
            successor = await self.drain_and_kill(cell, True, False)
            spec = make_spec()
            await submit_until_accepted([successor], spec)
            assert await final_state_at(successor, spec.job_id) is JobState.SUCCEEDED

        run_virtual(scenario())

    # Guards against "gets no new tasks" while the store has not taken the command.
    def test_is_unknown_without_the_store(self):
        async def scenario():
            cell = make_cell()
            owner = await start_owner(cell)
            owner.store_faults.is_down = True
            call = asyncio.ensure_future(owner.runner.drain_vm("w0", True))
            await asyncio.sleep(1.0)
            assert not call.done()
            await owner.process.abort()
            with pytest.raises(CallOutcomeUnknownError):
                await call

        run_virtual(scenario())

    # Guards against a command that is lost with the log: a snapshot covers it.
    def test_is_known_after_a_snapshot(self):
        async def scenario():
            cell = make_cell()
            cell.settings = replace(
                cell.settings, journal=JournalSettings(snapshot_after_flushes=3)
            )
            owner = await start_owner(cell)
            await owner.runner.drain_vm("w0", True)
            for number in range(5):
                await submit_until_accepted([owner], make_spec(f"job-{number}"))
            await until(lambda: owner.process.counters.read().get("journal.snapshots", 0) > 0)
            await owner.process.abort()
            successor = await start_owner(cell, "b")
            await asyncio.sleep(20.0)
            assert successor.is_ready
            assert cell.started_tasks() == []

        run_virtual(scenario())
