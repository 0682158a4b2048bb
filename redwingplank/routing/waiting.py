"""Admission: which requests wait, which are shed, and who is served next."""

import numpy as np

from redwingplank.config import Service
from redwingplank.routing.admission import FairQueue, Waiting
from redwingplank.routing.messages import RouteRequest, Shed, ShedReason, Wait
from redwingplank.routing.selection import UpstreamSelector
from redwingplank.routing.settings import RouterSettings
from redwingplank.routing.upstream_rows import UpstreamRow

__all__ = ["AdmissionQueue"]

EXPIRY_INTERVAL_S = 0.005
HEADS_CONSIDERED = 8
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
RETRY_AFTER_JITTER = 0.5


class AdmissionQueue:
    """The requests that wait in this entry, in one fair queue for each upstream service.

    Parameters
    ----------
    settings : RouterSettings
        Bounds of the queues.
    selector : UpstreamSelector
        Predicts waits and selects upstreams.
    generator : numpy.random.Generator
        Spreads the times after which callers retry.
    """

    def __init__(
        self, settings: RouterSettings, selector: UpstreamSelector, generator: np.random.Generator
    ) -> None:
        self._settings = settings
        self._selector = selector
        self._generator = generator
        self._queues_by_service: dict[str, FairQueue] = {}
        self._waiting_by_id: dict[str, Waiting] = {}
        self._displaced: list[Shed] = []
        self._expiry_checked_s = float("-inf")

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting_by_id)

    def services(self) -> list[str]:
        """Return the upstream services that requests wait for."""
        return [name for name, queue in self._queues_by_service.items() if queue.size]

    def size_of(self, upstream_service: str) -> int:
        """Return how many requests wait for an upstream service."""
        queue = self._queues_by_service.get(upstream_service)
        return queue.size if queue else 0

    def ahead_of(self, service: Service) -> int:
        """Return how many waiting requests are as urgent as those of a service, or more."""
        queue = self._queues_by_service.get(service.upstream_service)
        return queue.ahead_of(service.deadline_class) if queue and queue.size else 0

    def charge(self, request: RouteRequest, service: Service, share: int) -> None:
        """Count a request that was sent without waiting in its organisation's share."""
        cost_s = self._selector.times(request.organisation, service).work_s
        self._queue(service.upstream_service).charge(request.organisation, cost_s, share)

    def enqueue_or_shed(
        self, now_s: float, request: RouteRequest, service: Service, share: int
    ) -> Wait | Shed:
        """Let a request wait, or shed it when it would wait too long or too many wait."""
        queue = self._queue(service.upstream_service)
        wait_s = self._predicted_wait_s(now_s, service)
        expected_s = self._selector.expected_service_s(request.organisation, service)
        if wait_s == float("inf"):
            return Shed(request.request_id, ShedReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_S)
        if now_s + wait_s + expected_s > request.deadline_s:
            return self._shed(now_s, request, service, ShedReason.DEADLINE)
        if queue.is_organisation_full(request.organisation):
            return self._shed(now_s, request, service, ShedReason.QUEUE_FULL)
        if queue.size >= self._settings.max_waiting and not self._displace(now_s, service, queue):
            return self._shed(now_s, request, service, ShedReason.QUEUE_FULL)
        cost_s = self._selector.times(request.organisation, service).work_s
        waiting = Waiting(request, service, now_s, cost_s, expected_s, share)
        queue.add(waiting)
        self._waiting_by_id[request.request_id] = waiting
        return Wait(request.request_id, wait_s)

    def cancel(self, request_id: str) -> bool:
        """Forget a waiting request; return whether it waited."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return False
        self._queue(waiting.service.upstream_service).remove(waiting)
        return True

    def pop_shed(self, now_s: float) -> list[Shed]:
        """Return and forget the requests that were displaced or can no longer be in time."""
        shed = list(self._displaced)
        self._displaced.clear()
        if now_s - self._expiry_checked_s < EXPIRY_INTERVAL_S:
            return shed
        self._expiry_checked_s = now_s
        for queue in self._queues_by_service.values():
            for waiting in queue.expired(now_s):
                self.cancel(waiting.request.request_id)
                shed.append(
                    self._shed(now_s, waiting.request, waiting.service, ShedReason.DEADLINE)
                )
        return shed

    def pop_next(self, now_s: float, upstream_service: str) -> tuple[Waiting, UpstreamRow] | None:
        """Return and forget the next request to serve, with its upstream, if there is one."""
        queue = self._queue(upstream_service)
        if not queue.size or not self._selector.has_free(now_s, upstream_service):
            return None
        for ahead, waiting in enumerate(queue.in_order()[:HEADS_CONSIDERED]):
            row = self._selector.select(now_s, waiting.request, waiting.service, ahead)
            if row is not None:
                del self._waiting_by_id[waiting.request.request_id]
                queue.remove_and_charge(waiting)
                return waiting, row
        return None

    def _queue(self, upstream_service: str) -> FairQueue:
        queue = self._queues_by_service.get(upstream_service)
        if queue is None:
            queue = self._queues_by_service[upstream_service] = FairQueue(self._settings)
        return queue

    def _predicted_wait_s(self, now_s: float, service: Service) -> float:
        blocked_s = self._selector.usable_after_s(now_s, service.upstream_service)
        if blocked_s > 0:
            return blocked_s
        return self._selector.predicted_wait_s(now_s, service, self.ahead_of(service))

    def _displace(self, now_s: float, service: Service, queue: FairQueue) -> bool:
        last = queue.least_urgent()
        if last is None or _urgency(last.service) <= _urgency(service):
            return False
        self.cancel(last.request.request_id)
        self._displaced.append(self._shed(now_s, last.request, last.service, ShedReason.DISPLACED))
        return True

    def _shed(
        self, now_s: float, request: RouteRequest, service: Service, reason: ShedReason
    ) -> Shed:
        wait_s = self._predicted_wait_s(now_s, service)
        spread = 1.0 + RETRY_AFTER_JITTER * self._generator.random()
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s) * spread)
        return Shed(request.request_id, reason, retry_after_s)


def _urgency(service: Service) -> tuple[int, int]:
    """Return a key that is lower for what is shed later."""
    return int(service.deadline_class), -service.priority
