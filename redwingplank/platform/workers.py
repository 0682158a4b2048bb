"""Interface to the workers, which run tasks under leases.

Workers report the usage and the completion of tasks with a lag.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from redwingplank.core import Resources

__all__ = [
    "Epoch",
    "RunningTask",
    "StartTask",
    "TaskCommand",
    "TaskCommandKind",
    "TaskCompletion",
    "TaskCompletionReason",
    "TaskUsage",
    "WorkerClient",
    "WorkerInventory",
    "WorkerReport",
    "WorkerRequest",
]

Epoch = int


class TaskCompletionReason(StrEnum):
    """Why an attempt completed, or that it did not start."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_LAPSED = "lease_lapsed"
    REFUSED = "refused"


class TaskCommandKind(StrEnum):
    """The kinds of command for a running task."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


@dataclass(frozen=True, slots=True)
class StartTask:
    """A command to start one attempt of a task.

    Parameters
    ----------
    task_id : str
        ``"JOB/INDEX"``.
    attempt : int
        Number of the attempt, from 1; a worker starts an attempt at most once.
    reserved : Resources
        Resources that the task may use. The worker rejects a start that does not fit beside
        the tasks that it already runs.
    payload : bytes
        Input of the task's program.
    resume_from : str
        Name of the checkpoint to resume from, empty for none.
    """

    task_id: str
    attempt: int
    reserved: Resources
    payload: bytes = b""
    resume_from: str = ""


@dataclass(frozen=True, slots=True)
class TaskCommand:
    """A command for a running attempt; `limit` is the new resource limit of a throttle."""

    task_id: str
    attempt: int
    kind: TaskCommandKind
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A running attempt, as listed in an inventory; it started `started_ago_s` seconds ago."""

    task_id: str
    attempt: int
    reserved: Resources
    started_ago_s: float


@dataclass(frozen=True, slots=True)
class TaskCompletion:
    """The completion of an attempt.

    Parameters
    ----------
    task_id, attempt : str, int
        The attempt.
    reason : TaskCompletionReason
        Why it completed; REFUSED means that it never started.
    sequence : int
        Increasing number that the worker assigns; the owner acknowledges completions up to it.
    result : bytes
        Result of a completed task.
    detail : str
        The cause of a failure, or the name of the checkpoint.
    run_time_s : float
        Seconds from start to completion.
    """

    task_id: str
    attempt: int
    reason: TaskCompletionReason
    sequence: int
    result: bytes = b""
    detail: str = ""
    run_time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """The resources that a running attempt used `lag_s` seconds ago."""

    task_id: str
    attempt: int
    used: Resources
    lag_s: float


@dataclass(frozen=True, slots=True)
class WorkerInventory:
    """The complete state of a worker, returned when an owner adopts it.

    Parameters
    ----------
    worker : str
        Name of the worker's VM.
    epoch : int
        Epoch that is now in force at the worker.
    capacity : Resources
        Resources of the VM.
    running : tuple of RunningTask
        Attempts that run now.
    ended : tuple of TaskCompletion
        Completions that no owner has acknowledged yet.
    incarnation : int
        Grows with each restart of the worker; no task or completion survives a restart.
    is_leaving : bool
        Whether the worker reports that it accepts no more starts.
    """

    worker: str
    epoch: Epoch
    capacity: Resources
    running: tuple[RunningTask, ...] = ()
    ended: tuple[TaskCompletion, ...] = ()
    incarnation: int = 1
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """Everything that an owner sends to one worker in one tick.

    Parameters
    ----------
    epoch : int
        Epoch of the owner. The worker rejects the whole request if it knows a higher epoch.
    lease_s : float
        Renews the lease of every task that runs at the worker to this many seconds from
        receipt; 0 renews nothing. The worker stops a task whose lease expires.
    start_before_unix_s : float
        Unix time in seconds after which the worker, by its own wall clock, ignores the starts;
        0 for no limit. It is the time at which the owner's lease expires, for workers that do
        not support epochs.
    starts, actions : tuple
        Commands; the worker executes the actions before the starts.
    acknowledged_sequence : int
        Completions up to this sequence number are durably recorded, so the worker may discard
        them.
    """

    epoch: Epoch
    lease_s: float
    starts: tuple[StartTask, ...] = ()
    actions: tuple[TaskCommand, ...] = ()
    acknowledged_sequence: int = 0
    start_before_unix_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer: unacknowledged completions, and usage since the last report."""

    worker: str
    epoch: Epoch
    ended: tuple[TaskCompletion, ...] = ()
    usage: tuple[TaskUsage, ...] = ()
    running_count: int = 0
    incarnation: int = 1
    is_leaving: bool = False


class WorkerClient(ABC):
    """Client for calls to the workers.

    Notes
    -----
    Both methods raise `UnavailableError`, `OutcomeUnknownError` or `StaleEpochError`.
    An exchange may be repeated without harm, since an attempt starts at most once.
    """

    @abstractmethod
    async def adopt(self, address: str, epoch: Epoch, lease_s: float) -> WorkerInventory:
        """Put `epoch` in force at the worker and return its inventory."""

    @abstractmethod
    async def exchange(self, address: str, request: WorkerRequest) -> WorkerReport:
        """Deliver commands and lease renewals, and return the worker's report."""
