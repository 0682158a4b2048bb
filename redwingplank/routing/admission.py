"""Waiting requests: bounded, fair between organisations, most urgent first.

Notes
-----
Fairness is start-time fair queueing: each organisation has a virtual time that advances by the
expected service time over its share. Within the lead that the settings allow, classes are served
strictly in order; an organisation that ran one lead ahead has its requests served one class later,
and two classes later from the second lead on.

References
----------
P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", ACM SIGCOMM 1996.
"""

from collections import deque
from dataclasses import dataclass, field

from redwingplank.config import DeadlineClass, Service
from redwingplank.routing.messages import RouteRequest
from redwingplank.routing.settings import RouterSettings

__all__ = ["FairQueue", "Waiting"]

ORGANISATION_FRACTION = 0.5
MIN_WAITING_PER_ORGANISATION = 4
MAX_DEMOTION = 2
DEFAULT_SHARE = 100


@dataclass(slots=True)
class Waiting:
    """A request that waits for a slot.

    Parameters
    ----------
    request : RouteRequest
        The request.
    service : Service
        Its declaration; within a class the lowest priority is shed first.
    arrived_s : float
        When it began to wait.
    cost_s : float
        Expected service time in seconds, charged to its organisation.
    expected_s : float
        Least expected service time in seconds; it is shed when less than this is left.
    share : int
        Of its organisation.
    """

    request: RouteRequest
    service: Service
    arrived_s: float
    cost_s: float
    expected_s: float
    share: int

    @property
    def deadline_class(self) -> DeadlineClass:
        """The class of its service."""
        return self.service.deadline_class


@dataclass(slots=True)
class _Organisation:
    virtual_s: float = 0.0
    waiting: int = 0
    queues_by_class: dict[DeadlineClass, deque[Waiting]] = field(default_factory=dict)


class FairQueue:
    """The waiting requests of one upstream service.

    Parameters
    ----------
    settings : RouterSettings
        Bounds and lead.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._organisations_by_name: dict[str, _Organisation] = {}
        self._virtual_s = 0.0
        self.size = 0
        self.sizes_by_class: dict[DeadlineClass, int] = dict.fromkeys(DeadlineClass, 0)

    def add(self, waiting: Waiting) -> None:
        """Append a request to its organisation's queue."""
        organisation = self._organisation(waiting.request.organisation)
        if organisation.waiting == 0:
            organisation.virtual_s = max(organisation.virtual_s, self._virtual_s)
        queue = organisation.queues_by_class.setdefault(waiting.deadline_class, deque())
        queue.append(waiting)
        self._count(organisation, waiting, 1)

    def ahead_of(self, deadline_class: DeadlineClass) -> int:
        """Return how many requests wait that are as urgent or more."""
        return sum(count for other, count in self.sizes_by_class.items() if other <= deadline_class)

    def is_organisation_full(self, organisation: str) -> bool:
        """Return whether one organisation's requests hold its part of the queue."""
        found = self._organisations_by_name.get(organisation)
        if found is None:
            return False
        bound = int(self._settings.max_waiting * ORGANISATION_FRACTION)
        return found.waiting >= max(MIN_WAITING_PER_ORGANISATION, bound)

    def in_order(self) -> list[Waiting]:
        """Return the first request of every organisation and class, the next to serve first."""
        heads = []
        for name, organisation in self._organisations_by_name.items():
            if not organisation.waiting:
                continue
            lead_s = organisation.virtual_s - self._virtual_s
            demotion = min(MAX_DEMOTION, int(lead_s / self._settings.lead_s))
            for deadline_class, queue in organisation.queues_by_class.items():
                if queue:
                    rank = int(deadline_class) + demotion
                    heads.append((rank, organisation.virtual_s, name, queue[0]))
        heads.sort(key=lambda head: head[:3])
        return [head[3] for head in heads]

    def remove_and_charge(self, waiting: Waiting) -> None:
        """Remove a request that is served and charge its organisation."""
        self.remove(waiting)
        self.charge(waiting.request.organisation, waiting.cost_s, waiting.share)

    def charge(self, organisation: str, cost_s: float, share: int) -> None:
        """Advance an organisation's virtual time by a request that was sent."""
        found = self._organisation(organisation)
        start_s = max(found.virtual_s, self._virtual_s)
        if self.size:
            self._virtual_s = max(self._virtual_s, self._least_virtual_s(start_s))
        else:
            self._virtual_s = start_s
        found.virtual_s = start_s + cost_s * DEFAULT_SHARE / max(share, 1)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request without serving it."""
        organisation = self._organisation(waiting.request.organisation)
        organisation.queues_by_class[waiting.deadline_class].remove(waiting)
        self._count(organisation, waiting, -1)

    def expired(self, now_s: float) -> list[Waiting]:
        """Return the requests whose deadline leaves no time for the expected service."""
        return [
            waiting
            for organisation in self._organisations_by_name.values()
            for queue in organisation.queues_by_class.values()
            for waiting in queue
            if now_s + waiting.expected_s > waiting.request.deadline_s
        ]

    def least_urgent(self) -> Waiting | None:
        """Return the request to shed first: of the last class, lowest priority, newest."""
        last_class = next(
            (cls for cls in reversed(DeadlineClass) if self.sizes_by_class[cls]), None
        )
        if last_class is None:
            return None
        newest = [
            organisation.queues_by_class[last_class][-1]
            for organisation in self._organisations_by_name.values()
            if organisation.queues_by_class.get(last_class)
        ]
        return min(newest, key=lambda waiting: (waiting.service.priority, -waiting.arrived_s))

    def _organisation(self, name: str) -> _Organisation:
        return self._organisations_by_name.setdefault(name, _Organisation())

    def _count(self, organisation: _Organisation, waiting: Waiting, by: int) -> None:
        organisation.waiting += by
        self.size += by
        self.sizes_by_class[waiting.deadline_class] += by

    def _least_virtual_s(self, start_s: float) -> float:
        waiting = [
            organisation.virtual_s
            for organisation in self._organisations_by_name.values()
            if organisation.waiting
        ]
        return min(waiting, default=start_s)
