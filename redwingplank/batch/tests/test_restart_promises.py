"""Model check of the promises with workers that restart and carry out calls of former processes."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.state import OwnerState
from redwingplank.batch.tests.cells import make_cell, make_job, step
from redwingplank.batch.tests.test_promises import (
    CLOCK_RATES,
    MODEL_SETTINGS,
    WORKERS,
    PromisesMachine,
)

LONG_LEASES = BatchSettings(lease_s=6.5, lease_limit_s=10.0)
MAX_JOBS = 10
LONG_TASK_S = 14.0
"""Run time that outlasts every lease."""
RESTART_SETTINGS = settings(MODEL_SETTINGS, max_examples=200, stateful_step_count=25)
MUTANT_SETTINGS = settings(RESTART_SETTINGS, max_examples=600)
WAITS = st.sampled_from([0.1, 0.4, 1.0, 5.5])
"""Some are longer than nothing starts on a restarted worker."""


class RestartsMachine(PromisesMachine):
    """Workers restart while calls to them are under way, and are cut off soon after."""

    settle_s = 150.0

    def __init__(self) -> None:
        super().__init__()
        self.cell = make_cell(WORKERS, clock_rates=CLOCK_RATES, settings=LONG_LEASES)
        self.cell.lost_write_fraction = 0.2

    @rule(tasks=st.integers(1, 3))
    def submit_long(self, tasks: int) -> None:
        name = f"j{len(self.cell.specs_by_id)}"
        if len(self.cell.specs_by_id) < MAX_JOBS:
            spec = make_job(name, step(tasks, estimate_s=LONG_TASK_S), at_s=self.cell.now_s)
            self.cell.submit(spec)

    @rule(late_s=st.sampled_from([0.4, 2.0, 6.0]))
    def delay_calls(self, late_s: float) -> None:
        self.cell.calls.late_s = late_s
        self.cell.run_for(0.32)
        self.cell.calls.late_s = None

    @rule(
        number=st.integers(0, WORKERS - 1),
        late_s=st.sampled_from([0.1, 0.4, 2.0, 6.0]),
        is_replaced=st.booleans(),
        restarted_s=WAITS,
        replaced_s=WAITS,
        cut_s=st.sampled_from([5.0, 9.0, 16.0]),
    )
    def restart_and_cut(
        self,
        number: int,
        late_s: float,
        restarted_s: float,
        replaced_s: float,
        cut_s: float,
        *,
        is_replaced: bool,
    ) -> None:
        """Restart a worker to which calls are under way, and cut it off from the next owner."""
        self.submit_long(WORKERS)
        self.delay_calls(late_s)
        self.crash_worker(number)
        self.cell.run_for(restarted_s)
        if is_replaced:
            self.replace_owner()
        self.cell.run_for(replaced_s)
        for worker in self._pick_worker(number):
            worker.faults.add(Fault.CUT)
        self.cell.run_for(cut_s)
        for worker in self._pick_worker(number):
            worker.faults.discard(Fault.CUT)

    @rule(
        number=st.integers(0, WORKERS - 1),
        late_s=st.sampled_from([8.5, 10.0, 12.0]),
        restarted_s=st.sampled_from([0.5, 7.5, 8.5]),
        is_replaced=st.booleans(),
    )
    def cut_and_restart(
        self, number: int, late_s: float, restarted_s: float, *, is_replaced: bool
    ) -> None:
        """Cut a worker off from which starts had no answer, and restart it behind the cut."""
        self.submit_long(WORKERS)
        self.delay_calls(late_s)
        cut = self._pick_worker(number)
        for worker in cut:
            worker.faults.add(Fault.CUT)
        if is_replaced:
            self.replace_owner()
        self.cell.run_for(restarted_s)
        for worker in cut:
            self.cell.crash(worker.entry.worker_id)
        self.cell.run_for(late_s)
        for worker in cut:
            worker.faults.discard(Fault.CUT)


def _use_one_token(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OwnerState, "token_of", lambda self, worker: self.epoch)


def _start_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OwnerState, "may_have_restarted", lambda self, worker, now_s: False)


MISTAKES_BY_NAME = {
    "former_calls_are_not_fenced": _use_one_token,
    "leases_of_restarted_workers_are_not_waited_for": _start_at_once,
}


class TestPromisesOfRestartedWorkers:
    # Guards against leases that last until a clock is set back to before them, which hide faults.
    def test_begin_without_leases_beyond_the_longest(self):
        cell = RestartsMachine().cell
        left_s = [each.lease_until_s - each.clock_s(cell.now_s) for each in cell.workers.values()]
        assert max(left_s) <= cell.settings.lease_limit_s

    def test_hold_with_calls_of_former_processes(self):
        run_state_machine_as_test(RestartsMachine, settings=RESTART_SETTINGS)

    # Each of these mistakes must show: the fault of the incident came from both.
    @pytest.mark.parametrize("mistake", MISTAKES_BY_NAME)
    def test_break_with_a_mistake(self, mistake: str, monkeypatch: pytest.MonkeyPatch):
        MISTAKES_BY_NAME[mistake](monkeypatch)
        with pytest.raises(AssertionError, match=r"runs in 2 places|acknowledged|started again"):
            run_state_machine_as_test(RestartsMachine, settings=MUTANT_SETTINGS)
