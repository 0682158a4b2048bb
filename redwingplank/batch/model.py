"""The data that a cell works on: queues, jobs with their steps, workers, and worker reports."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "NO_AMOUNTS",
    "AdvicePolicy",
    "Amounts",
    "CellConfig",
    "CompletionKind",
    "Incarnation",
    "JobSpec",
    "JobState",
    "OrganisationPolicy",
    "PollReport",
    "QueuePolicy",
    "RunCompletion",
    "RunReport",
    "StartAnswer",
    "StartOutcome",
    "StepKey",
    "StepSpec",
    "TaskId",
    "WorkerEntry",
]


class Amounts(NamedTuple):
    """Amounts of resources: CPU in millicores, memory in MiB, and a number of GPUs."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    gpus: int = 0

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum of two amounts."""
        return Amounts(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: "Amounts") -> "Amounts":
        """Return the difference of two amounts; single resources may become negative."""
        return Amounts(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def holds(self, other: "Amounts") -> bool:
        """Return whether these amounts are enough for `other`."""
        return self[0] >= other[0] and self[1] >= other[1] and self[2] >= other[2]


NO_AMOUNTS = Amounts()


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """One task of a step; its text joins the fields by dots."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step as the caller submitted it.

    Parameters
    ----------
    count : int
        Number of tasks.
    amounts : Amounts
        Resources that each task reserves.
    estimate_s : float
        The caller's rough estimate of a task's run time.
    after : tuple of int
        Numbers of the earlier steps whose tasks must all be done before this step starts.
    saves : bool
        Whether tasks write checkpoints.
    is_gang : bool
        Whether all tasks of the step have to start together and end together.
    same_rack : bool
        Whether a gang is slower when its tasks are spread over several racks.
    required_label : str
        Label that a worker must have; empty if no label is required.
    data_rack : str
        Rack that holds the input data, empty for none; tasks in other racks are slower.
    max_per_worker : int
        Largest number of tasks of the step on one worker; 0 means no limit.
    may_copy : bool
        Whether two runs of a task may exist at the same time; the first completion counts.
    is_lasting : bool
        Whether the tasks are services that run until the job is cancelled.
    image : str
        Image that the tasks run. Tasks of one image share their run time statistics.
    target_ms : float
        Upper bound in milliseconds on the tail latency of a serving task; 0 means no bound.
    uses_spare_cpu : bool
        Whether tasks use only CPU that other tasks leave unused, and so reserve none.
    max_unavailable : int
        Largest number of lasting tasks that commands may make unavailable at the same time;
        0 means that none may be.
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
        """The part of a worker's capacity that one task reserves."""
        if not self.uses_spare_cpu:
            return self.amounts
        return Amounts(0, self.amounts.memory_mib, self.amounts.gpus)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted from its caller.

    Parameters
    ----------
    job_id : str
        Identifier chosen by the caller.
    queue : str
        Name of the queue that the job was submitted to.
    payload : str
        Text that is passed to each task unchanged.
    steps : tuple of StepSpec
        Steps in the order in which the caller listed them.
    submitted_unix_s : float
        Unix time at which the job was first received; 0 if unknown.
    repeat_count : int
        Number of occurrences of a scheduled job; 0 for a job that runs once, immediately.
    first_run_unix_s, interval_s : float
        Unix time at which the first occurrence is due, and the time between occurrences.
    organisation : str
        Name of the organisation that the job belongs to, empty if it belongs to none.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_unix_s: float = 0.0
    repeat_count: int = 0
    first_run_unix_s: float = 0.0
    interval_s: float = 0.0
    organisation: str = ""


class JobState(enum.StrEnum):
    """State of a job as it is reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether no more tasks of the job will be started."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Duration of a call to the advice service and validity of its tickets.

    Parameters
    ----------
    decision_s, per_worker_s : float
        Time that the service works on one call, and additional time for each named worker.
    valid_s : float
        How long the tickets of an answer are valid.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Configuration of a queue.

    Parameters
    ----------
    name, host, prefix : str
        Name of the queue, and the host and path prefix by which callers address it.
    service : str
        Pool of workers that run the tasks of the queue.
    priority : int
        Priority of the queue; 0 is the highest.
    max_attempts : int
        Number of failed runs of a task after which its job fails.
    stretch : float
        Factor by which the longest chain of steps is multiplied in a job's objective.
    target_s : float
        Time that is added to the objective of each job.
    advice : AdvicePolicy or None
        Policy of the advice service if starts need a ticket, None if they need no ticket.
    is_public : bool
        Whether callers need no key.
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
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """Share and limit of an organisation.

    Parameters
    ----------
    name : str
        Name of the organisation.
    weight : float
        Jobs a second that the organisation is entitled to, and its share when capacity is short.
    quota : Amounts
        Largest amounts that its tasks may use on all workers together; 0 means no limit.
    """

    name: str
    weight: float = 0.0
    quota: Amounts = NO_AMOUNTS


@dataclass(frozen=True, slots=True)
class CellConfig:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Version of the configuration; a higher one replaces a lower one.
    queues_by_name : dict of str to QueuePolicy
        Queues of the cell.
    max_body_bytes : int
        Largest size of a request body.
    organisations_by_name : dict of str to OrganisationPolicy
        Organisations that share the cell.
    organisation_by_key : dict of str to str
        Name of the organisation that each key belongs to.
    requires_keys : bool
        Whether calls to queues that are not public need a key.
    """

    version: int
    queues_by_name: dict[str, QueuePolicy]
    max_body_bytes: int = 262_144
    organisations_by_name: dict[str, OrganisationPolicy] = field(default_factory=dict)
    organisation_by_key: dict[str, str] = field(default_factory=dict, repr=False)
    requires_keys: bool = False
    _queues_by_host: "dict[str, _HostQueues]" = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_queues_by_host", _index_queues(self.queues_by_name))

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue of `host` with the longest prefix of `path`, None if none matches."""
        queues = self._queues_by_host.get(host)
        return queues.find(path) if queues is not None else None


class _HostQueues:
    """The queues of a host by prefix; a lookup costs one step for each length of a prefix."""

    __slots__ = ("_by_prefix", "_lengths")

    def __init__(self) -> None:
        self._by_prefix: dict[str, QueuePolicy] = {}
        self._lengths: tuple[int, ...] = ()

    def add(self, queue: QueuePolicy) -> None:
        """Add a queue; of two queues with one prefix the first one stays."""
        self._by_prefix.setdefault(queue.prefix, queue)
        length = len(queue.prefix)
        if length not in self._lengths:
            self._lengths = tuple(sorted((*self._lengths, length), reverse=True))

    def find(self, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix of `path`."""
        for length in self._lengths:
            queue = self._by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


def _index_queues(queues_by_name: dict[str, QueuePolicy]) -> dict[str, _HostQueues]:
    queues_by_host: dict[str, _HostQueues] = {}
    for queue in queues_by_name.values():
        queues_by_host.setdefault(queue.host, _HostQueues()).add(queue)
    return queues_by_host


class Incarnation(NamedTuple):
    """One process of a worker; `born_ms` is the Unix time in milliseconds of its start."""

    worker_id: str
    address: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as it published itself in the list of workers.

    Parameters
    ----------
    worker_id, address, failure_domain, service : str
        Identifier, network address, failure domain and pool of the worker.
    capacity : Amounts
        Resources that all tasks on the worker may reserve together.
    kind, rack : str
        Kind of hardware, and rack in which the worker stands.
    labels : tuple of str
        Labels that steps may require.
    born_ms : int
        Unix time in milliseconds at which the process started. It identifies the incarnation.
    is_draining : bool
        Whether the worker is about to leave.
    remaining_s : float
        Shortest time that a draining worker will still be available.
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
    """How a run ended.

    The lower-case names are written to the log.
    """

    DONE = enum.auto()
    FAILED = enum.auto()
    STOPPED = enum.auto()
    LAPSED = enum.auto()
    """The lease of the worker expired."""
    BROKEN = enum.auto()
    ALONE = enum.auto()


class RunCompletion(NamedTuple):
    """A completion that a worker reports until the owner acknowledges it.

    `number` counts the completions of one incarnation of the worker; `saved` is a checkpoint,
    or empty.
    """

    number: int
    task: TaskId
    attempt: int
    kind: CompletionKind
    saved: str


class RunReport(NamedTuple):
    """A run that exists on a worker, as the worker reports it.

    `percent` is its progress; `load` is the tail latency in milliseconds for a serving task and
    the CPU in use, in millicores, for any other task.
    """

    task: TaskId
    attempt: int
    saved: str
    percent: float
    load: float


@dataclass(frozen=True, slots=True)
class PollReport:
    """A worker's answer to a poll, the call that renews its lease.

    Parameters
    ----------
    clock_ms : int
        Reading of the worker's monotonic clock, in milliseconds.
    born_ms : int
        Incarnation of the worker, 0 if the worker did not report it.
    running : tuple of RunReport
        All runs that exist on the worker.
    completions : tuple of RunCompletion
        Completions that the owner has not acknowledged yet.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    completions: tuple[RunCompletion, ...]


class StartOutcome(enum.Enum):
    """Outcome of a start command.

    The lower-case names are written to the log.
    """

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


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Outcome of a start command, with the clock of the worker in milliseconds if it told it."""

    outcome: StartOutcome
    clock_ms: int | None = None
