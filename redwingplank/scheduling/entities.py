"""Entities of a shard: jobs, their tasks and the workers that run them."""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING

from redwingplank.config import Service
from redwingplank.core import NO_RESOURCES, Resources, format_value
from redwingplank.platform import TaskCommand
from redwingplank.scheduling.messages import JobSpec, JobState, TaskState
from redwingplank.scheduling.vm_table import Amounts

if TYPE_CHECKING:
    from redwingplank.scheduling.queue import Lane

__all__ = [
    "Job",
    "Phase",
    "StopReason",
    "Task",
    "Worker",
    "make_task_id",
    "split_task_id",
]


MAX_HISTORY = 8
"""Log lines of attempts that are kept for each job."""


class Phase(IntEnum):
    """Phase of a task between the acceptance of its job and its final state.

    A task is ``HELD`` while it is neither queued nor placed, such as before its job is durable or
    while its gang is rolled back; ``QUEUED`` while it waits for placement; and in ``BACKOFF`` while
    a delay before it is queued again runs. A placed task is ``INTENDED`` until the journal record
    of the intended start is durable, ``TO_SEND`` until its start is part of a request, ``SENT``
    while that request is in flight, ``UNCONFIRMED`` while it is unknown whether the start took
    effect, and then ``RUNNING``. ``DONE`` is final.
    """

    HELD = 0
    QUEUED = 1
    BACKOFF = 2
    INTENDED = 3
    TO_SEND = 4
    SENT = 5
    UNCONFIRMED = 6
    RUNNING = 7
    DONE = 8


STATE_BY_PHASE = {
    Phase.HELD: TaskState.WAITING,
    Phase.QUEUED: TaskState.WAITING,
    Phase.BACKOFF: TaskState.WAITING,
    Phase.INTENDED: TaskState.STARTING,
    Phase.TO_SEND: TaskState.STARTING,
    Phase.SENT: TaskState.STARTING,
    Phase.UNCONFIRMED: TaskState.STARTING,
    Phase.RUNNING: TaskState.RUNNING,
}


class StopReason(StrEnum):
    """Reason for which the owner of the shard stops an attempt."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    OVERSHOOT = "overshoot"
    GANG_ROLLED_BACK = "gang rolled back"
    GANG_FAILED = "another task of the gang failed"
    COUNT_LOWERED = "count lowered"
    MOVED = "moved from a leaving VM"


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job, with its current attempt if it has one.

    Parameters
    ----------
    job : Job
        Job that the task belongs to.
    index : int
        Index of the task in the job, from 0.
    task_id : str
        Identifier of the form ``"JOB/INDEX"``.

    Attributes
    ----------
    losses : int
        Attempts that were lost, such as to an expired lease or a restart of the worker.
    crashes : int
        Restarts of workers that had just started the task.
    resends : int
        How often the start of the current attempt was sent again.
    is_restart_possible : bool
        Whether the worker restarted while the start was unconfirmed, so that the attempt may have
        run before the restart.
    is_recovering : bool
        Whether the task was recovered and waits for a stop confirmation.
    replaces, replacement : Task or None
        Service task on a closing VM that this task replaces, and the task that replaces this one.
    """

    job: "Job"
    index: int
    task_id: str
    phase: Phase = Phase.HELD
    final_state: TaskState | None = None
    final_sequence: int = 0
    attempt: int = 0
    worker: "Worker | None" = None
    amounts: Amounts | None = None
    reserved: Resources = NO_RESOURCES
    stop_reason: StopReason | None = None
    stop_sent_at_s: float = 0.0
    queued_at_s: float = 0.0
    placed_at_s: float = 0.0
    waited_s: float = 0.0
    not_before_s: float = 0.0
    failure_workers: tuple[str, ...] = ()
    losses: int = 0
    crashes: int = 0
    preemptions: int = 0
    checkpoint: str = ""
    reason: str = ""
    result: bytes = b""
    peak_millicores: int = 0
    peak_memory_mib: int = 0
    overshoot_step: int = 0
    overshoot_at_s: float = 0.0
    restarts: int = 0
    resends: int = 0
    is_restart_possible: bool = False
    is_recovering: bool = False
    is_preemptible: bool = False
    replaces: "Task | None" = None
    replacement: "Task | None" = None

    @property
    def log_id(self) -> str:
        """Task id for a log line, quoted if necessary."""
        job = self.job
        if job.log_id is job.spec.job_id:
            return self.task_id
        return format_value(self.task_id)

    @property
    def state(self) -> TaskState:
        """State that callers see once it is durable."""
        if self.final_state is not None:
            return self.final_state
        if self.stop_reason is not None:
            return TaskState.STOPPING
        return STATE_BY_PHASE[self.phase]


@dataclass(slots=True, eq=False)
class Job:
    """A job with its tasks.

    Parameters
    ----------
    spec : JobSpec
        Specification that was accepted.
    service : Service
        Declared service; refreshed from newer declarations while the job waits.
    number : int
        Number in order of acceptance, unique within one owner of the shard.
    accepted_at_s : float
        Time of acceptance, in seconds.
    """

    spec: JobSpec
    service: Service
    number: int
    accepted_at_s: float
    tasks: list[Task] = field(default_factory=list)
    tasks_by_index: dict[int, Task] = field(default_factory=dict)
    queued: deque[Task] = field(default_factory=deque)
    state: JobState = JobState.ACCEPTED
    detail: str = ""
    accept_sequence: int = 0
    cancel_sequence: int = 0
    final_sequence: int = 0
    version: int = 1
    open_count: int = 0
    failed_count: int = 0
    unknown_count: int = 0
    deadline_s: float = 0.0
    queue_class: int = 0
    lane: "Lane | None" = None
    declared: Amounts | None = None
    revision: int = 0
    is_undeclared: bool = False
    log_id: str = ""
    is_durable: bool = False
    is_volatile: bool = False
    is_cancelled: bool = False
    succeeded_count: int = 0
    failure_workers: set[str] = field(default_factory=set)
    used_by_rack: dict[int, int] = field(default_factory=dict)
    history: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))
    not_before_s: float = 0.0
    is_gang_failed: bool = False
    is_rolling_back: bool = False
    reserved_rows: tuple[int, ...] = ()

    @property
    def job_id(self) -> str:
        """Job id from the specification."""
        return self.spec.job_id

    @property
    def is_final(self) -> bool:
        """Whether the job has reached a final state, which need not be durable yet."""
        return self.state not in (JobState.ACCEPTED, JobState.RUNNING)


@dataclass(slots=True, eq=False)
class Worker:
    """A worker with the tasks that have a reservation on it.

    Parameters
    ----------
    name : str
        Name of the VM.
    row : int
        Row of the VM in the `VmTable`.

    Attributes
    ----------
    confirmed_count : int
        Attempts that are confirmed to run on the worker.
    in_flight : list of (Task, int)
        Starts, as task and attempt number, in the request that is in flight.
    unconfirmed_starts : list of (Task, int)
        Starts of earlier requests that are not known to have taken effect.
    unexpected_attempts_by_id : dict of str to Amounts
        Reservations of attempts that an inventory shows but that do not belong there; they are
        stopped and released once they end.
    processed_end, acknowledged_end : int
        Sequence numbers of the last completion that was handled, and of the last one that is
        durable and may be acknowledged.
    """

    name: str
    row: int
    rack: str = ""
    rack_number: int = 0
    log_name: str = ""
    incarnation: int = 0
    is_adopted: bool = False
    is_reachable: bool = False
    is_listed: bool = True
    is_leaving: bool = False
    is_draining: bool = False
    unlisted_since_s: float = 0.0
    tasks_by_id: dict[str, Task] = field(default_factory=dict)
    confirmed_count: int = 0
    unconfirmed_starts: list[tuple[Task, int]] = field(default_factory=list)
    to_send: list[Task] = field(default_factory=list)
    in_flight: list[tuple[Task, int]] = field(default_factory=list)
    unexpected_attempts_by_id: dict[str, Amounts] = field(default_factory=dict)
    is_inventory_wanted: bool = False
    reports_leaving: bool = False
    actions: list[TaskCommand] = field(default_factory=list)
    actions_in_flight: tuple[TaskCommand, ...] = ()
    is_in_flight: bool = False
    is_timeout_set: bool = False
    is_renewal_spread: bool = False
    timer_due_s: float = float("inf")
    was_renewed_in_flight: bool = False
    sent_at_s: float = 0.0
    renewed_at_s: float = 0.0
    due_at_s: float = 0.0
    processed_end: int = 0
    acknowledged_end: int = 0
    suspicion_by_job: dict[str, float] = field(default_factory=dict)
    failed_tasks: list[Task] = field(default_factory=list)
    failure_streak: int = 0
    backoff_count: int = 0
    is_backing_off: bool = False
    quarantine_count: int = 0
    quarantined_until_s: float = 0.0
    is_quarantined: bool = False
    is_probing: bool = False

    @property
    def is_closing(self) -> bool:
        """Whether the worker receives no new tasks because its VM leaves, drains or is unlisted."""
        return self.is_leaving or self.reports_leaving or self.is_draining or not self.is_listed


def make_task_id(job_id: str, index: int) -> str:
    """Return the id of a job's task."""
    return f"{job_id}/{index}"


def split_task_id(task_id: str) -> tuple[str, int]:
    """Return the job id and the index of a task id, or the whole id and -1 without an index."""
    job_id, _, index = task_id.rpartition("/")
    return (job_id, int(index)) if index.isdigit() else (task_id, -1)
