"""Messages into and out of the decision core of a shard.

The core is driven by ``Scheduler.tick(now_s, inbox) -> Outbox``. Everything that it learns is
a message of the inbox and everything that it wants done stands in the outbox; the runtime around
it does the input and output.
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
    """State of a task; UNKNOWN is final, for a non-idempotent one that may have run."""

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
    """What a caller asks for.

    Parameters
    ----------
    job_id : str
        Unique in the cell; chosen by the entry or by the caller's ``Idempotency-Key``.
    organisation, service : str
        The declared service that it is work of.
    task_count : int
        Tasks, from 1; a gang starts all of them or none.
    resources : Resources or None
        Need of each task, None for the service's own.
    run_time_s : float or None
        Declared run time of a task, None for the service's own.
    payload : bytes
        Handed to every task, which knows its index from its id.
    """

    job_id: str
    organisation: str
    service: str
    task_count: int = 1
    resources: Resources | None = None
    run_time_s: float | None = None
    payload: bytes = b""


# Records of the shard's journal


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was accepted; tasks share this record."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation was accepted."""

    job_id: str


@dataclass(frozen=True, slots=True)
class StartIntended:
    """Attempts of non-idempotent tasks are about to start; one record for a batch of them.

    Parameters
    ----------
    attempts : tuple of (str, int, str)
        Task id, attempt and worker.
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
    """A journal entry with its sequence number in the shard's journal, from 1, without gaps."""

    sequence: int
    entry: JournalEntry


# Inbox


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """A caller submits a job; answered by `SubmitAnswer` with the same `call_id`."""

    call_id: int
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class CancelJob:
    """A caller cancels a job; answered by `CancelAnswer` once it is durable."""

    call_id: int
    job_id: str


@dataclass(frozen=True, slots=True)
class JournalCommitted:
    """Every record through `sequence` is durable."""

    sequence: int


@dataclass(frozen=True, slots=True)
class WorkerAdopted:
    """A worker is under this owner's epoch; only now may tasks be placed on it."""

    vm: ListedVm
    inventory: WorkerInventory


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker answered an exchange."""

    report: WorkerReport


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """An exchange failed.

    Parameters
    ----------
    worker : str
        The VM's name.
    is_effect_possible : bool
        Whether the request may have been received.
    """

    worker: str
    is_effect_possible: bool


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list was read: the workers of this shard, with their states."""

    workers: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class DrainVm:
    """An operator empties a VM, or ends the draining."""

    worker: str
    is_draining: bool = True


@dataclass(frozen=True, slots=True)
class DeclarationsChanged:
    """A newer revision is in force."""

    declarations: Declarations


@dataclass(frozen=True, slots=True)
class GrantChanged:
    """What an organisation may reserve in this shard, None for no bound."""

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
    """The shard's lease was renewed, is in doubt, is being handed over or is lost.

    Parameters
    ----------
    mode : OwnershipMode
        OWNING decides everything; DEGRADED and STOPPING renew what runs and start nothing; LOST
        sends nothing.
    epoch : int
        The owner's epoch.
    valid_until_s : float
        Time until which no other owner can exist; starts are void after it.
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


# Outbox


class SubmitOutcome(StrEnum):
    """Answer to a submission."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    REJECTED = "rejected"
    NOT_NOW = "not_now"


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Sent only once an acceptance is durable; any other outcome means "not run".

    Parameters
    ----------
    call_id : int
        Of the submission.
    job_id : str
        The job.
    outcome : SubmitOutcome
        DUPLICATE: the job id is known already, whose state counts.
    detail : str
        Why it was rejected, with the dimension that cannot be met.
    retry_after_s : float
        With NOT_NOW.
    """

    call_id: int
    job_id: str
    outcome: SubmitOutcome
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """The cancellation is durable, or the job is not known here."""

    call_id: int
    job_id: str
    is_known: bool


@dataclass(frozen=True, slots=True)
class GrantWanted:
    """An organisation waits for more of its quota in this shard."""

    organisation: str
    wanted: Resources


OutboxMessage = SubmitAnswer | CancelAnswer | GrantWanted


@dataclass(frozen=True, slots=True)
class Outbox:
    """Everything that one tick wants done.

    Parameters
    ----------
    records : tuple of JournalRecord
        To be made durable, in order.
    requests_by_worker : dict of str to WorkerRequest
        One exchange for each worker that has commands or is due a renewal.
    messages : tuple of OutboxMessage
        Answers to callers and wishes.
    decisions : tuple of str
        Decision log lines of ``key=value`` pairs, already formatted.
    inventories_wanted : tuple of str
        Workers to adopt again under the same epoch, because the number of attempts that they run
        is not the owner's; answered by `WorkerAdopted`.
    """

    records: tuple[JournalRecord, ...]
    requests_by_worker: dict[str, WorkerRequest]
    messages: tuple[OutboxMessage, ...]
    decisions: tuple[str, ...]
    inventories_wanted: tuple[str, ...] = ()


# Views for callers


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """One task as callers see it; `reason` says why it waits or how it ended."""

    task_id: str
    state: TaskState
    attempt: int
    worker: str
    reason: str
    result: bytes = b""
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class JobStatus:
    """One job as callers see it."""

    job_id: str
    organisation: str
    service: str
    state: JobState
    reason: str
    tasks: tuple[TaskStatus, ...]


# Recovery


@dataclass(frozen=True, slots=True)
class RecoveredTask:
    """A task of a job that the journal holds as not final.

    Parameters
    ----------
    task_id : str
        The task.
    intended : tuple of (int, str)
        Attempts of a non-idempotent task that the journal says were about to start, with their
        workers; empty for idempotent ones.
    """

    task_id: str
    intended: tuple[tuple[int, str], ...] = ()


@dataclass(frozen=True, slots=True)
class RecoveredJob:
    """A job as the journal holds it.

    Parameters
    ----------
    spec : JobSpec
        As accepted.
    state : JobState
        Final, or ACCEPTED for one that still has work.
    is_cancelled : bool
        Its cancellation is durable.
    open_tasks : tuple of RecoveredTask
        Tasks without a final record.
    finished : tuple of TaskFinished
        Final records of the others.
    detail : str
        Of the final state.
    """

    spec: JobSpec
    state: JobState
    is_cancelled: bool
    open_tasks: tuple[RecoveredTask, ...]
    finished: tuple[TaskFinished, ...]
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What a new owner starts from, before any worker is adopted.

    Parameters
    ----------
    epoch : int
        The new owner's epoch.
    last_sequence : int
        Highest sequence in the journal.
    jobs : tuple of RecoveredJob
        All jobs of the journal.
    fence_at_s : float
        Time by which every task of earlier epochs has stopped on workers that were never
        adopted: the last possible renewal plus the task lease plus the clock margin.
    """

    epoch: int
    last_sequence: int
    jobs: tuple[RecoveredJob, ...]
    fence_at_s: float
