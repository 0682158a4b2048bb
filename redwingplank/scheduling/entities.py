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


class Phase(IntEnum):
    """Where a task stands between acceptance and its end."""

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
    """Why the owner stops an attempt."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    OVERSHOOT = "overshoot"
    GANG_ROLLED_BACK = "gang rolled back"
    GANG_FAILED = "another task of the gang failed"
    COUNT_LOWERED = "count lowered"
    MOVED = "moved from a leaving VM"


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job with its current attempt, if any.

    Parameters
    ----------
    job : Job
        Its job.
    index : int
        Its place in the job.
    task_id : str
        ``"JOB/INDEX"``.
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
        """The task's id, quoted for a log line where needed."""
        job = self.job
        if job.log_id is job.spec.job_id:
            return self.task_id
        return format_value(self.task_id)

    @property
    def state(self) -> TaskState:
        """The state as callers see it once it is durable."""
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
        As accepted.
    service : Service
        The declaration that it was accepted under.
    number : int
        Order of acceptance, unique in the owner's life.
    accepted_at_s : float
        When it was accepted.
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
    held_rows: tuple[int, ...] = ()

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.spec.job_id

    @property
    def is_final(self) -> bool:
        """Whether its final state is decided, durable or not."""
        return self.state not in (JobState.ACCEPTED, JobState.RUNNING)


@dataclass(slots=True, eq=False)
class Worker:
    """A worker with the attempts that hold a reservation on it.

    Parameters
    ----------
    name : str
        The VM's name.
    row : int
        Its row in the table of VMs.
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
    cool_count: int = 0
    is_backing_off: bool = False
    quarantine_count: int = 0
    quarantined_until_s: float = 0.0
    is_quarantined: bool = False
    is_probing: bool = False

    @property
    def is_closing(self) -> bool:
        """Whether it takes nothing new because it goes away."""
        return self.is_leaving or self.reports_leaving or self.is_draining or not self.is_listed


def make_task_id(job_id: str, index: int) -> str:
    """Return the id of a job's task."""
    return f"{job_id}/{index}"


def split_task_id(task_id: str) -> tuple[str, int]:
    """Return the job id and index of a task id; the index is -1 where there is none."""
    job_id, _, index = task_id.rpartition("/")
    return (job_id, int(index)) if index.isdigit() else (task_id, -1)
