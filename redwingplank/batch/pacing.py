"""Slows down filler tasks on workers where they raise the latency of serving tasks.

A filler task is a task of a step that is not lasting.
"""

from redwingplank.batch.commands import PaceRun
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import Worker

__all__ = ["Pacing"]

SLOW_DOWN_FRACTION = 0.9
"""Fraction of the tail latency bound above which filler tasks are slowed down."""
SPEED_UP_FRACTION = 0.6
"""Fraction of the tail latency bound below which filler tasks are sped up again."""
SLOW_DOWN_FACTOR = 0.4
"""Factor on the speed of filler tasks each time that they are slowed down."""
SPEED_UP_STEP_PERCENT = 20
"""Percentage points by which filler tasks are sped up at a time."""
MIN_CHANGE_INTERVAL_S = 0.7
"""Shortest time between changes, in seconds.

The reported tail latency covers the last 0.5 s, so a change shows only after that time.
"""


class Pacing:
    """Sets the speed of the filler tasks of each worker.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def adjust(self, worker: Worker, now_s: float) -> None:
        """Adjust the speed of the filler tasks on a worker that has just reported."""
        runs = [run for run in worker.runs_by_key.values() if run.state is RunState.RUNNING]
        serving = [run for run in runs if _is_serving(run)]
        fillers = [run for run in runs if run.spec is not None and not run.spec.is_lasting]
        worst_fraction = max(
            (run.load / run.spec.target_ms for run in serving if run.spec), default=0.0
        )
        self._set_filler_percent(worker, worst_fraction, bool(serving and fillers), now_s)
        for run in fillers:
            if run.pace_percent != worker.filler_percent:
                run.pace_percent = worker.filler_percent
                self._state.commands.paces.append(PaceRun(run, worker.filler_percent))

    def _set_filler_percent(
        self, worker: Worker, worst_fraction: float, is_mixed: bool, now_s: float
    ) -> None:
        percent = worker.filler_percent
        if not is_mixed:
            percent = 100
        elif now_s - worker.paced_s < MIN_CHANGE_INTERVAL_S:
            return
        elif worst_fraction > SLOW_DOWN_FRACTION:
            percent = 0 if percent <= 16 else round(percent * SLOW_DOWN_FACTOR)
        elif worst_fraction < SPEED_UP_FRACTION:
            percent = min(100, percent + SPEED_UP_STEP_PERCENT)
        if percent == worker.filler_percent:
            return
        self._state.log_decision(
            "paced",
            worker=worker.id,
            percent=percent,
            tail_share=worst_fraction,
            was=worker.filler_percent,
        )
        worker.filler_percent = percent
        worker.paced_s = now_s


def _is_serving(run: Run) -> bool:
    return run.spec is not None and run.spec.target_ms > 0 and run.spec.is_lasting
