"""Tests of the rule UNASKED in emulated cells, and of the path of a cancellation through them."""

from dataclasses import replace

import pytest

from redwingplank.batch.emulated_checks import UnaskedChecks
from redwingplank.batch.emulated_worker import EmulatedRun, StartOrder
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import JobSpec, JobState, TaskId
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.state import OwnerState
from redwingplank.batch.tests.cells import make_cell, make_job, make_worker, step

TASK = TaskId("a", 0, 0, 0)
STEP = step(2, estimate_s=30.0, saves=True)


def submit(cell: EmulatedCell, *steps, job_id: str = "a") -> None:
    cell.submit(make_job(job_id, *(steps or [step(2, estimate_s=30.0)]), at_s=cell.now_s))


def submit_changed(cell: EmulatedCell, asked: JobSpec, told: JobSpec) -> None:
    """Submit a job as an owner that passes on another one than it was told of."""
    cell.specs_by_id[asked.job_id] = asked
    cell.unasked.note_submission(asked)
    cell.owner.submit(told, cell.now_s, cell.now_s)
    cell.run_for(0.5)


def is_acknowledged(cell: EmulatedCell, job_id: str = "a") -> bool:
    return job_id in cell.unasked.cancelled_s_by_id


class TestPathOfCancellation:
    def test_acknowledged_once_the_owner_has_stored_it(self):
        cell = make_cell()
        submit(cell)
        cell.run_for(1.0)
        cell.cancel("a")
        assert not is_acknowledged(cell)
        cell.run_for(0.2)
        assert is_acknowledged(cell)
        assert cell.cancellations.stored_ids == set()

    # Guards against a cell that remembers what was stored nowhere.
    def test_forgotten_with_the_owner_while_the_store_is_away(self):
        cell = make_cell()
        submit(cell)
        cell.run_for(1.0)
        cell.is_store_unavailable = True
        cell.cancel("a")
        cell.run_for(4.0)
        assert not is_acknowledged(cell)
        cell.replace_owner()
        cell.is_store_unavailable = False
        cell.run_for(1.0)
        assert cell.state("a") is JobState.RUNNING

    def test_stored_by_the_node_if_the_store_refuses_the_owner(self):
        cell = make_cell()
        submit(cell)
        cell.run_for(1.0)
        cell.is_store_refusing_owner = True
        cell.cancel("a")
        cell.run_for(1.4)
        assert not is_acknowledged(cell)
        cell.run_for(0.3)
        assert is_acknowledged(cell)
        cell.replace_owner()
        cell.run_for(1.0)
        assert cell.state("a") is JobState.CANCELLED

    def test_an_owner_that_does_not_know_the_job_learns_of_it_later(self):
        cell = make_cell()
        cell.longest_submission_delay_s = 1.5
        submit(cell)
        cell.cancel("a")
        cell.run_for(0.04)
        assert is_acknowledged(cell)
        cell.run_for(1.6)
        assert cell.state("a") is JobState.CANCELLED

    def test_stored_by_the_node_if_the_owner_does_not_answer(self):
        cell = make_cell()
        submit(cell)
        cell.run_for(1.0)
        cell.lost_command_fraction = 1.0
        cell.cancel("a")
        cell.run_for(1.9)
        assert not is_acknowledged(cell)
        cell.run_for(0.3)
        assert is_acknowledged(cell)

    def test_a_job_that_the_store_does_not_have_is_acknowledged_as_gone(self):
        cell = make_cell()
        cell.cancel("a")
        assert is_acknowledged(cell)


class TestStartsThatNobodyAskedFor:
    """Each test breaks an owner on purpose and has to see its start reported."""

    def test_of_a_job_that_was_not_submitted(self):
        cell = make_cell()
        cell.owner.submit(make_job("a", step(1)), cell.now_s, cell.now_s)
        cell.run_for(0.5)
        assert cell.violations == ["a.0.0.0 started, which nobody has submitted"]

    @pytest.mark.parametrize("steps", [(step(3),), (step(2), step(1))])
    def test_of_a_task_that_the_job_does_not_have(self, steps):
        cell = make_cell()
        submit_changed(cell, make_job("a", step(2)), make_job("a", *steps))
        ghosts = [found for found in cell.violations if "which nobody has submitted" in found]
        assert len(ghosts) == 1

    @pytest.mark.parametrize("change", [{"payload": "other"}, {"steps": (step(1, cpu=100),)}])
    def test_with_another_spec(self, change):
        cell = make_cell()
        job = make_job("a", step(1))
        submit_changed(cell, job, replace(job, **change))
        assert cell.violations == ["a.0.0.0 started with another spec"]

    def test_from_the_checkpoint_of_another_task(self):
        cell = make_cell(1)
        submit(cell, STEP)
        cell.run_for(2.0)
        cell.crash("w0")
        (step_state,) = cell.owner.state.jobs_by_id["a"].steps_by_key.values()
        first, second = step_state.tasks
        assert first.saved and second.saved
        first.saved = wrong = second.saved
        cell.run_for(0.4)
        assert cell.violations == [f"a.0.0.0 started from {wrong}, which is not its own"]

    def test_from_its_own_checkpoint_is_not_reported(self):
        cell = make_cell(1)
        submit(cell, STEP)
        cell.run_for(2.0)
        cell.crash("w0")
        cell.run_for(0.5)
        assert cell.starts == 4
        assert {run.saved for run in cell.workers["w0"].runs.values()} != {""}
        assert cell.violations == []


class TestStartsAfterCancellations:
    """An owner that acknowledges a cancellation and does nothing."""

    @pytest.fixture(autouse=True)
    def ignore_cancellations(self, monkeypatch):
        monkeypatch.setattr(JobOwner, "cancel", lambda *_args: 0)

    @pytest.fixture
    def cell(self) -> EmulatedCell:
        cell = make_cell(1)
        submit(cell, step(30, cpu=8000, estimate_s=0.5))
        cell.run_for(0.3)
        cell.cancel("a")
        return cell

    def test_none_is_reported_within_the_bound(self, cell):
        cell.run_for(2.9)
        assert cell.starts > 3
        assert cell.violations == []

    def test_later_ones_are_reported(self, cell):
        cell.run_for(4.0)
        assert cell.violations
        for violation in cell.violations:
            assert violation.endswith("s after its cancellation")

    @pytest.mark.parametrize("attribute", ["is_store_unavailable", "is_store_refusing_owner"])
    def test_none_is_reported_of_an_owner_that_is_cut_off(self, cell, attribute):
        cell.run_for(2.0)
        setattr(cell, attribute, True)
        cell.run_for(0.1)
        setattr(cell, attribute, False)
        cell.run_for(2.5)
        assert cell.violations == []
        cell.run_for(1.5)
        assert cell.violations


class TestRunsAfterCancellations:
    @pytest.fixture
    def cell(self, monkeypatch) -> EmulatedCell:
        """Return a cell with an owner that does not stop the runs of a cancelled job."""
        cell = make_cell(1)
        submit(cell, step(1, estimate_s=30.0))
        cell.run_for(1.0)
        monkeypatch.setattr(OwnerState, "order_stop", lambda *_args: None)
        cell.cancel("a")
        return cell

    def test_one_that_goes_on_is_reported_once(self, cell):
        cell.run_for(3.8)
        assert cell.violations == []
        cell.run_for(3.0)
        (violation,) = cell.violations
        assert violation.startswith("a.0.0.0 runs 3.9")

    def test_one_beside_a_disruption_is_reported_later(self, cell):
        cell.run_for(2.0)
        cell.lost_command_fraction = 0.5
        cell.run_for(0.1)
        cell.lost_command_fraction = 0.0
        cell.run_for(6.8)
        assert cell.violations == []
        cell.run_for(0.3)
        assert len(cell.violations) == 1


class TestStartsThatAreCarriedOutLate:
    """The rule does not count them as starts, but their runs have to end."""

    @pytest.fixture
    def checks(self) -> UnaskedChecks:
        checks = UnaskedChecks([])
        checks.note_submission(make_job("a", STEP))
        checks.note_cancellation("a", 100.0)
        return checks

    @pytest.mark.parametrize("is_late", [True, False])
    def test_are_not_starts(self, checks, is_late):
        order = StartOrder(TASK, 1, "payload", STEP, "", 0, 1, 1)
        checks.check_start(order, 110.0, is_late=is_late)
        assert len(checks.violations) == (not is_late)

    @pytest.mark.parametrize(("is_late", "after_s"), [(True, 6.9), (False, 0.0)])
    def test_may_run_until_a_time_after_their_starts(self, checks, is_late, after_s):
        run = EmulatedRun(TASK, 1, STEP, 30.0, started_s=110.0, is_late=is_late)
        if after_s:
            checks.check_run(make_worker(0), run, 110.0 + after_s - 0.01)
        assert checks.violations == []
        checks.check_run(make_worker(0), run, 110.0 + after_s + 0.01)
        assert len(checks.violations) == 1
