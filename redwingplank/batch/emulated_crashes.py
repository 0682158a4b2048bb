"""Tasks of an emulated cell that crash each worker that starts them."""

from collections import Counter
from collections.abc import Callable

from redwingplank.batch.emulated_worker import EmulatedWorker
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import TaskId

__all__ = ["CrashingTasks"]

CRASH_AFTER_S = 0.01
"""Time from the start of such a task to the end of its worker's process."""
DOWN_S = 3.7
"""Time until another process answers at the worker's address."""
CRASHES_BEFORE_LIMIT = 3
STARTS_BEYOND_LIMIT = 3
"""This many starts after `CRASHES_BEFORE_LIMIT` crashes break the users' limit."""


class CrashingTasks:
    """Crashes the workers that start certain tasks, and counts the starts of these tasks.

    Parameters
    ----------
    cell : EmulatedCell
        Cell whose workers crash.
    is_crashing : callable
        Whether a task crashes the workers that start it.
    down_s : float, optional
        Time until a crashed worker's address has a process again.
    keeps_id : bool, optional
        Whether the new process has the id of the one that crashed.
    """

    def __init__(
        self,
        cell: EmulatedCell,
        is_crashing: Callable[[TaskId], bool],
        down_s: float = DOWN_S,
        *,
        keeps_id: bool = False,
    ) -> None:
        self._cell = cell
        self._is_crashing = is_crashing
        self._down_s = down_s
        self._keeps_id = keeps_id
        self.crashes = 0
        self._starts_beyond: Counter[TaskId] = Counter()
        cell.start_listeners.append(self._handle_start)

    def _handle_start(self, worker: EmulatedWorker, task: TaskId) -> None:
        if not self._is_crashing(task):
            return
        if self._cell.crash_counts[task] >= CRASHES_BEFORE_LIMIT:
            self._starts_beyond[task] += 1
        if self._starts_beyond[task] >= STARTS_BEYOND_LIMIT:
            self._cell.violations.append(f"{task} started although it crashes its workers")
        self._cell.after(CRASH_AFTER_S, lambda: self._crash(worker, task))

    def _crash(self, worker: EmulatedWorker, task: TaskId) -> None:
        if worker.is_down or not any(run.task == task for run in worker.runs.values()):
            return
        self.crashes += 1
        self._cell.take_down(worker)
        self._cell.after(
            self._down_s, lambda: self._cell.bring_back(worker, keeps_id=self._keeps_id)
        )
