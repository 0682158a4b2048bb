"""Workers run tasks under leases, and report usage and ends with a lag."""

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
    """Why an attempt ended, or why it did not start."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_LAPSED = "lease_lapsed"
    REFUSED = "refused"


class TaskCommandKind(StrEnum):
    """What an owner asks of a running task."""

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
        From 1; a worker starts an attempt at most once.
    reserved : Resources
        What the task may use; the worker refuses what does not fit beside the rest.
    payload : bytes
        For the task's program.
    resume_from : str
        The checkpoint to resume from, empty for none.
    """

    task_id: str
    attempt: int
    reserved: Resources
    payload: bytes = b""
    resume_from: str = ""


@dataclass(frozen=True, slots=True)
class TaskCommand:
    """A command about a running attempt; `limit` is the new bound of a throttle."""

    task_id: str
    attempt: int
    kind: TaskCommandKind
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A running attempt in an inventory."""

    task_id: str
    attempt: int
    reserved: Resources
    started_ago_s: float


@dataclass(frozen=True, slots=True)
class TaskCompletion:
    """An attempt's end.

    Parameters
    ----------
    task_id, attempt : str, int
        The attempt.
    reason : TaskEndReason
        Why it ended; REFUSED means that it never started.
    sequence : int
        The worker's own increasing number; the owner acknowledges through it.
    result : bytes
        What a completed task returned.
    detail : str
        What went wrong, or the checkpoint's name.
    run_time_s : float
        Seconds from start to end.
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
    """What a running attempt used, `lag_s` seconds ago."""

    task_id: str
    attempt: int
    used: Resources
    lag_s: float


@dataclass(frozen=True, slots=True)
class WorkerInventory:
    """All that a worker knows; the answer to an adoption.

    Parameters
    ----------
    worker : str
        The VM's name.
    epoch : int
        The epoch that is now in force there.
    capacity : Resources
        What the VM has.
    running : tuple of RunningTask
        Attempts that run now.
    ended : tuple of TaskEnd
        Ends that no owner has acknowledged yet.
    incarnation : int
        Grows when the worker restarts; nothing survives a restart.
    is_leaving : bool
        The worker's own word that it takes no more starts.
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
    """All that an owner has for one worker in one tick.

    Parameters
    ----------
    epoch : int
        The owner's epoch; a lower one than the worker has seen is refused whole.
    lease_s : float
        Renews the lease of every task that runs there to this many seconds from receipt; a
        task whose lease lapses is stopped by the worker. 0 renews nothing.
    start_before_unix_s : float
        Starts are void once the worker's wall clock is past this; 0 for no bound. It is the end of
        the owner's lease, for workers that know no epochs.
    starts, actions : tuple
        Commands, done in the order actions, then starts.
    acknowledged_sequence : int
        Ends up to this one are recorded for good and may be forgotten by the worker.
    """

    epoch: Epoch
    lease_s: float
    starts: tuple[StartTask, ...] = ()
    actions: tuple[TaskCommand, ...] = ()
    acknowledged_sequence: int = 0
    start_before_unix_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer: ends not acknowledged so far and usage since the last report."""

    worker: str
    epoch: Epoch
    ended: tuple[TaskCompletion, ...] = ()
    usage: tuple[TaskUsage, ...] = ()
    running_count: int = 0
    incarnation: int = 1
    is_leaving: bool = False


class WorkerClient(ABC):
    """Client of all workers.

    Notes
    -----
    Both methods raise `UnavailableError`, `OutcomeUnknownError` or `StaleEpochError`.
    An exchange that is repeated is harmless: an attempt starts at most once.
    """

    @abstractmethod
    async def adopt(self, address: str, epoch: Epoch, lease_s: float) -> WorkerInventory:
        """Put `epoch` in force at the worker and return its inventory."""

    @abstractmethod
    async def exchange(self, address: str, request: WorkerRequest) -> WorkerReport:
        """Deliver commands and renewals, and return the worker's report."""
