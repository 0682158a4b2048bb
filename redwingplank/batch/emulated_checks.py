"""Checks of what emulated workers are told to do against what an owner promises."""

import enum
import math
from collections.abc import Mapping, Sequence

from redwingplank.batch.emulated_worker import EmulatedRun, EmulatedWorker, StartOrder
from redwingplank.batch.model import (
    Amounts,
    CellConfig,
    CompletionKind,
    JobSpec,
    RunCompletion,
    StepKey,
    StepSpec,
    TaskId,
)
from redwingplank.batch.owner import RecordToStore

__all__ = ["Disruption", "PromiseChecks", "UnaskedChecks"]

CONTACT_S = 3.0
"""Time after a disruption from which bounds hold again."""
CANCEL_S = 3.0
"""Time after an acknowledged cancellation from which nothing of the job may start."""
STOP_GRACE_S = 0.9
"""Time that the stop of a run may take."""


class Disruption(enum.Enum):
    """What is disrupted, other than a worker."""

    STORE = enum.auto()
    OWNER_REFUSED = enum.auto()
    OWNER_REPLACED = enum.auto()
    COMMANDS = enum.auto()


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

    def check_records(self, records: list[RecordToStore], value_bytes: int) -> None:
        """Check the sizes of records that are written, each of which the store has to take."""
        for record in records:
            if len(record.value) > value_bytes:
                self.violations.append(
                    f"the record of {record.job_id} has {len(record.value)} bytes"
                )

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
        job = self._specs_by_id.get(task.job_id)
        if job is not None and _has_task(job, task):
            self._check_earlier_steps(task, job.steps)

    def _check_earlier_steps(self, task: TaskId, steps: Sequence[StepSpec]) -> None:
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
        if task.job_id not in self._specs_by_id:
            return
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


class UnaskedChecks:
    """Rule UNASKED: nothing runs that was not asked for, or that was cancelled.

    Parameters
    ----------
    violations : list of str
        Gets the broken promises.

    Notes
    -----
    What a worker carries out late does not count as a start, but its run has to end like others.
    A run may go on while something is disrupted, and for `CONTACT_S` after it.
    """

    def __init__(self, violations: list[str]) -> None:
        self.violations = violations
        self._submitted_by_id: dict[str, JobSpec] = {}
        self._checkpoints: set[tuple[TaskId | StepKey, str]] = set()
        self.cancelled_s_by_id: dict[str, float] = {}
        """Time at which the cancellation of a job was first acknowledged."""
        self._disrupted_s: dict[Disruption | str, float] = {}
        """Time of the last disruption of each kind, and of the last one of a worker, by its id."""
        self._refused_s_by_epoch: dict[int, float] = {}
        """Time at which the store last refused an owner, by its epoch."""

    def note_submission(self, spec: JobSpec) -> None:
        """Note a job that a caller has submitted; it stays known when it is removed."""
        self._submitted_by_id.setdefault(spec.job_id, spec)

    def note_checkpoint(self, run: EmulatedRun) -> None:
        """Note the checkpoint that a run has written."""
        self._checkpoints.add((_checkpoint_owner(run.task, run.spec), run.saved))

    def note_cancellation(self, job_id: str, now_s: float) -> None:
        """Note an acknowledged cancellation."""
        self.cancelled_s_by_id.setdefault(job_id, now_s)

    def note_disruption(self, what: Disruption | str, now_s: float) -> None:
        """Note that something, or the worker with an id, is disrupted at present."""
        self._disrupted_s[what] = now_s

    def note_refused_owner(self, epoch: int, now_s: float) -> None:
        """Note that the store refuses an owner at present; the next owner is on another node."""
        self._refused_s_by_epoch[epoch] = now_s
        self.note_disruption(Disruption.OWNER_REFUSED, now_s)

    def check_start(self, order: StartOrder, now_s: float, *, is_late: bool) -> None:
        """Check a start that a worker has just carried out."""
        task = order.task
        job = self._submitted_by_id.get(task.job_id)
        if job is None or not _has_task(job, task):
            self.violations.append(f"{task} started, which nobody has submitted")
            return
        if (order.payload, order.spec) != (job.payload, job.steps[task.step]):
            self.violations.append(f"{task} started with another spec")
        owner = _checkpoint_owner(task, order.spec)
        if order.saved and (owner, order.saved) not in self._checkpoints:
            self.violations.append(f"{task} started from {order.saved}, which is not its own")
        cancelled_s = self.cancelled_s_by_id.get(task.job_id, math.inf)
        refused_s = self._refused_s_by_epoch.get(order.epoch, -math.inf)
        touch_s = max(self._calm_since_s(Disruption.STORE), refused_s) + CONTACT_S
        if not is_late and now_s > cancelled_s + CANCEL_S and now_s >= touch_s:
            age_s = now_s - cancelled_s
            self.violations.append(f"{task} started {age_s:.2f} s after its cancellation")

    def check_run(self, worker: EmulatedWorker, run: EmulatedRun, now_s: float) -> None:
        """Check whether a run may still go on, if its job was cancelled."""
        cancelled_s = self.cancelled_s_by_id.get(run.task.job_id)
        if cancelled_s is None or run.is_overdue:
            return
        calm_s = self._calm_since_s(*Disruption, worker.entry.worker_id) + CONTACT_S
        late_s = run.started_s + CONTACT_S if run.is_late else -math.inf
        if now_s > max(cancelled_s, calm_s, late_s) + CANCEL_S + STOP_GRACE_S:
            run.is_overdue = True
            age_s = now_s - cancelled_s
            self.violations.append(f"{run.task} runs {age_s:.2f} s after its cancellation")

    def _calm_since_s(self, *kinds: Disruption | str) -> float:
        return max(self._disrupted_s.get(kind, -math.inf) for kind in kinds)


def _has_task(job: JobSpec, task: TaskId) -> bool:
    return (
        0 <= task.occurrence < max(1, job.repeat_count)
        and 0 <= task.step < len(job.steps)
        and 0 <= task.position < job.steps[task.step].count
    )


def _checkpoint_owner(task: TaskId, spec: StepSpec) -> TaskId | StepKey:
    """Return whose checkpoint one of a task is: that of any member is valid for its gang."""
    return task.step_key if spec.is_gang else task
