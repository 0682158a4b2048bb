"""Waiting tasks, by deadline class, organisation and start deadline."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

from redwingplank.config import DeadlineClass, Service, WorkloadKind
from redwingplank.scheduling.entities import Job, Phase, Task
from redwingplank.scheduling.shares import OrganisationUsage
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Lane", "WaitingQueue"]

LaneKey = tuple[str, int, str, tuple[int, ...], int, bool]

_MIN_PURGE_AT = 1024
_MIN_COMPACT_AT = 1024
_INFINITY = float("inf")


@dataclass(slots=True, eq=False)
class Lane:
    """Jobs of one organisation, class and need, by start deadline.

    Parameters
    ----------
    number : int
        Order of creation; breaks ties.
    usage : OrganisationUsage
        Whose jobs they are.
    queue_class : int
        Deadline class after ageing.
    declared : ndarray
        Declared need of each task.
    service : str
        The service that they are work of.
    gang_size : int
        Tasks of each job if they are gangs, 0 otherwise.
    """

    number: int
    usage: OrganisationUsage
    queue_class: int
    declared: Amounts
    service: str
    gang_size: int = 0
    jobs: list[tuple[float, int, int, Job]] = field(default_factory=list)
    is_parked: bool = False
    blocked_since_s: float = -1.0
    parked_need: tuple[bool, tuple[int, ...]] | None = None
    retry_at_s: float = 0.0

    def head(self) -> Job | None:
        """Return the job with the earliest start deadline that still waits here."""
        while self.jobs:
            job = self.jobs[0][3]
            if job.lane is self and _first_queued(job) is not None:
                return job
            heappop(self.jobs)
            if job.lane is self:
                job.lane = None
        return None


@dataclass(slots=True, eq=False)
class _OrganisationQueue:
    usage: OrganisationUsage
    version: int = 0
    ready_by_class: tuple[list[tuple[float, int, int, Lane]], ...] = field(
        default_factory=lambda: tuple([] for _ in DeadlineClass)
    )

    def top(self, queue_class: int, ticket: Iterator[int]) -> Lane | None:
        ready = self.ready_by_class[queue_class]
        while ready:
            deadline_s, _, _, lane = ready[0]
            head = None if lane.is_parked else lane.head()
            if head is not None and head.deadline_s == deadline_s:
                return lane
            heappop(ready)
            if head is not None:
                heappush(ready, (head.deadline_s, lane.number, next(ticket), lane))
        return None


class WaitingQueue:
    """Orders waiting work.

    Notes
    -----
    The most urgent class with ready work goes first; within it the organisation with the lowest
    weighted dominant share; within that the earliest start deadline. A lane whose need finds no
    room is parked and costs nothing until room of its size appears. All orders are heaps with
    lazy removal, so that a tick's work follows from what changed.
    """

    def __init__(self) -> None:
        self._lanes_by_key: dict[LaneKey, Lane] = {}
        self._queues_by_organisation: dict[str, _OrganisationQueue] = {}
        self._ready_by_class: tuple[list[tuple[float, str, int]], ...] = tuple(
            [] for _ in DeadlineClass
        )
        self._promotions: list[tuple[float, int, Job]] = []
        self._ticket = count()
        self._lane_number = count()
        self._purge_at = _MIN_PURGE_AT
        self.waiting_by_class = [0 for _ in DeadlineClass]

    @property
    def waiting_count(self) -> int:
        """Waiting tasks of all classes."""
        return sum(self.waiting_by_class)

    def push(self, task: Task, usage: OrganisationUsage, declared: Amounts) -> None:
        """Add a task to its job's waiting ones."""
        job = task.job
        task.phase = Phase.QUEUED
        job.queued.append(task)
        self.waiting_by_class[job.queue_class] += 1
        if job.lane is None:
            self._file(job, usage, declared)

    def take(self, task: Task) -> None:
        """Note that a waiting task has left the queue; its phase is changed by the caller."""
        self.waiting_by_class[task.job.queue_class] -= 1

    def reinsert_task(self, task: Task) -> None:
        """Count a task as waiting again that `take` took in the same tick."""
        self.waiting_by_class[task.job.queue_class] += 1

    def drop(self, job: Job) -> list[Task]:
        """Remove all waiting tasks of a job and return them."""
        dropped = [task for task in job.queued if task.phase is Phase.QUEUED]
        job.queued.clear()
        self.waiting_by_class[job.queue_class] -= len(dropped)
        return dropped

    def is_waiting(self, job: Job) -> bool:
        """Return whether a task of a job waits here."""
        return _first_queued(job) is not None

    def reclassify(self, organisation: str, service: Service) -> list[Job]:
        """Move the waiting jobs of a service to its deadline class and time to start.

        Returns
        -------
        list of Job
            The jobs that were moved.
        """
        moved = []
        lanes = [
            lane
            for lane in self._lanes_by_key.values()
            if lane.usage.name == organisation and lane.service == service.name
        ]
        for lane in lanes:
            jobs = {id(entry[3]): entry[3] for entry in lane.jobs if entry[3].lane is lane}
            lane.jobs.clear()
            for job in filter(self.is_waiting, jobs.values()):
                self._move_to_class(job, int(service.deadline_class))
                job.deadline_s = job.accepted_at_s + service.start_within_s
                self._file(job, lane.usage, lane.declared)
                moved.append(job)
        return moved

    def _move_to_class(self, job: Job, queue_class: int) -> None:
        waiting = sum(task.phase is Phase.QUEUED for task in job.queued)
        self.waiting_by_class[job.queue_class] -= waiting
        job.queue_class = queue_class
        self.waiting_by_class[job.queue_class] += waiting

    def promote_at(self, job: Job, due_s: float) -> None:
        """Move a job up one class at `due_s` if it still waits then."""
        heappush(self._promotions, (due_s, next(self._ticket), job))

    def promote_due(self, now_s: float) -> list[Job]:
        """Move up every job that has waited too long, and return them."""
        promoted = []
        while self._promotions and self._promotions[0][0] <= now_s:
            job = heappop(self._promotions)[2]
            if job.queue_class == 0 or job.lane is None or _first_queued(job) is None:
                continue
            old = job.lane
            self._move_to_class(job, job.queue_class - 1)
            self._file(job, old.usage, old.declared)
            promoted.append(job)
        return promoted

    def top(self) -> Lane | None:
        """Return the lane whose head goes next, or None."""
        for queue_class, ready in enumerate(self._ready_by_class):
            while ready:
                _, name, version = ready[0]
                queue = self._queues_by_organisation[name]
                if version == queue.version:
                    lane = queue.top(queue_class, self._ticket)
                    if lane is not None:
                        return lane
                heappop(ready)
        return None

    def next_share(self, queue_class: int) -> float:
        """Return a lower bound of the share of the organisation that goes second."""
        return min(
            (entry[0] for entry in self._ready_by_class[queue_class][1:3]), default=_INFINITY
        )

    def reorder(self, usage: OrganisationUsage) -> None:
        """Put an organisation in its place after its share changed."""
        queue = self._queues_by_organisation.get(usage.name)
        if queue is None:
            return
        queue.version += 1
        for queue_class, lanes in enumerate(queue.ready_by_class):
            if lanes:
                entry = (usage.share, usage.name, queue.version)
                ready = self._ready_by_class[queue_class]
                heappush(ready, entry)
                if len(ready) > _MIN_COMPACT_AT + 4 * len(self._queues_by_organisation):
                    self._compact(ready)

    def _compact(self, ready: list[tuple[float, str, int]]) -> None:
        queues = self._queues_by_organisation
        ready[:] = {entry for entry in ready if entry[2] == queues[entry[1]].version}
        heapify(ready)

    def block_lane(self, lane: Lane) -> None:
        """Take a lane out of the order until `unpark`."""
        lane.is_parked = True

    def unblock_lane(self, lane: Lane) -> None:
        """Put a parked lane back."""
        lane.is_parked = False
        self._make_ready(lane)

    def lanes(self) -> Iterator[Lane]:
        """Return every lane; for views, not for ticks."""
        return iter(self._lanes_by_key.values())

    def _file(self, job: Job, usage: OrganisationUsage, declared: Amounts) -> None:
        gang_size = job.spec.task_count if job.service.kind is WorkloadKind.GANG else 0
        need = tuple(declared.tolist())
        key = (usage.name, job.queue_class, job.spec.service, need, gang_size, job.is_volatile)
        lane = self._lanes_by_key.get(key)
        if lane is None:
            self._purge()
            lane = Lane(
                next(self._lane_number), usage, job.queue_class, declared, key[2], gang_size
            )
            self._lanes_by_key[key] = lane
        job.lane = lane
        heappush(lane.jobs, (job.deadline_s, job.number, next(self._ticket), job))
        if not lane.is_parked and lane.head() is job:
            self._make_ready(lane)

    def _purge(self) -> None:
        if len(self._lanes_by_key) < self._purge_at:
            return
        kept = {
            key: lane
            for key, lane in self._lanes_by_key.items()
            if lane.is_parked or lane.head() is not None
        }
        self._lanes_by_key = kept
        self._purge_at = max(_MIN_PURGE_AT, 2 * len(kept))

    def _make_ready(self, lane: Lane) -> None:
        head = lane.head()
        if head is None:
            return
        queue = self._queues_by_organisation.get(lane.usage.name)
        if queue is None:
            queue = self._queues_by_organisation[lane.usage.name] = _OrganisationQueue(lane.usage)
        ready = queue.ready_by_class[lane.queue_class]
        heappush(ready, (head.deadline_s, lane.number, next(self._ticket), lane))
        entry = (lane.usage.share, lane.usage.name, queue.version)
        heappush(self._ready_by_class[lane.queue_class], entry)


def _first_queued(job: Job) -> Task | None:
    while job.queued and job.queued[0].phase is not Phase.QUEUED:
        job.queued.popleft()
    return job.queued[0] if job.queued else None
