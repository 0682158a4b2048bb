"""Tests of the whole scheduler process with its real decision core under failures."""

import asyncio
from collections import Counter

import pytest

from redwingplank.core import make_resources, sum_resources
from redwingplank.runtime.tests.cells import (
    Cell,
    make_declarations,
    make_real_core,
    make_spec,
    until,
)
from redwingplank.runtime.tests.scenarios import (
    assert_each_ran_once,
    final_state,
    run_checked,
    submit_until_accepted,
)
from redwingplank.runtime.tests.step_clients import CallFault, StepStore, StepWorkers, make_steps
from redwingplank.scheduling.grants import decode_grants, quota_key
from redwingplank.scheduling.messages import JobState, SubmitOutcome
from redwingplank.scheduling.ownership import LeaseSettings
from redwingplank.standin.virtual_time import run_virtual

TASKS = 4
TESTED_CALL_COUNT = 40


def make_cell(worker_count=3, **settings):
    settings.setdefault("declarations", make_declarations())
    settings.setdefault("task_lease_s", 15.0)
    return Cell(worker_count, make_core=make_real_core, **settings)


def assert_no_worker_is_overcommitted(cell):
    """Check that no worker exceeds its capacity and that no task runs twice at the same time."""
    running = {}
    for event in sorted(cell.history.events, key=lambda each: each.time_s):
        if event.kind == "task_started":
            assert event.subject not in running, f"{event.subject} runs twice"
            running[event.subject] = event
        elif event.kind == "task_ended":
            running.pop(event.subject, None)
        for worker in cell.workers.values():
            amounts = [each.amount for each in running.values() if each.vm == worker.name]
            assert sum_resources(amounts).fits_in(worker.capacity)


async def run_and_kill(cell, kill_at, fault, in_store, spec):
    """Let the first owner die at call number `kill_at` and return the job's final state."""
    died = asyncio.Event()
    steps = make_steps({kill_at: fault}, died.set)
    if in_store:
        first = cell.add_candidate("a", wrap_store=lambda store: StepStore(store, steps))
    else:
        first = cell.add_candidate("a", wrap_workers=lambda each: StepWorkers(each, steps))
    candidates = [first]

    async def abort_when_dead():
        await died.wait()
        await first.process.abort()

    async def work():
        abort_task = asyncio.create_task(abort_when_dead())
        await asyncio.sleep(0.01)
        candidates.append(cell.add_candidate("b"))
        await submit_until_accepted(candidates, spec)
        state = await final_state(candidates, spec.job_id)
        abort_task.cancel()
        return state

    return await run_checked(cell, candidates, work())


class TestOwnerKilledAtEveryCall:
    @pytest.mark.parametrize("in_store", [True, False])
    @pytest.mark.parametrize("fault", [CallFault.DIES_BEFORE, CallFault.DIES_AFTER])
    def test_non_idempotent_tasks_start_at_most_once(self, in_store, fault):
        states = Counter()
        for kill_at in range(TESTED_CALL_COUNT):

            async def scenario(kill_at=kill_at):
                cell = make_cell()
                spec = make_spec(task_count=TASKS, run_s=2.0, service="order")
                state = await run_and_kill(cell, kill_at, fault, in_store, spec)
                starts = Counter(cell.started_tasks())
                assert max(starts.values(), default=0) <= 1
                if state is JobState.SUCCEEDED:
                    assert_each_ran_once(cell, spec)
                assert_no_worker_is_overcommitted(cell)
                states[state] += 1

            run_virtual(scenario())
        assert states[JobState.SUCCEEDED] > TESTED_CALL_COUNT / 2
        assert set(states) <= {JobState.SUCCEEDED, JobState.UNKNOWN}

    @pytest.mark.parametrize("in_store", [True, False])
    @pytest.mark.parametrize("fault", [CallFault.DIES_BEFORE, CallFault.DIES_AFTER])
    def test_idempotent_tasks_all_finish_and_never_overlap(self, in_store, fault):
        for kill_at in range(TESTED_CALL_COUNT):

            async def scenario(kill_at=kill_at):
                cell = make_cell()
                spec = make_spec(task_count=TASKS, run_s=2.0)
                state = await run_and_kill(cell, kill_at, fault, in_store, spec)
                assert state is JobState.SUCCEEDED
                assert_no_worker_is_overcommitted(cell)

            run_virtual(scenario())


class TestWorkerCallsThatFail:
    @pytest.mark.parametrize(
        "fault",
        [CallFault.REFUSED, CallFault.REQUEST_LOST, CallFault.ANSWER_LOST, CallFault.LATE],
    )
    @pytest.mark.parametrize("service", ["extract", "order"])
    def test_each_call_of_a_job_may_fail(self, fault, service):
        for call in range(TESTED_CALL_COUNT):

            async def scenario(call=call):
                cell = make_cell()
                steps = make_steps({call: fault})
                candidate = cell.add_candidate("a", wrap_workers=lambda w: StepWorkers(w, steps))
                spec = make_spec(task_count=TASKS, run_s=2.0, service=service)
                await submit_until_accepted([candidate], spec)
                state = await final_state([candidate], spec.job_id)
                assert state in {JobState.SUCCEEDED, JobState.UNKNOWN}
                if service == "order":
                    assert max(Counter(cell.started_tasks()).values()) <= 1
                else:
                    assert state is JobState.SUCCEEDED
                assert_no_worker_is_overcommitted(cell)

            run_virtual(scenario())


class TestTakeover:
    def test_with_a_dead_worker_loses_and_doubles_nothing(self):
        """The owner and a worker die together; the VM disappears from the platform's list later."""

        async def scenario():
            cell = make_cell(worker_count=4)
            candidates = [cell.add_candidate("a"), cell.add_candidate("b")]

            async def work():
                spec = make_spec(task_count=40, run_s=30.0)
                await submit_until_accepted(candidates, spec)
                await until(lambda: len(cell.started_tasks()) == 40)
                owner = next(each for each in candidates if each.is_ready)
                lost = cell.workers["w0:1"]
                lost.switches.is_dead = True
                await owner.process.abort()
                candidates.remove(owner)
                urgent = make_spec("urgent", service="urgent")
                await submit_until_accepted(candidates, urgent)
                assert await final_state(candidates, urgent.job_id) is JobState.SUCCEEDED
                await asyncio.sleep(20.0)
                lost.advance()
                cell.vm_list.remove("w0")
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                assert_no_worker_is_overcommitted(cell)

            await run_checked(cell, candidates, work())

        run_virtual(scenario())

    def test_adoptions_whose_answers_are_lost_renew_nothing_beyond_the_fence(self):
        async def scenario():
            lease = LeaseSettings(degraded_bound_s=10.0)
            cell = make_cell(worker_count=2, lease=lease)
            first = cell.add_candidate("a")
            spec = make_spec(task_count=2, run_s=600.0)
            await submit_until_accepted([first], spec)
            await until(lambda: len(cell.started_tasks()) == 2)
            steps = make_steps(dict.fromkeys(range(0, 4000), CallFault.ANSWER_LOST))

            class OneWorkerAnswers(StepWorkers):
                async def adopt(self, address, epoch, lease_s):
                    if address == "w0:1":
                        return await super().adopt(address, epoch, lease_s)
                    return await self.inner.adopt(address, epoch, lease_s)

                async def exchange(self, address, request):
                    return await self.inner.exchange(address, request)

            await first.process.abort()
            cell.add_candidate("b", wrap_workers=lambda each: OneWorkerAnswers(each, steps))
            await asyncio.sleep(100.0)
            for worker in cell.workers.values():
                worker.advance()
            assert_no_worker_is_overcommitted(cell)
            assert sorted(cell.started_tasks()) == sorted(
                [f"{spec.job_id}/0", f"{spec.job_id}/1"] * 2
            )

        run_virtual(scenario())


class TestQuota:
    def test_work_of_a_quota_starts_and_stays_within_it_over_two_shards(self):
        async def scenario():
            quota = make_resources(6000, 6 * 1024)
            cell = make_cell(worker_count=6, shard_count=2, declarations=make_declarations(quota))
            candidate = cell.add_candidate("a")
            runners = candidate.process.runners_by_shard
            await until(lambda: all(each.ownership_runner for each in runners.values()))
            await asyncio.sleep(2.0)
            answers = [
                await runner.submit(make_spec(shard, task_count=12, run_s=5.0))
                for shard, runner in runners.items()
            ]
            assert [each.outcome for each in answers] == [SubmitOutcome.ACCEPTED] * 2
            highest = 0
            while len(cell.started_tasks()) < 24:
                await asyncio.sleep(0.1)
                running = sum(len(worker.attempts_by_task) for worker in cell.workers.values())
                highest = max(highest, running)
                assert running <= 6
                (entry,) = cell.store.read(quota_key("bureau"), False).entries or (None,)
                if entry is not None:
                    assert decode_grants(entry.value).total().fits_in(quota)
                assert cell.clock.now_s() < 300.0
            assert highest == 6

        run_virtual(scenario())

    def test_a_lowered_quota_is_in_force_as_work_ends(self):
        async def scenario():
            quota = make_resources(8000, 8 * 1024)
            cell = make_cell(declarations=make_declarations(quota))
            candidate = cell.add_candidate("a")
            spec = make_spec(task_count=40, run_s=4.0)
            await submit_until_accepted([candidate], spec)
            await until(lambda: len(cell.started_tasks()) >= 8)
            lower = make_declarations(make_resources(3000, 3 * 1024), revision=2)
            candidate.process.change_declarations(lower)
            await asyncio.sleep(15.0)
            for _ in range(100):
                await asyncio.sleep(0.1)
                running = sum(len(worker.attempts_by_task) for worker in cell.workers.values())
                assert running <= 3
            assert await final_state([candidate], spec.job_id) is JobState.SUCCEEDED

        run_virtual(scenario())


class TestFallBacks:
    @pytest.mark.parametrize("knows_epochs", [True, False])
    def test_without_inventory_nothing_overlaps_a_takeover(self, knows_epochs):
        async def scenario():
            cell = make_cell(workers_have_inventory=False, workers_know_epochs=knows_epochs)
            for worker in cell.workers.values():
                worker.switches.has_inventory = False
                worker.switches.knows_epochs = knows_epochs
            candidates = [cell.add_candidate("a"), cell.add_candidate("b")]

            async def work():
                spec = make_spec(task_count=6, run_s=20.0)
                await submit_until_accepted(candidates, spec)
                await until(lambda: len(cell.started_tasks()) == 6, within_s=120.0)
                owner = next(each for each in candidates if each.is_ready)
                await owner.process.abort()
                candidates.remove(owner)
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                assert_no_worker_is_overcommitted(cell)

            await run_checked(cell, candidates, work())

        run_virtual(scenario())


class TestCallBudget:
    def test_a_busy_shard_stays_within_its_part_of_the_store(self):
        """At 247 tasks a second a shard may use a fifteenth of 300 writes and 2,000 reads."""

        async def scenario():
            cell = make_cell(worker_count=20, declarations=make_declarations())
            candidates = [cell.add_candidate(f"c{index}") for index in range(9)]
            await until(lambda: any(each.is_ready for each in candidates))
            await asyncio.sleep(5.0)
            owner = next(each for each in candidates if each.is_ready)

            async def load():
                for index in range(13 * 19):
                    spec = make_spec(f"j{index}", task_count=13, run_s=2.0)
                    assert (await owner.runner.submit(spec)).outcome is SubmitOutcome.ACCEPTED

            loads = asyncio.create_task(load())
            highest_writes = highest_reads = 0
            while not loads.done():
                cell.store.calls_by_method.clear()
                await asyncio.sleep(1.0)
                calls = cell.store.calls_by_method
                reads = calls["range"] + calls["watch"]
                highest_reads = max(highest_reads, reads)
                highest_writes = max(highest_writes, calls.total() - reads)
            await loads
            assert len(cell.started_tasks()) > 1000
            assert highest_writes <= 300 / 15
            assert highest_reads <= 2000 / 15

        run_virtual(scenario())
