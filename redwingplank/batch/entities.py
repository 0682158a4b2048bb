"""The mutable state of an owner: jobs with their steps and tasks."""

from collections.abc import Iterator
from typing import NamedTuple

from redwingplank.batch.bit_sets import iterate_bits
from redwingplank.batch.model import (
    Incarnation,
    JobSpec,
    JobState,
    StepKey,
    StepSpec,
    TaskId,
)
from redwingplank.batch.occurrence_ranges import OccurrenceRanges
from redwingplank.batch.runs import Run
from redwingplank.batch.tasks import Task, TaskTable

__all__ = [
    "HostedTasks",
    "InheritedStarts",
    "Job",
    "Step",
    "Task",
    "Ticket",
]

MAX_COPIES = 2
"""Largest number of concurrent runs of one task, if its step allows copies."""


class Ticket(NamedTuple):
    """Permission of the advice service to start tasks of a step on a worker."""

    text: str
    valid_until_s: float


HostedTasks = dict[tuple[StepKey, Incarnation], int]
"""Bit set of the tasks of a step that an incarnation of a worker runs."""


class Step:
    """One step of one occurrence of a job."""

    __slots__ = (
        "advice_sent_s",
        "begun_by_broken_host",
        "hosts",
        "is_advice_open",
        "is_open",
        "job",
        "key",
        "opened_s",
        "quota_release",
        "refused_workers",
        "restarted_hosts",
        "spec",
        "tasks",
        "tickets_by_worker",
        "unanswered",
        "undone_count",
    )

    def __init__(self, job: "Job", key: StepKey, spec: StepSpec) -> None:
        self.job = job
        self.key = key
        self.spec = spec
        self.tasks = TaskTable(key, spec.count)
        self.undone_count = spec.count
        self.is_open = False
        self.opened_s = 0.0
        self.hosts: dict[Incarnation, int] = {}
        """Bit set, by incarnation of a worker, of the tasks that it may have been told to run."""
        self.restarted_hosts: set[Incarnation] = set()
        """Hosts whose processes may have a lease that they took by themselves, so that it may last
        for longer than those which owners grant."""
        self.unanswered: dict[Incarnation, int] = {}
        """Bit set, by host, of the tasks whose starts there have not been answered."""
        self.begun_by_broken_host: dict[Incarnation, int] = {}
        """Bit set, by incarnation that broke off a poll, of the tasks that had just begun there."""
        self.tickets_by_worker: dict[str, Ticket] = {}
        self.refused_workers: set[str] = set()
        """Workers for which the advice service issued no ticket."""
        self.is_advice_open = False
        self.advice_sent_s = 0.0
        self.quota_release = -1
        """Number of releases of its organisation when the step last had to wait for the quota.

        It is -1 while the step does not wait.
        """

    def find_startable_tasks(self, now_s: float, awaited: int = 0) -> Iterator[Task]:
        """Return the tasks that could start now, one by one as the pass plans them.

        If the step allows copies, tasks that run only on unreachable workers are included.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        awaited : int
            Bit set of the tasks that a worker may run for an earlier owner. They are left out,
            unless the step allows copies and the task is not suspected of having crashed it.
        """
        for task in list(self.tasks.used()):
            if self._may_start_now(task, now_s, awaited):
                yield task
        yield from self.tasks.iterate_unused(0 if self.spec.may_copy else awaited)

    def has_startable_task(self, now_s: float) -> bool:
        """Return whether any task could start now."""
        if any(self._may_start_now(task, now_s, 0) for task in self.tasks.used()):
            return True
        return self.tasks.count_unused() > 0

    def count_startable_tasks(self, now_s: float, awaited: int = 0) -> int:
        """Return the number of all tasks that could start now."""
        used = self.tasks.used()
        startable = sum(self._may_start_now(task, now_s, awaited) for task in used)
        left_out = 0 if self.spec.may_copy else awaited
        return startable + self.tasks.count_unused(left_out)

    @property
    def is_under_way(self) -> bool:
        """Whether each task is done or has a run."""
        if self.tasks.count_unused():
            return False
        return all(task.is_done or task.runs for task in self.tasks.used())

    def _may_start_now(self, task: Task, now_s: float, awaited: int) -> bool:
        if task.is_done or task.not_before_s > now_s or not self._may_start(task):
            return False
        is_awaited = awaited >> task.id.position & 1
        return not is_awaited or (self.spec.may_copy and not task.is_suspect)

    def _may_start(self, task: Task) -> bool:
        if not task.runs:
            return True
        if not self.spec.may_copy or task.is_suspect or len(task.runs) >= MAX_COPIES:
            return False
        return all(run.worker.is_unreachable for run in task.runs)

    def add_host(self, host: Incarnation, task_id: TaskId) -> bool:
        """Record that a host may run a task; return whether this was not recorded before."""
        bits = self.hosts.get(host, 0)
        self.hosts[host] = bits | 1 << task_id.position
        return self.hosts[host] != bits

    def remove_host(self, host: Incarnation, task_id: TaskId) -> bool:
        """Record that a host no longer runs a task; return whether this was not recorded."""
        bits = self.hosts.get(host, 0)
        left = bits & ~(1 << task_id.position)
        if left:
            self.hosts[host] = left
        else:
            self.hosts.pop(host, None)
            self.restarted_hosts.discard(host)
        self._keep_details(host, left)
        return left != bits

    def _keep_details(self, host: Incarnation, bits: int) -> None:
        """Forget what is known of a host beyond the tasks that it may still run."""
        for bits_by_host in (self.begun_by_broken_host, self.unanswered):
            left = bits_by_host.pop(host, 0) & bits
            if left:
                bits_by_host[host] = left

    def add_unanswered(self, host: Incarnation, task_id: TaskId) -> bool:
        """Record a start on a host before it is sent; return whether it was not recorded."""
        bits = self.unanswered.get(host, 0)
        self.unanswered[host] = bits | 1 << task_id.position
        return self.unanswered[host] != bits

    def note_answered(self, host: Incarnation, task_id: TaskId) -> bool:
        """Record that a process has begun with a task; return whether this was not recorded."""
        bits = self.unanswered.pop(host, 0)
        left = bits & ~(1 << task_id.position)
        if left:
            self.unanswered[host] = left
        return left != bits

    def add_begun(self, host: Incarnation, task_id: TaskId) -> bool:
        """Record that a task had just begun on a host that broke off a poll.

        Returns
        -------
        bool
            Whether this was not recorded before.
        """
        bits = self.begun_by_broken_host.get(host, 0)
        self.begun_by_broken_host[host] = bits | 1 << task_id.position
        return self.begun_by_broken_host[host] != bits

    def had_begun(self, host: Incarnation, task_id: TaskId) -> bool:
        """Return whether a task had just begun on a host when it broke off a poll."""
        return bool(self.begun_by_broken_host.get(host, 0) >> task_id.position & 1)

    def keep_hosted(self, worker_ids: set[str], present: HostedTasks) -> bool:
        """Forget what some workers may run, but for present runs; return whether that was any.

        Parameters
        ----------
        worker_ids : set of str
            Ids of the workers.
        present : dict
            Tasks that run in their incarnations.
        """
        is_changed = False
        for host in [each for each in self.hosts if each.worker_id in worker_ids]:
            bits = self.hosts.pop(host)
            left = bits & present.get((self.key, host), 0)
            if left:
                self.hosts[host] = left
            else:
                self.restarted_hosts.discard(host)
            self._keep_details(host, left)
            is_changed |= left != bits
        return is_changed

    @property
    def is_settled(self) -> bool:
        """Whether all tasks are done, and no worker may run one of them."""
        if self.undone_count or self.hosts:
            return False
        return not any(task.runs for task in self.tasks.used())

    @property
    def waits_for_quota(self) -> bool:
        """Whether the step had to wait for the quota of its organisation in the last pass."""
        return self.quota_release >= 0

    @property
    def waiting_count(self) -> int:
        """Number of tasks that are neither done nor may be running."""
        hosted_count = sum(bits.bit_count() for bits in self.hosts.values())
        return max(0, self.undone_count - hosted_count)

    def hosted_tasks(self, host: Incarnation) -> list[Task]:
        """Return the tasks that are not done and that a host may have been told to run."""
        bits = self.hosts.get(host, 0)
        undone = bits & ~self.tasks.done_bits()
        return [self.tasks[position] for position in iterate_bits(undone)]

    @property
    def has_progress(self) -> bool:
        """Whether a new owner needs to know anything of the step beyond its specification."""
        return bool(self.hosts or self.tasks.done_bits()) or any(
            task.failures or task.crashes or task.saved for task in self.tasks.used()
        )


class InheritedStarts(NamedTuple):
    """Starts of tasks of a step that an earlier owner sent to a host, and that had no answer."""

    step: Step
    host: Incarnation


class Job:
    """A job and its progress."""

    __slots__ = (
        "completed_occurrences",
        "core_s",
        "due_count",
        "ended_s",
        "final_version",
        "has_begun",
        "has_planned_start",
        "is_beyond_rate",
        "is_held",
        "is_record_cut",
        "is_started",
        "latest_end_s",
        "objective_s",
        "spec",
        "state",
        "steps_by_key",
        "stored_version",
        "submitted_s",
        "version",
    )

    def __init__(self, spec: JobSpec, submitted_s: float) -> None:
        self.spec = spec
        self.submitted_s = submitted_s
        self.state = JobState.QUEUED
        self.is_started = False
        """Whether a start of a task was planned."""
        self.has_begun = False
        """Whether a worker is known to have begun with a task."""
        self.has_planned_start = False
        """Whether the present owner has planned a start of a task."""
        self.due_count = 0
        """Number of occurrences whose steps were added."""
        self.completed_occurrences = OccurrenceRanges()
        """Occurrences whose steps are done and were removed again."""
        self.steps_by_key: dict[StepKey, Step] = {}
        self.version = 0
        self.stored_version = 0
        self.ended_s = 0.0
        self.final_version = 0
        """Version that has to be stored before the final state is reported."""
        self.is_beyond_rate = False
        """Whether the job was submitted beyond the rate of its organisation."""
        self.is_held = False
        """Whether the store did not take the last record, so that nothing of the job may start."""
        self.is_record_cut = False
        """Whether the last record left checkpoints out."""
        self.objective_s = 0.0
        """Time by which the job is to complete."""
        self.latest_end_s = 0.0
        """Time after which the completion of the job no longer counts."""
        self.core_s = 0.0
        """Estimated work of the tasks of one occurrence in core-seconds."""

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.spec.repeat_count)

    def remove_completed_occurrences(self) -> None:
        """Forget the steps of occurrences that are done; call it when that is stored.

        Occurrences of which a worker may still run a task stay.
        """
        if self.occurrence_count == 1:
            return
        steps_by_occurrence: dict[int, list[Step]] = {}
        for step in self.steps_by_key.values():
            steps_by_occurrence.setdefault(step.key.occurrence, []).append(step)
        for occurrence, steps in steps_by_occurrence.items():
            if all(step.is_settled for step in steps):
                self.completed_occurrences.add(occurrence)
                for step in steps:
                    del self.steps_by_key[step.key]

    def count_open_occurrences(self) -> int:
        """Return the number of occurrences with tasks that are not done."""
        return len({key.occurrence for key, step in self.steps_by_key.items() if step.undone_count})

    def increment_version(self) -> int:
        """Increment the version of the job and return it; the change has to be stored under it."""
        self.version += 1
        return self.version

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return a task, None if the job has no such task."""
        step = self.steps_by_key.get(task_id.step_key)
        if step is None or not 0 <= task_id.position < len(step.tasks):
            return None
        return step.tasks[task_id.position]

    @property
    def keeps_hosts(self) -> bool:
        """Whether the hosts of the job have to be stored while its runs may exist.

        They are stored for all jobs that are not final, and for all jobs of an organisation, whose
        quota they count against.
        """
        return bool(self.spec.organisation) or not self.state.is_final

    @property
    def hosts(self) -> list[Incarnation]:
        """Incarnations of workers that may run tasks of the job, as they are stored."""
        return [host for step in self.steps_by_key.values() for host in step.hosts]

    def runs(self) -> list[Run]:
        """Return all runs of the job that may exist."""
        return [
            run
            for step in self.steps_by_key.values()
            for task in step.tasks.used()
            for run in task.runs
        ]
