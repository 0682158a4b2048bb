"""Slows tasks that fill down where they disturb tasks that serve."""

from redwingplank.batch.commands import PaceRun
from redwingplank.batch.entities import Run, RunState, Worker
from redwingplank.batch.state import OwnerState

__all__ = ["Pacing"]

HIGH_SHARE = 0.9
"""Share of the bound on the tail from which tasks that fill are slowed."""
LOW_SHARE = 0.6
"""Share below which they are let go faster again."""
SLOWER_FACTOR = 0.4
FASTER_STEP = 20
MIN_SETTLE_S = 0.7
"""The tail is told for the last half second: a change shows only after it."""


class Pacing:
    """Sets the speed of tasks that fill, worker by worker.

    Parameters
    ----------
    state : OwnerState
        The tables.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def adjust(self, worker: Worker, now_s: float) -> None:
        """Set the speed on a worker that has just reported."""
        runs = [run for run in worker.runs_by_key.values() if run.state is RunState.RUNNING]
        serving = [run for run in runs if _is_serving(run)]
        fillers = [run for run in runs if run.spec is not None and not run.spec.is_lasting]
        worst = max((run.load / run.spec.target_ms for run in serving if run.spec), default=0.0)
        self._set_percent(worker, worst, bool(serving and fillers), now_s)
        for run in fillers:
            if run.pace_percent != worker.filler_percent:
                run.pace_percent = worker.filler_percent
                self._state.commands.paces.append(PaceRun(run, worker.filler_percent))

    def _set_percent(self, worker: Worker, worst: float, is_mixed: bool, now_s: float) -> None:
        percent = worker.filler_percent
        if not is_mixed:
            percent = 100
        elif now_s - worker.paced_s < MIN_SETTLE_S:
            return
        elif worst > HIGH_SHARE:
            percent = 0 if percent <= 16 else round(percent * SLOWER_FACTOR)
        elif worst < LOW_SHARE:
            percent = min(100, percent + FASTER_STEP)
        if percent == worker.filler_percent:
            return
        self._state.log_decision(
            "paced", worker=worker.id, percent=percent, tail_share=worst, was=worker.filler_percent
        )
        worker.filler_percent = percent
        worker.paced_s = now_s


def _is_serving(run: Run) -> bool:
    return run.spec is not None and run.spec.target_ms > 0 and run.spec.is_lasting
