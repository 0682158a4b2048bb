"""Queue of waiting tasks, ordered by deadline class, organisation and start deadline."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

from redwingplank.config import DeadlineClass, Service, WorkloadKind
from redwingplank.scheduling.entities import Job, Phase, Task
from redwingplank.scheduling.shares import GrantedUsage
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Lane", "WaitingQueue"]

LaneKey = tuple[str, int, str, tuple[int, ...], int, bool]

# Fewest lanes, and fewest heap entries, at which obsolete ones are removed.
_MIN_PURGE_AT = 1024
_MIN_COMPACT_AT = 1024
_INFINITY = float("inf")


@dataclass(slots=True, eq=False)
class Lane:
    """Waiting jobs of one service with the same class and need, ordered by start deadline.

    Parameters
    ----------
    number : int
        Creation order, which breaks ties between equal deadlines.
    usage : GrantedUsage
        Usage of the organisation that the jobs belong to.
    queue_class : int
        Deadline class after ageing, 0 for the most urgent.
    declared : ndarray
        Declared need of each task, one amount per resource dimension.
    service : str
        Name of the service that the jobs belong to.
    gang_size : int
        Tasks per job for gangs, 0 for other jobs.
    jobs : list of tuple
        Heap of start deadline, job number, insertion number and job.
    is_parked : bool
        Whether the lane is blocked.
    blocked_since_s : float
        Time since which the lane has found no free capacity, -1 if it is not waiting for any.
    parked_need : tuple or None
        Key under which `BlockedLanes` lists the lane while it waits for free capacity.
    retry_at_s : float
        Time at which a blocked lane is tried again.
    """

    number: int
    usage: GrantedUsage
    queue_class: int
    declared: Amounts
    service: str
    gang_size: int = 0
    jobs: list[tuple[float, int, int, Job]] = field(default_factory=list)
    is_blocked: bool = False
    blocked_since_s: float = -1.0
    blocked_need: tuple[bool, tuple[int, ...]] | None = None
    retry_at_s: float = 0.0

    def head(self) -> Job | None:
        """Return the waiting job with the earliest start deadline, or None."""
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
    usage: GrantedUsage
    version: int = 0
    ready_by_class: tuple[list[tuple[float, int, int, Lane]], ...] = field(
        default_factory=lambda: tuple([] for _ in DeadlineClass)
    )

    def top(self, queue_class: int, ticket: Iterator[int]) -> Lane | None:
        ready = self.ready_by_class[queue_class]
        while ready:
            deadline_s, _, _, lane = ready[0]
            head = None if lane.is_blocked else lane.head()
            if head is not None and head.deadline_s == deadline_s:
                return lane
            heappop(ready)
            if head is not None:
                heappush(ready, (head.deadline_s, lane.number, next(ticket), lane))
        return None


class WaitingQueue:
    """Orders waiting jobs for the starter.

    Notes
    -----
    The most urgent class with ready work goes first, within it the organisation with the lowest
    weighted dominant share, and within that the earliest start deadline. A lane for which there is
    no free capacity is blocked and costs nothing until enough capacity becomes free. All orders are
    heaps with lazy removal, so that the work of a tick depends only on what changed.
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
        """Number of waiting tasks in all classes."""
        return sum(self.waiting_by_class)

    def push(self, task: Task, usage: GrantedUsage, declared: Amounts) -> None:
        """Add a task to the waiting tasks of its job."""
        job = task.job
        task.phase = Phase.QUEUED
        job.queued.append(task)
        self.waiting_by_class[job.queue_class] += 1
        if job.lane is None:
            self._add_to_lane(job, usage, declared)

    def take(self, task: Task) -> None:
        """Stop counting a task as waiting; the caller changes its phase."""
        self.waiting_by_class[task.job.queue_class] -= 1

    def reinsert_task(self, task: Task) -> None:
        """Count a task as waiting again after `take` in the same tick."""
        self.waiting_by_class[task.job.queue_class] += 1

    def drop(self, job: Job) -> list[Task]:
        """Remove and return all waiting tasks of a job."""
        dropped = [task for task in job.queued if task.phase is Phase.QUEUED]
        job.queued.clear()
        self.waiting_by_class[job.queue_class] -= len(dropped)
        return dropped

    def is_waiting(self, job: Job) -> bool:
        """Return whether any task of a job is waiting."""
        return _first_queued(job) is not None

    def reclassify(self, organisation: str, service: Service) -> list[Job]:
        """Move the waiting jobs of a service to its new deadline class and start deadline.

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
                self._add_to_lane(job, lane.usage, lane.declared)
                moved.append(job)
        return moved

    def _move_to_class(self, job: Job, queue_class: int) -> None:
        waiting = sum(task.phase is Phase.QUEUED for task in job.queued)
        self.waiting_by_class[job.queue_class] -= waiting
        job.queue_class = queue_class
        self.waiting_by_class[job.queue_class] += waiting

    def promote_at(self, job: Job, due_s: float) -> None:
        """Schedule a job's promotion by one class at `due_s`, if it is still waiting then."""
        heappush(self._promotions, (due_s, next(self._ticket), job))

    def promote_due(self, now_s: float) -> list[Job]:
        """Promote every waiting job whose promotion is due, and return these jobs."""
        promoted = []
        while self._promotions and self._promotions[0][0] <= now_s:
            job = heappop(self._promotions)[2]
            if job.queue_class == 0 or job.lane is None or _first_queued(job) is None:
                continue
            old = job.lane
            self._move_to_class(job, job.queue_class - 1)
            self._add_to_lane(job, old.usage, old.declared)
            promoted.append(job)
        return promoted

    def top(self) -> Lane | None:
        """Return the lane whose first job goes next, or None if no lane is ready."""
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
        """Return a lower bound of the share of the organisation that is second in order."""
        return min(
            (entry[0] for entry in self._ready_by_class[queue_class][1:3]), default=_INFINITY
        )

    def reorder(self, usage: GrantedUsage) -> None:
        """Move an organisation to its place in the order after its share has changed."""
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
        """Exclude a lane from the order until `unblock_lane`."""
        lane.is_blocked = True

    def unblock_lane(self, lane: Lane) -> None:
        """Reinsert a blocked lane into the order."""
        lane.is_blocked = False
        self._make_ready(lane)

    def lanes(self) -> Iterator[Lane]:
        """Iterate over all lanes; too slow for use in every tick."""
        return iter(self._lanes_by_key.values())

    def _add_to_lane(self, job: Job, usage: GrantedUsage, declared: Amounts) -> None:
        gang_size = job.spec.task_count if job.service.kind is WorkloadKind.GANG else 0
        need = tuple(declared.tolist())
        key = (usage.name, job.queue_class, job.spec.service, need, gang_size, job.is_volatile)
        lane = self._lanes_by_key.get(key)
        if lane is None:
            self._remove_empty_lanes()
            lane = Lane(
                next(self._lane_number), usage, job.queue_class, declared, key[2], gang_size
            )
            self._lanes_by_key[key] = lane
        job.lane = lane
        heappush(lane.jobs, (job.deadline_s, job.number, next(self._ticket), job))
        if not lane.is_blocked and lane.head() is job:
            self._make_ready(lane)

    def _remove_empty_lanes(self) -> None:
        if len(self._lanes_by_key) < self._purge_at:
            return
        kept = {
            key: lane
            for key, lane in self._lanes_by_key.items()
            if lane.is_blocked or lane.head() is not None
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
