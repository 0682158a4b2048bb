"""Checks of what emulated workers are told to do against what an owner promises."""

from collections.abc import Mapping

from redwingplank.batch.emulated_worker import EmulatedRun, EmulatedWorker
from redwingplank.batch.model import (
    Amounts,
    CellConfig,
    CompletionKind,
    JobSpec,
    RunCompletion,
    StepSpec,
    TaskId,
)

__all__ = ["PromiseChecks"]


class PromiseChecks:
    """Collects every broken promise of a cell.

    Parameters
    ----------
    workers_by_id : mapping of str to EmulatedWorker
        Workers of the cell; workers may be added later.
    specs_by_id : mapping of str to JobSpec
        Submitted jobs; jobs may be added later.
    """

    def __init__(
        self, workers_by_id: Mapping[str, EmulatedWorker], specs_by_id: Mapping[str, JobSpec]
    ) -> None:
        self._workers_by_id = workers_by_id
        self._specs_by_id = specs_by_id
        self._repeated_ends: set[tuple[str, int, int]] = set()
        """Completions of tasks that were started again, by worker id, birth and number."""
        self.acknowledged_done: set[TaskId] = set()
        self.violations: list[str] = []

    def check_start(
        self, worker: EmulatedWorker, task: TaskId, spec: StepSpec, now_s: float
    ) -> None:
        """Check a start that a worker has just carried out."""
        if not worker.entry.capacity.holds(worker.used):
            self.violations.append(f"{worker.entry.worker_id} over its capacity by {task}")
        run_count = sum(
            run.task == task
            for other in self._workers_by_id.values()
            for run in other.runs.values()
        )
        if run_count > 1 and not spec.may_copy:
            self.violations.append(f"{task} runs in {run_count} places at {now_s:.2f}")
        if task in self.acknowledged_done and not spec.may_copy:
            self.violations.append(f"{task} started after its completion was acknowledged")
        if not spec.may_copy:
            self._note_repeated_ends(task)
        self._check_earlier_steps(task)

    def _check_earlier_steps(self, task: TaskId) -> None:
        steps = self._specs_by_id[task.job_id].steps
        for earlier in steps[task.step].after:
            for position in range(steps[earlier].count):
                if not self._has_ended(task._replace(step=earlier, position=position)):
                    self.violations.append(f"{task} started before step {earlier} was done")
                    return

    def _has_ended(self, task: TaskId) -> bool:
        return any(task in worker.ended_done for worker in self._workers_by_id.values())

    def _note_repeated_ends(self, task: TaskId) -> None:
        """Note the listed completions of a task that is started again."""
        for worker in self._workers_by_id.values():
            end = worker.find_done(task)
            if end is not None:
                self._repeated_ends.add(_end_key(worker, end))

    def check_quota(self, task: TaskId, config: CellConfig, now_s: float) -> None:
        """Check a start against the configuration in force when its command was sent."""
        name = self._specs_by_id[task.job_id].organisation
        policy = config.organisations_by_name.get(name)
        if policy is None or len(self._runs_of(name)) == 1:
            return
        used = self.used_by(name)
        if any(limit and amount > limit for amount, limit in zip(used, policy.quota, strict=True)):
            self.violations.append(f"{name} over its quota by {task} at {now_s:.2f}: {used}")

    def used_by(self, organisation: str) -> Amounts:
        """Return the amounts of all runs of an organisation, those being stopped included."""
        total = Amounts()
        for run in self._runs_of(organisation):
            total = total.plus(run.spec.amounts)
        return total

    def _runs_of(self, organisation: str) -> list[EmulatedRun]:
        return [
            run
            for worker in self._workers_by_id.values()
            for run in worker.runs.values()
            if self._specs_by_id[run.task.job_id].organisation == organisation
        ]

    def check_acknowledged(self, worker: EmulatedWorker, completion: RunCompletion) -> None:
        """Check a completion that the owner acknowledges."""
        if completion.kind is not CompletionKind.DONE:
            return
        self.acknowledged_done.add(completion.task)
        is_repeated = _end_key(worker, completion) in self._repeated_ends
        if is_repeated and completion.number > worker.lapsed_count:
            self.violations.append(f"{completion.task} was done when it started again")


def _end_key(worker: EmulatedWorker, completion: RunCompletion) -> tuple[str, int, int]:
    return worker.entry.worker_id, worker.entry.born_ms, completion.number
