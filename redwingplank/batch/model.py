"""What a cell works on: queues, jobs with their steps, workers, and what workers say."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "NO_AMOUNTS",
    "AdvicePolicy",
    "Amounts",
    "CellConfig",
    "CompletionKind",
    "JobSpec",
    "JobState",
    "PollReport",
    "QueuePolicy",
    "RunCompletion",
    "RunReport",
    "StartOutcome",
    "StepKey",
    "StepSpec",
    "TaskId",
    "WorkerEntry",
]


class Amounts(NamedTuple):
    """Resources: processors in millicores, memory in MiB, accelerators by count."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    gpus: int = 0

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum."""
        return Amounts(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Amounts") -> "Amounts":
        """Return the difference; parts may be negative."""
        return Amounts(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def holds(self, other: "Amounts") -> bool:
        """Return whether `other` fits into this."""
        return self[0] >= other[0] and self[1] >= other[1] and self[2] >= other[2]


NO_AMOUNTS = Amounts()


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """One task of a step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step as its caller described it.

    Parameters
    ----------
    count : int
        Number of tasks.
    amounts : Amounts
        What each task reserves.
    estimate_s : float
        The caller's rough estimate of a task's run time.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    saves : bool
        Whether tasks write checkpoints.
    is_gang : bool
        Whether all tasks work only together and end together.
    same_rack : bool
        Whether a gang is slower when spread over racks.
    required_label : str
        Label that a worker must have, empty for none.
    data_rack : str
        Rack that holds the data, empty for none; elsewhere tasks are slower.
    max_per_worker : int
        Most tasks of the step on one worker, 0 for no limit.
    may_copy : bool
        Whether a task may run twice at the same time; the first end counts.
    is_lasting : bool
        Whether tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : float
        Bound on the tail of a serving task's response times, 0 for none.
    uses_spare_cpu : bool
        Whether the processors are taken from what other tasks leave unused.
    max_unavailable : int
        Most lasting tasks that orders may keep away from work at once, 0 for none allowed.
    """

    count: int
    amounts: Amounts = NO_AMOUNTS
    estimate_s: float = 1.0
    after: tuple[int, ...] = ()
    saves: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    may_copy: bool = False
    is_lasting: bool = False
    image: str = ""
    target_ms: float = 0.0
    uses_spare_cpu: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Amounts:
        """What a task takes of a worker's capacity."""
        if not self.uses_spare_cpu:
            return self.amounts
        return Amounts(0, self.amounts.memory_mib, self.amounts.gpus)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted.

    Parameters
    ----------
    job_id : str
        Chosen by the caller.
    queue : str
        Name of the queue.
    payload : str
        Handed to each task.
    steps : tuple of StepSpec
        In the caller's order.
    submitted_unix_s : float
        When the job was first seen.
    repeat_count : int
        Occurrences of a scheduled job, 0 for a job that runs once at once.
    first_run_unix_s, interval_s : float
        When the first occurrence is due, and the time between occurrences.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_unix_s: float = 0.0
    repeat_count: int = 0
    first_run_unix_s: float = 0.0
    interval_s: float = 0.0


class JobState(enum.StrEnum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether nothing of the job is to be started any more."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """What a call for advice costs, in seconds, and how long its tickets are good."""

    decision_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """A queue of the configuration.

    Parameters
    ----------
    name, host, prefix : str
        Callers reach the queue by host and path prefix.
    service : str
        Pool of workers that run its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs after which a task is given up.
    stretch : float
        Factor on the longest chain of work in a job's objective.
    target_s : float
        Added to the objective.
    advice : AdvicePolicy or None
        Whether starts need a ticket.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class CellConfig:
    """One version of the operator's configuration."""

    version: int
    queues_by_name: dict[str, QueuePolicy]
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix of `path`, None if there is none."""
        found: QueuePolicy | None = None
        for queue in self.queues_by_name.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker published about itself.

    Parameters
    ----------
    worker_id, address, failure_domain, service : str
        Who and where it is, and which pool it belongs to.
    capacity : Amounts
        What its tasks may reserve together.
    kind, rack : str
        Kind of hardware, and rack.
    labels : tuple of str
        All its labels.
    born_ms : int
        Unix time of the start of the process; another value is another incarnation.
    is_draining : bool
        Whether it is about to leave.
    remaining_s : float
        While it drains: how long it stays at least.
    """

    worker_id: str
    address: str
    failure_domain: str
    service: str
    capacity: Amounts
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    born_ms: int = 0
    is_draining: bool = False
    remaining_s: float = 0.0


class CompletionKind(enum.Enum):
    """How a run ended."""

    DONE = enum.auto()
    FAILED = enum.auto()
    STOPPED = enum.auto()
    LAPSED = enum.auto()
    BROKEN = enum.auto()
    ALONE = enum.auto()


class RunCompletion(NamedTuple):
    """An end that a worker lists until it is acknowledged.

    `number` counts the worker's ends in one incarnation; `saved` is a checkpoint or empty.
    """

    number: int
    task: TaskId
    attempt: int
    kind: CompletionKind
    saved: str


class RunReport(NamedTuple):
    """A run that is on a worker.

    `percent` is its progress; `load` is the tail in milliseconds for a serving task and the
    millicores in use for any other.
    """

    task: TaskId
    attempt: int
    saved: str
    percent: float
    load: float


@dataclass(frozen=True, slots=True)
class PollReport:
    """A worker's answer to the renewal of its lease.

    Parameters
    ----------
    clock_ms : int
        The worker's steady clock.
    born_ms : int
        The incarnation, 0 if it was not told.
    running : tuple of RunReport
        All runs on the worker.
    ends : tuple of RunEnd
        Ends that were not acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ends: tuple[RunCompletion, ...]


class StartOutcome(enum.Enum):
    """What became of an order to start a task."""

    STARTED = enum.auto()
    FENCED = enum.auto()
    OLD_ATTEMPT = enum.auto()
    TOO_LATE = enum.auto()
    NO_ROOM = enum.auto()
    BAD_TICKET = enum.auto()
    UNHEALTHY = enum.auto()
    INVALID = enum.auto()
    NOT_SENT = enum.auto()
    OTHER_INCARNATION = enum.auto()
    UNKNOWN = enum.auto()
