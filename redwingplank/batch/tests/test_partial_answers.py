"""Model check of decisions on answers that are partial, refused or missing.

Lists of completions are cut, starts are refused, runs fail, the queue is missing from the
configuration, and the store takes no records, beside the faults of the other model checks.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from redwingplank.batch import reports
from redwingplank.batch.completions import Completions
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import JobState
from redwingplank.batch.tests.cells import EXTRACT, PROOF
from redwingplank.batch.tests.test_promises import (
    MODEL_SETTINGS,
    SETTLE_S,
    WORKERS,
    PromisesMachine,
)

LIST_LIMIT = 2
"""Completions in one report; far below the real limit, so that few tasks reach it."""
PARTIAL_SETTINGS = settings(MODEL_SETTINGS, max_examples=150)


class PartialAnswersMachine(PromisesMachine):
    """Jobs, owners and faults in any order, where an answer seldom tells all.

    Beside the promises of the other machines, a job may only fail after as many failed runs of a
    task as its queue allows, and no task starts after them.
    """

    settle_s = 3 * SETTLE_S

    def __init__(self) -> None:
        super().__init__()
        for worker in self.cell.workers.values():
            worker.list_limit = LIST_LIMIT
        self.cell.set_queues(PROOF, EXTRACT)

    @rule(
        number=st.integers(0, WORKERS - 1),
        fault=st.sampled_from([Fault.REFUSE, Fault.FAIL_ALL, Fault.HANG]),
        duration_s=st.sampled_from([0.06, 0.4, 2.0]),
    )
    def disturb_worker(self, number: int, fault: str, duration_s: float) -> None:
        for worker in self._pick_worker(number):
            worker.faults.add(fault)
            self.cell.run_for(duration_s)
            worker.faults.discard(fault)

    @rule(is_away=st.booleans())
    def change_queues(self, *, is_away: bool) -> None:
        self.cell.set_queues(*([EXTRACT] if is_away else [PROOF, EXTRACT]))

    @rule(is_unavailable=st.booleans())
    def stop_store(self, *, is_unavailable: bool) -> None:
        self.cell.is_store_unavailable = is_unavailable

    @rule(number=st.integers(0, WORKERS - 1), is_listed=st.booleans())
    def list_worker(self, number: int, *, is_listed: bool) -> None:
        for worker in self._pick_worker(number):
            worker.is_listed = is_listed

    @rule(down_s=st.sampled_from([0.5, 1.5, 4.0]), wait_s=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_all_nodes(self, down_s: float, wait_s: float) -> None:
        """Let the workers go on alone, and then the next owner for a while."""
        workers = [worker for worker in self.cell.workers.values() if not worker.is_down]
        for worker in workers:
            worker.faults.add(Fault.CUT)
        self.cell.run_for(down_s)
        for worker in workers:
            worker.faults.discard(Fault.CUT)
        self.cell.replace_owner()
        self.cell.run_for(wait_s)

    def teardown(self) -> None:
        self.cell.is_store_unavailable = False
        for worker in self.cell.workers.values():
            worker.is_listed = True
        self.cell.set_queues(PROOF, EXTRACT)
        super().teardown()

    def may_have_failed(self, job_id: str) -> bool:
        """Return whether a task of a job has failed as often as its queue allows."""
        return any(
            count >= PROOF.max_attempts
            for task, count in self.cell.failure_counts.items()
            if task.job_id == job_id
        )

    def check_states(self) -> None:
        for job_id in self.cell.specs_by_id:
            state = self.cell.state(job_id)
            is_failed = state is JobState.FAILED and (
                self.may_have_failed(job_id) or self.has_crashed(job_id)
            )
            assert state is JobState.COMPLETED or is_failed, (job_id, state)


def _take_cut_lists_for_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reports, "MAX_LISTED_COMPLETIONS", 10**9)


def _take_a_missing_limit_for_one(monkeypatch: pytest.MonkeyPatch) -> None:
    judge = Completions._fail_if_used_up

    def judge_at_once(completions, job, step, task, now_s) -> None:
        state = completions._state
        if state.queue_of(job) is None and not job.state.is_final and not task.is_done:
            state.finish_job(job, JobState.FAILED, now_s, "attempts_used_up")
        judge(completions, job, step, task, now_s)

    monkeypatch.setattr(Completions, "_fail_if_used_up", judge_at_once)


FAULTS_BY_NAME = {
    "cut_list": _take_cut_lists_for_whole,
    "missing_limit": _take_a_missing_limit_for_one,
}


class TestPartialAnswers:
    @pytest.fixture(autouse=True)
    def short_lists(self, monkeypatch):
        monkeypatch.setattr(reports, "MAX_LISTED_COMPLETIONS", LIST_LIMIT)

    def test_no_promise_is_broken_on_them(self):
        run_state_machine_as_test(PartialAnswersMachine, settings=PARTIAL_SETTINGS)

    # Guards against a check that cannot find the faults it was written for.
    @pytest.mark.parametrize("fault", FAULTS_BY_NAME)
    def test_a_decision_on_a_partial_answer_is_found(self, fault, monkeypatch):
        FAULTS_BY_NAME[fault](monkeypatch)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(PartialAnswersMachine, settings=MODEL_SETTINGS)
