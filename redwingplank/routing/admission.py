"""Queue of waiting requests: bounded, fair between organisations, most urgent first.

Notes
-----
Organisations are served by start-time fair queueing: each has a virtual time, which advances with
each of its requests by the expected service time divided by the organisation's share. While the
virtual time of an organisation leads that of the queue by less than `RouterSettings.lead_s`, its
deadline classes are served strictly in order. From one such lead on, its requests are served one
class later; from two leads on, two classes later.

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

# Fraction of ``RouterSettings.max_waiting`` that one organisation may fill, if that is not less
# than MIN_WAITING_PER_ORGANISATION.
ORGANISATION_FRACTION = 0.5
MIN_WAITING_PER_ORGANISATION = 4
# Classes by which an organisation that is ahead of its share is served later, at most.
MAX_DEMOTION = 2
# Share at which the virtual time advances by exactly the expected service time.
DEFAULT_SHARE = 100


@dataclass(slots=True)
class Waiting:
    """A request that waits for a slot.

    Parameters
    ----------
    request : RouteRequest
        The waiting request.
    service : Service
        Declaration of its service; within a class the lowest priority is shed first.
    arrived_s : float
        Time in seconds at which it began to wait.
    cost_s : float
        Expected service time in seconds, which is charged to its organisation.
    expected_s : float
        Expected service time in seconds at the fastest upstream; the request is shed when less
        time than this is left before its deadline.
    share : int
        Share of its organisation.
    """

    request: RouteRequest
    service: Service
    arrived_s: float
    cost_s: float
    expected_s: float
    share: int

    @property
    def deadline_class(self) -> DeadlineClass:
        """Deadline class of the request's service."""
        return self.service.deadline_class


@dataclass(slots=True)
class _Organisation:
    virtual_s: float = 0.0
    waiting: int = 0
    queues_by_class: dict[DeadlineClass, deque[Waiting]] = field(default_factory=dict)


class FairQueue:
    """Waiting requests of one upstream service.

    Parameters
    ----------
    settings : RouterSettings
        Supplies the maximum number of waiting requests and the lead.
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
        self._change_counts(organisation, waiting, 1)

    def ahead_of(self, deadline_class: DeadlineClass) -> int:
        """Return how many waiting requests are at least as urgent as a deadline class."""
        return sum(count for other, count in self.sizes_by_class.items() if other <= deadline_class)

    def is_organisation_full(self, organisation: str) -> bool:
        """Return whether an organisation has as many waiting requests as it may have."""
        found = self._organisations_by_name.get(organisation)
        if found is None:
            return False
        bound = int(self._settings.max_waiting * ORGANISATION_FRACTION)
        return found.waiting >= max(MIN_WAITING_PER_ORGANISATION, bound)

    def requests_in_service_order(self) -> list[Waiting]:
        """Return the first request of every organisation and class, in the order of service."""
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
        """Remove a request that is being served and charge its organisation."""
        self.remove(waiting)
        self.charge(waiting.request.organisation, waiting.cost_s, waiting.share)

    def charge(self, organisation: str, cost_s: float, share: int) -> None:
        """Advance an organisation's virtual time by the cost of a request that was sent."""
        found = self._organisation(organisation)
        start_s = max(found.virtual_s, self._virtual_s)
        if self.size:
            self._virtual_s = max(self._virtual_s, self._min_virtual_s(start_s))
        else:
            self._virtual_s = start_s
        found.virtual_s = start_s + cost_s * DEFAULT_SHARE / max(share, 1)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request without serving it."""
        organisation = self._organisation(waiting.request.organisation)
        organisation.queues_by_class[waiting.deadline_class].remove(waiting)
        self._change_counts(organisation, waiting, -1)

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
        """Return the request to shed first, or None if none waits.

        It belongs to the least urgent class that waits. Of the newest requests of each organisation
        in this class, it has the lowest priority, and among equals it arrived last.
        """
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

    def _change_counts(self, organisation: _Organisation, waiting: Waiting, by: int) -> None:
        organisation.waiting += by
        self.size += by
        self.sizes_by_class[waiting.deadline_class] += by

    def _min_virtual_s(self, start_s: float) -> float:
        waiting = [
            organisation.virtual_s
            for organisation in self._organisations_by_name.values()
            if organisation.waiting
        ]
        return min(waiting, default=start_s)
