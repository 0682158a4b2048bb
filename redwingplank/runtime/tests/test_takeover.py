import asyncio
from collections import Counter

import pytest

from redwingplank.rpc import CallOutcomeUnknownError
from redwingplank.runtime.tests.cells import DOMAIN, Cell, make_spec, until
from redwingplank.runtime.tests.scenarios import (
    assert_each_ran_once,
    epoch_in,
    final_state,
    run_checked,
    submit_until_accepted,
)
from redwingplank.runtime.tests.step_clients import CallFault, StepStore, StepWorkers, make_steps
from redwingplank.scheduling.messages import JobState, OwnershipMode, SubmitOutcome
from redwingplank.scheduling.ownership import LeaseSettings
from redwingplank.standin.virtual_time import run_virtual

TESTED_CALL_COUNT = 12


class TestElection:
    @pytest.mark.parametrize("call", range(TESTED_CALL_COUNT))
    @pytest.mark.parametrize(
        "fault",
        [CallFault.REFUSED, CallFault.REQUEST_LOST, CallFault.ANSWER_LOST, CallFault.LATE],
    )
    def test_survives_the_failure_of_any_store_call(self, call, fault):
        """The tested calls cover the election, the replay and the first group commits."""

        async def scenario():
            cell = Cell()
            steps = make_steps({call: fault})
            candidates = [cell.add_candidate("a", lambda store: StepStore(store, steps))]

            async def work():
                spec = make_spec(task_count=3)
                await submit_until_accepted(candidates, spec)
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                await asyncio.sleep(3.0)
                assert_each_ran_once(cell, spec)
                assert len(steps.names) > TESTED_CALL_COUNT

            await run_checked(cell, candidates, work())

        run_virtual(scenario())

    @pytest.mark.parametrize("call", range(TESTED_CALL_COUNT))
    @pytest.mark.parametrize("fault", [CallFault.DIES_BEFORE, CallFault.DIES_AFTER])
    def test_another_takes_over_wherever_the_first_one_dies(self, call, fault):
        async def scenario():
            cell = Cell()
            died = asyncio.Event()
            steps = make_steps({call: fault}, died.set)
            candidates = [cell.add_candidate("a", lambda store: StepStore(store, steps))]

            async def abort_when_dead():
                await died.wait()
                await candidates[0].process.abort()

            async def work():
                abort_task = asyncio.create_task(abort_when_dead())
                await asyncio.sleep(0.05)
                candidates.append(cell.add_candidate("b"))
                spec = make_spec(task_count=3)
                await submit_until_accepted(candidates, spec)
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                abort_task.cancel()
                assert_each_ran_once(cell, spec)

            await run_checked(cell, candidates, work())

        run_virtual(scenario())

    def test_of_many_candidates_one_wins_with_few_calls(self):
        async def scenario():
            cell = Cell()
            candidates = [cell.add_candidate(f"c{index}") for index in range(9)]

            async def work():
                await until(lambda: any(each.is_ready for each in candidates))
                await asyncio.sleep(20.0)
                assert epoch_in(cell) == 1
                cell.store.calls_by_method.clear()
                await asyncio.sleep(100.0)
                calls = cell.store.calls_by_method
                assert calls["keep_alive"] == pytest.approx(100, abs=2)
                assert calls["range"] <= 9 * 100
                assert calls["transact"] == calls["grant_lease"] == 0

            await run_checked(cell, candidates, work())

        run_virtual(scenario())


class TestOwnersDeath:
    def test_loses_and_doubles_no_running_task(self):
        async def scenario():
            cell = Cell(worker_count=5, task_lease_s=15.0)
            candidates = [cell.add_candidate(name) for name in ("a", "b", "c")]

            async def work():
                spec = make_spec(task_count=40, run_s=12.0)
                await submit_until_accepted(candidates, spec)
                await until(lambda: len(cell.started_tasks()) == 40)
                owner = next(each for each in candidates if each.is_ready)
                died_at_s = cell.clock.now_s()
                await owner.process.abort()
                candidates.remove(owner)
                await until(lambda: any(each.is_ready for each in candidates))
                assert cell.clock.now_s() - died_at_s < 5.5
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                assert_each_ran_once(cell, spec)
                ends = Counter(
                    event.detail for event in cell.history.events if event.kind == "task_ended"
                )
                assert ends == {"completed": 40}

            await run_checked(cell, candidates, work())

        run_virtual(scenario())

    def test_returns_a_result_that_no_owner_had_recorded(self):
        """The task ends while no process owns the shard; the worker keeps its completion."""

        async def scenario():
            cell = Cell()
            candidates = [cell.add_candidate("a"), cell.add_candidate("b")]

            async def work():
                spec = make_spec(run_s=1.0)
                await submit_until_accepted(candidates, spec)
                await until(lambda: len(cell.started_tasks()) == 1)
                owner = next(each for each in candidates if each.is_ready)
                await owner.process.abort()
                candidates.remove(owner)
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                assert_each_ran_once(cell, spec)

            await run_checked(cell, candidates, work())

        run_virtual(scenario())


class TestPausedOwner:
    def test_is_fenced_at_the_worker_between_check_and_send(self):
        """Its requests are sent in time but arrive after another owner has adopted the worker."""

        async def scenario():
            cell = Cell(worker_count=1, worker_timeout_s=60.0)
            steps = make_steps(late_s=0.0)
            first = cell.add_candidate("a", wrap_workers=lambda each: StepWorkers(each, steps))
            await until(lambda: first.is_ready and "exchange" in steps.names)
            first.worker_faults.delay_s = 20.0
            answer = asyncio.create_task(first.runner.submit(make_spec(task_count=2)))
            await asyncio.sleep(0.5)
            assert (await answer).outcome is SubmitOutcome.ACCEPTED
            first.store_faults.is_down = True
            second = cell.add_candidate("b")
            await until(lambda: second.is_ready)
            await until(lambda: len(cell.started_tasks()) == 2)
            await until(lambda: first.mode is OwnershipMode.LOST)
            assert first.runner.ownership.term is None
            await asyncio.sleep(30.0)
            starts = [each for each in cell.history.events if each.kind == "task_started"]
            assert [each.attempt for each in starts] == [2, 2]

        run_virtual(scenario())

    def test_is_fenced_in_the_journal(self):
        async def scenario():
            cell = Cell()
            first = cell.add_candidate("a")
            await until(lambda: first.is_ready)
            first.store_faults.delay_s = 10.0
            answer = asyncio.create_task(first.runner.submit(make_spec("late")))
            second = cell.add_candidate("b")
            await until(lambda: second.is_ready)
            with pytest.raises(CallOutcomeUnknownError):
                await answer
            assert first.mode is OwnershipMode.LOST
            status, _ = await second.runner.status(f"{DOMAIN}.late", 0, 0.0)
            assert status is None
            assert (await second.runner.submit(make_spec("late"))).outcome is SubmitOutcome.ACCEPTED

        run_virtual(scenario())


class TestStoreAway:
    def test_work_runs_on_for_ten_minutes_and_the_owner_stays(self):
        async def scenario():
            cell = Cell(task_lease_s=15.0)
            candidates = [cell.add_candidate(f"c{index}") for index in range(5)]

            async def work():
                spec = make_spec(task_count=6, run_s=700.0)
                await submit_until_accepted(candidates, spec)
                await until(lambda: len(cell.started_tasks()) == 6)
                owner = next(each for each in candidates if each.is_ready)
                for each in candidates:
                    each.store_faults.is_down = True
                await until(lambda: owner.mode is OwnershipMode.DEGRADED)
                answer = await owner.runner.submit(make_spec("other"))
                assert answer.outcome is SubmitOutcome.NOT_NOW
                await asyncio.sleep(600.0)
                assert owner.mode is OwnershipMode.DEGRADED
                for each in candidates:
                    each.store_faults.is_down = False
                await until(lambda: any(each.mode == "owning" for each in candidates))
                assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                assert_each_ran_once(cell, spec)

            await run_checked(cell, candidates, work())

        run_virtual(scenario())

    def test_the_return_of_the_store_brings_no_stampede(self):
        async def scenario():
            cell = Cell()
            candidates = [cell.add_candidate(f"c{index}") for index in range(9)]
            await until(lambda: any(each.is_ready for each in candidates))
            for each in candidates:
                each.store_faults.is_down = True
            await asyncio.sleep(300.0)
            for each in candidates:
                each.store_faults.is_down = False
            calls_by_tenth = []
            for _ in range(50):
                cell.store.calls_by_method.clear()
                await asyncio.sleep(0.1)
                calls_by_tenth.append(cell.store.calls_by_method.total())
            assert max(calls_by_tenth) <= 20
            assert epoch_in(cell) <= 2

        run_virtual(scenario())

    def test_without_the_store_renewals_end_at_the_bound(self):
        async def scenario():
            cell = Cell(task_lease_s=15.0, lease=LeaseSettings(degraded_bound_s=30.0))
            candidate = cell.add_candidate("a")
            await submit_until_accepted([candidate], make_spec(run_s=0.0))
            await until(lambda: len(cell.started_tasks()) == 1)
            candidate.store_faults.is_down = True
            outage_at_s = cell.clock.now_s()
            await asyncio.sleep(100.0)
            for worker in cell.workers.values():
                worker.advance()
            ended = [event for event in cell.history.events if event.kind == "task_ended"]
            assert [event.detail for event in ended] == ["lease_lapsed"]
            assert 30.0 < ended[0].time_s - outage_at_s < 30.0 + 3.0 + 15.0

        run_virtual(scenario())

    def test_group_commits_of_an_outage_are_written_after_it(self):
        async def scenario():
            cell = Cell()
            candidate = cell.add_candidate("a")
            spec = make_spec(task_count=20, run_s=5.0)
            await submit_until_accepted([candidate], spec)
            await until(lambda: len(cell.started_tasks()) == 20)
            candidate.store_faults.is_down = True
            await asyncio.sleep(60.0)
            candidate.store_faults.is_down = False
            assert await final_state([candidate], spec.job_id) is JobState.SUCCEEDED
            await candidate.process.abort()
            successor = cell.add_candidate("b")
            assert await final_state([successor], spec.job_id) is JobState.SUCCEEDED
            assert_each_ran_once(cell, spec)

        run_virtual(scenario())


class TestHandOver:
    def test_loses_no_call_and_no_task(self):
        async def scenario():
            cell = Cell(worker_count=5)
            first, second = cell.add_candidate("a"), None
            await until(lambda: first.is_ready)
            second, third = cell.add_candidate("b"), cell.add_candidate("c")
            candidates = [first, second, third]
            longest_s = 0.0

            async def submit_all():
                nonlocal longest_s
                for index in range(200):
                    begun_s = cell.clock.now_s()
                    await submit_until_accepted(candidates, make_spec(f"j{index}", run_s=2.0))
                    longest_s = max(longest_s, cell.clock.now_s() - begun_s)
                    await asyncio.sleep(0.02)

            async def work():
                submissions = asyncio.create_task(submit_all())
                await asyncio.sleep(1.0)
                await first.process.stop("b:1")
                await until(lambda: second.is_ready, within_s=1.0)
                await submissions
                for index in range(200):
                    spec = make_spec(f"j{index}")
                    assert await final_state(candidates, spec.job_id) is JobState.SUCCEEDED
                    assert_each_ran_once(cell, spec)
                assert epoch_in(cell) == 2
                assert longest_s < 1.0

            await run_checked(cell, candidates, work())

        run_virtual(scenario())

    def test_another_takes_over_when_the_named_one_does_not(self):
        async def scenario():
            cell = Cell()
            first, second = cell.add_candidate("a"), cell.add_candidate("b")
            await until(lambda: first.is_ready or second.is_ready)
            owner, other = (first, second) if first.is_ready else (second, first)
            await owner.process.stop("gone:1")
            await until(lambda: other.is_ready, within_s=4.0)

        run_virtual(scenario())

    def test_a_stop_without_the_store_ends_in_time(self):
        async def scenario():
            cell = Cell(stop_within_s=5.0)
            candidate = cell.add_candidate("a")
            await until(lambda: candidate.is_ready)
            candidate.store_faults.is_down = True
            answer = asyncio.create_task(candidate.runner.submit(make_spec()))
            await asyncio.sleep(0.1)
            begun_s = cell.clock.now_s()
            await candidate.process.stop()
            assert cell.clock.now_s() - begun_s < 9.0
            with pytest.raises(CallOutcomeUnknownError):
                await answer

        run_virtual(scenario())


class TestWorkersWithoutEpochs:
    def test_are_adopted_only_after_the_earlier_owners_lease(self):
        async def scenario():
            cell = Cell(workers_know_epochs=False)
            for worker in cell.workers.values():
                worker.switches.knows_epochs = False
            first = cell.add_candidate("a")
            await until(lambda: first.is_ready)
            second = cell.add_candidate("b")
            valid_until_s = first.runner.ownership.valid_until_s
            await first.process.stop("b:1")
            await until(lambda: second.is_ready)
            assert cell.clock.now_s() < valid_until_s
            await until(lambda: any(worker.epoch == 2 for worker in cell.workers.values()))
            assert cell.clock.now_s() > valid_until_s

        run_virtual(scenario())

    def test_a_start_that_arrives_late_is_void(self):
        async def scenario():
            cell = Cell(worker_count=1, workers_know_epochs=False, worker_timeout_s=60.0)
            (worker,) = cell.workers.values()
            worker.switches.knows_epochs = False
            first = cell.add_candidate("a")
            await until(lambda: first.is_ready and worker.epoch == 1)
            first.worker_faults.delay_s = 20.0
            await submit_until_accepted([first], make_spec())
            await asyncio.sleep(0.2)
            await first.process.abort()
            assert cell.started_tasks() == []

        run_virtual(scenario())


class TestSeveralShards:
    def test_share_a_process_and_its_workers(self):
        async def scenario():
            cell = Cell(worker_count=12, shard_count=3)
            candidate = cell.add_candidate("a")
            runners = candidate.process.runners_by_shard
            assert sorted(runners) == [f"{DOMAIN}#{index}" for index in range(3)]

            def cores():
                return [
                    each.ownership_runner and each.ownership_runner.core
                    for each in runners.values()
                ]

            await until(lambda: all(core and core.workers for core in cores()))
            await asyncio.sleep(3.0)
            adopted = [set(core.workers) for core in cores()]
            assert sum(map(len, adopted)) == len(set().union(*adopted)) == 12

        run_virtual(scenario())
