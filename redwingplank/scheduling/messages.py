"""Input and output messages of a shard's scheduling core.

The core is driven by ``Scheduler.tick(now_s, inbox) -> Outbox``. All its input arrives as messages
in the inbox, and all effects that it requests are in the outbox. The surrounding runtime does the
input and output.
"""

from dataclasses import dataclass
from enum import StrEnum

from redwingplank.config import Declarations
from redwingplank.core import Resources
from redwingplank.platform import (
    ListedVm,
    WorkerInventory,
    WorkerReport,
    WorkerRequest,
)

__all__ = [
    "CancelAnswer",
    "CancelJob",
    "DeclarationsChanged",
    "DrainVm",
    "GrantChanged",
    "GrantWanted",
    "InboxMessage",
    "JobAccepted",
    "JobCancelled",
    "JobFinished",
    "JobSpec",
    "JobState",
    "JobStatus",
    "JournalCommitted",
    "JournalEntry",
    "JournalRecord",
    "Outbox",
    "OutboxMessage",
    "OwnershipChanged",
    "OwnershipMode",
    "RecoveredJob",
    "RecoveredState",
    "RecoveredTask",
    "StartIntended",
    "SubmitAnswer",
    "SubmitJob",
    "SubmitOutcome",
    "TaskFinished",
    "TaskState",
    "TaskStatus",
    "VmsListed",
    "WorkerAdopted",
    "WorkerReported",
    "WorkerUnreachable",
]


class JobState(StrEnum):
    """State of a job."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class TaskState(StrEnum):
    """State of a task; UNKNOWN is the final state of a non-idempotent task that may have run."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job, as its caller submits it.

    Parameters
    ----------
    job_id : str
        Id that is unique in the cell; chosen by the entry or from the caller's
        ``Idempotency-Key``.
    organisation, service : str
        The declared service that the job belongs to, and the service's organisation.
    task_count : int
        Number of tasks, at least 1. A gang starts all of its tasks or none.
    resources : Resources or None
        Resources that each task needs, None for those that the service declares.
    run_time_s : float or None
        Expected run time of a task, None for the one that the service declares.
    payload : bytes
        Input of every task; a task knows its index from its task id.
    """

    job_id: str
    organisation: str
    service: str
    task_count: int = 1
    resources: Resources | None = None
    run_time_s: float | None = None
    payload: bytes = b""


# Journal entries


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was accepted; this one record covers all its tasks."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation was accepted."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StartIntended:
    """Attempts of non-idempotent tasks are about to start; one record covers a batch.

    Parameters
    ----------
    attempts : tuple of (str, int, str)
        Task id, attempt number and worker of each attempt.
    """

    attempts: tuple[tuple[str, int, str], ...]


@dataclass(frozen=True, slots=True)
class TaskFinished:
    """A task reached a final state."""

    task_id: str
    state: TaskState
    result: bytes = b""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class JobFinished:
    """A job reached a final state; its task records may be dropped from the next snapshot."""

    job_id: str
    state: JobState
    detail: str = ""


JournalEntry = JobAccepted | JobCancelled | StartIntended | TaskFinished | JobFinished


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """A journal entry with its sequence number, which counts from 1 without gaps in a shard."""

    sequence: int
    entry: JournalEntry


# Inbox messages


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """A caller submits a job; the answer is a `SubmitAnswer` with the same `call_id`."""

    call_id: int
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class CancelJob:
    """A caller cancels a job; a `CancelAnswer` follows once the cancellation is durable."""

    call_id: int
    job_id: str


@dataclass(frozen=True, slots=True)
class JournalCommitted:
    """All journal records up to and including `sequence` are durable."""

    sequence: int


@dataclass(frozen=True, slots=True)
class WorkerAdopted:
    """A worker was adopted under this owner's epoch; from now on tasks may be placed on it."""

    vm: ListedVm
    inventory: WorkerInventory


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker answered an exchange with its report."""

    report: WorkerReport


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """An exchange with a worker failed.

    Parameters
    ----------
    worker : str
        Name of the worker's VM.
    is_effect_possible : bool
        Whether the worker may have received the request.
    """

    worker: str
    is_effect_possible: bool


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs was read; `workers` are those of this shard."""

    workers: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class DrainVm:
    """An operator starts to drain a VM, or ends the draining."""

    worker: str
    is_draining: bool = True


@dataclass(frozen=True, slots=True)
class DeclarationsChanged:
    """A newer revision of the declarations is in force."""

    declarations: Declarations


@dataclass(frozen=True, slots=True)
class GrantChanged:
    """An organisation's grant in this shard changed; None removes the limit."""

    organisation: str
    grant: Resources | None


class OwnershipMode(StrEnum):
    """What the lease allows the owner to do."""

    OWNING = "owning"
    DEGRADED = "degraded"
    STOPPING = "stopping"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """The shard's lease was renewed, is unconfirmed, is being handed over or is lost.

    Parameters
    ----------
    mode : OwnershipMode
        With OWNING the owner does everything. With DEGRADED and STOPPING it renews running
        tasks and starts none, except that DEGRADED still starts volatile jobs. With LOST it
        sends nothing.
    epoch : int
        The owner's epoch.
    valid_until_s : float
        Time until which no other owner can exist; starts after it are void.
    """

    mode: OwnershipMode
    epoch: int
    valid_until_s: float


InboxMessage = (
    SubmitJob
    | CancelJob
    | JournalCommitted
    | WorkerAdopted
    | WorkerReported
    | WorkerUnreachable
    | VmsListed
    | DrainVm
    | DeclarationsChanged
    | GrantChanged
    | OwnershipChanged
)


# Outbox messages


class SubmitOutcome(StrEnum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    REJECTED = "rejected"
    NOT_NOW = "not_now"


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Answer to a submission.

    An acceptance is sent only once it is durable. Outcomes other than ACCEPTED and DUPLICATE mean
    that the job does not run.

    Parameters
    ----------
    call_id : int
        Call id of the submission.
    job_id : str
        The job.
    outcome : SubmitOutcome
        DUPLICATE means that a job with this id already exists, and that its state counts.
    detail : str
        Why the job was rejected, with the resource dimension that cannot be met.
    retry_after_s : float
        With NOT_NOW, the time after which the caller may submit again.
    """

    call_id: int
    job_id: str
    outcome: SubmitOutcome
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """The cancellation is durable, or the job is unknown to this shard."""

    call_id: int
    job_id: str
    is_known: bool


@dataclass(frozen=True, slots=True)
class GrantWanted:
    """An organisation needs a larger grant of its quota in this shard."""

    organisation: str
    wanted: Resources


OutboxMessage = SubmitAnswer | CancelAnswer | GrantWanted


@dataclass(frozen=True, slots=True)
class Outbox:
    """Everything that one tick requests from the runtime.

    Parameters
    ----------
    records : tuple of JournalRecord
        Journal records to make durable, in order.
    requests_by_worker : dict of str to WorkerRequest
        One exchange for each worker that has commands or is due for a renewal.
    messages : tuple of OutboxMessage
        Answers to callers and requests for grants.
    decisions : tuple of str
        Lines of the decision log, formatted as ``key=value`` pairs.
    inventories_wanted : tuple of str
        Workers to adopt again under the same epoch, because the number of attempts that they run
        differs from the owner's records. A `WorkerAdopted` answers each of them.
    """

    records: tuple[JournalRecord, ...]
    requests_by_worker: dict[str, WorkerRequest]
    messages: tuple[OutboxMessage, ...]
    decisions: tuple[str, ...]
    inventories_wanted: tuple[str, ...] = ()


# Status shown to callers


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """Status of a task for callers; `reason` says why the task waits or how it ended."""

    task_id: str
    state: TaskState
    attempt: int
    worker: str
    reason: str
    result: bytes = b""
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Status of a job and its tasks for callers."""

    job_id: str
    organisation: str
    service: str
    state: JobState
    reason: str
    tasks: tuple[TaskStatus, ...]


# State that a new owner recovers


@dataclass(frozen=True, slots=True)
class RecoveredTask:
    """A task without a final record in the journal.

    Parameters
    ----------
    task_id : str
        Id of the task.
    intended : tuple of (int, str)
        Attempt numbers and workers of the attempts that were about to start according to the
        journal. Empty for idempotent tasks.
    """

    task_id: str
    intended: tuple[tuple[int, str], ...] = ()


@dataclass(frozen=True, slots=True)
class RecoveredJob:
    """A job as it stands in the journal.

    Parameters
    ----------
    spec : JobSpec
        Specification as it was accepted.
    state : JobState
        Final state, or ACCEPTED for a job with unfinished work.
    is_cancelled : bool
        Whether the job's cancellation is durable.
    open_tasks : tuple of RecoveredTask
        Tasks without a final record.
    finished : tuple of TaskFinished
        Final records of the other tasks.
    detail : str
        Reason for the final state.
    """

    spec: JobSpec
    state: JobState
    is_cancelled: bool
    open_tasks: tuple[RecoveredTask, ...]
    finished: tuple[TaskFinished, ...]
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """State from which a new owner starts, before it has adopted any worker.

    Parameters
    ----------
    epoch : int
        The new owner's epoch.
    last_sequence : int
        Highest sequence number in the journal.
    jobs : tuple of RecoveredJob
        All jobs in the journal.
    fence_at_s : float
        Time by which all tasks of earlier epochs have stopped on workers that were never adopted:
        the last possible renewal plus the task lease plus the clock margin.
    """

    epoch: int
    last_sequence: int
    jobs: tuple[RecoveredJob, ...]
    fence_at_s: float
