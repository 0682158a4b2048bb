"""Router of one entry: decides where each request goes, without any input or output."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import numpy as np

from redwingplank.config import NO_DECLARATIONS, Declarations, Service
from redwingplank.platform import ListedVm
from redwingplank.routing.messages import (
    Decision,
    FailureKind,
    Forward,
    PeerLoad,
    Route,
    RouteRequest,
    ServiceDemand,
    Shed,
    ShedReason,
    WaitingDecision,
)
from redwingplank.routing.outliers import OutlierDetector
from redwingplank.routing.peers import PeerTable
from redwingplank.routing.retries import RetryBudget
from redwingplank.routing.selection import UpstreamSelector
from redwingplank.routing.settings import RouterSettings
from redwingplank.routing.upstream_rows import UpstreamRow
from redwingplank.routing.upstreams import UpstreamTable
from redwingplank.routing.waiting import AdmissionQueue

__all__ = ["Router", "make_router"]

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
# Number of times that a request may be forwarded to another entry.
MAX_HOPS = 1
# Failures that count towards the ejection of an upstream.
EJECTING_KINDS = frozenset(
    {
        FailureKind.NOT_CONNECTED,
        FailureKind.CUT,
        FailureKind.CROSSED,
        FailureKind.TIMEOUT,
        FailureKind.SERVER_ERROR,
    }
)


@dataclass(slots=True)
class _Running:
    row: UpstreamRow
    organisation: str
    service: Service
    started_s: float | None = None


class Router:
    """Admission, choice of upstream and retry budget of one entry.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the entry.

    Notes
    -----
    `decide` returns a decision at once. A request that waits gets its final decision from
    `decide_waiting`, which must be called after every call of `record_success`, `record_failure`
    and the ``set_*`` methods, and periodically. A `Route` occupies a slot until `record_success`
    or `record_failure` is called for it.
    """

    def __init__(self, settings: RouterSettings) -> None:
        generator = np.random.default_rng(settings.seed)
        self._settings = settings
        self._table = UpstreamTable(settings)
        self._selector = UpstreamSelector(settings, self._table, generator)
        self._outliers = OutlierDetector(settings)
        self._budget = RetryBudget(settings.retry_ratio, settings.retry_burst)
        self._peers = PeerTable(settings.peer_fresh_s, generator)
        self._waiting = AdmissionQueue(settings, self._selector, generator)
        self._running_by_route: dict[Route, _Running] = {}
        self._declarations = NO_DECLARATIONS

    @property
    def declarations(self) -> Declarations:
        """Declarations on which decisions are based."""
        return self._declarations

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return self._waiting.size

    @property
    def in_flight_count(self) -> int:
        """Number of routes that have neither succeeded nor failed yet."""
        return len(self._running_by_route)

    def set_declarations(self, declarations: Declarations) -> None:
        """Replace the declarations, unless the new ones have a lower revision."""
        if declarations.revision >= self._declarations.revision:
            self._declarations = declarations

    def set_upstreams(self, now_s: float, upstreams: tuple[ListedVm, ...]) -> None:
        """Update the upstreams from the platform's list, which covers all failure domains."""
        self._table.update_from_list(now_s, upstreams)

    def set_credits(self, now_s: float, credits_by_upstream: Mapping[str, int]) -> None:
        """Replace the slot credits that this entry holds."""
        self._table.set_credits(now_s, dict(credits_by_upstream))

    def set_peers(self, now_s: float, peers: Iterable[PeerLoad]) -> None:
        """Update the load reports of other entries."""
        self._peers.update_loads(now_s, peers)

    def mark_leaving(self, now_s: float, upstream: str) -> None:
        """Send no new requests to an upstream that announced that it is leaving."""
        row = self._table.rows_by_name.get(upstream)
        if row is not None:
            self._table.block(now_s, row, self._settings.leaving_s)

    def decide(self, now_s: float, request: RouteRequest) -> Decision:
        """Return where a request goes.

        Parameters
        ----------
        now_s : float
            Present time in seconds.
        request : RouteRequest
            The request; no other request with its id may be waiting.

        Returns
        -------
        Route, Shed, Forward or Wait
        """
        service = self._declarations.find_service(request.organisation, request.service)
        if service is None:
            return Shed(request.request_id, ShedReason.UNKNOWN_SERVICE, MAX_RETRY_AFTER_S)
        if request.attempt > 1 and not self._budget.try_acquire_token():
            return Shed(request.request_id, ShedReason.RETRY_BUDGET, MIN_RETRY_AFTER_S)
        if request.attempt == 1:
            self._budget.add_first_attempt()
        ahead = self._waiting.ahead_of(service)
        row = self._selector.select(now_s, request, service, ahead)
        if row is not None:
            self._waiting.charge(request, service, self._share(request.organisation))
            return self._acquire_slot(row, request, service, 0.0)
        if request.is_hedge:
            return Shed(request.request_id, ShedReason.QUEUE_FULL, MIN_RETRY_AFTER_S)
        peer = self._choose_peer(now_s, request, service, ahead)
        if peer is not None:
            return Forward(request.request_id, peer)
        return self._waiting.enqueue_or_shed(
            now_s, request, service, self._share(request.organisation)
        )

    def record_start(self, now_s: float, route: Route) -> None:
        """Record that the request of a route is being sent."""
        running = self._running_by_route.get(route)
        if running is not None:
            running.started_s = now_s

    def record_success(self, now_s: float, route: Route, *, is_sample: bool = True) -> None:
        """Free the slot of a route after its whole answer arrived.

        Parameters
        ----------
        now_s : float
            Present time in seconds.
        route : Route
            Route from `decide` or `decide_waiting`.
        is_sample : bool
            Whether the time since `record_start` is a measure of the upstream's speed; false when
            the caller was slow to read the answer.
        """
        running = self._release_slot(route)
        if running is None:
            return
        self._outliers.record_success(now_s, running.row)
        if is_sample and running.started_s is not None:
            times = self._selector.times(running.organisation, running.service)
            self._selector.speeds.record_service_time(running.row, times, now_s - running.started_s)

    def record_failure(self, now_s: float, route: Route, kind: FailureKind) -> bool:
        """Free the slot of a route that failed; return whether its upstream was ejected."""
        running = self._release_slot(route)
        if running is None:
            return False
        row = running.row
        if kind is FailureKind.NOT_CONNECTED:
            self._table.block(now_s, row, self._settings.unavailable_s)
        if kind not in EJECTING_KINDS:
            return False
        return self._outliers.record_failure(now_s, row, self._table.pool_of(row))

    def decide_waiting(self, now_s: float) -> tuple[WaitingDecision, ...]:
        """Return the decisions that can be made now for waiting requests."""
        decisions: list[WaitingDecision] = list(self._waiting.pop_shed(now_s))
        for upstream_service in self._waiting.services():
            while True:
                served = self._waiting.pop_next(now_s, upstream_service)
                if served is None:
                    break
                waiting, row = served
                waited_s = now_s - waiting.arrived_s
                decisions.append(
                    self._acquire_slot(row, waiting.request, waiting.service, waited_s)
                )
        return tuple(decisions)

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request whose caller left; return whether it was waiting."""
        return self._waiting.cancel(request_id)

    def demand_by_service(self, now_s: float) -> dict[str, ServiceDemand]:
        """Return the demand for every upstream service of the entry's own failure domain."""
        demand = {}
        for upstream_service, pool in self._table.own_pools_by_service.items():
            in_flight = sum(row.in_flight for row in pool.rows)
            usable = sum(row.usable for row in pool.rows)
            waiting = self._waiting.size_of(upstream_service)
            demand[upstream_service] = ServiceDemand(in_flight, max(0, usable - in_flight), waiting)
        return demand

    def in_flight_by_upstream(self) -> dict[str, int]:
        """Return the number of this entry's in-flight requests at each upstream."""
        return {row.name: row.in_flight for row in self._table.rows_by_name.values()}

    def _acquire_slot(
        self, row: UpstreamRow, request: RouteRequest, service: Service, waited_s: float
    ) -> Route:
        times = self._selector.times(request.organisation, service)
        hedge_after_s = float("inf")
        if service.is_hedged and service.is_idempotent and not request.is_hedge:
            hedge_after_s = times.percentile_s(self._settings.hedge_percentile)
        route = Route(
            request_id=request.request_id,
            upstream=row.name,
            address=row.address,
            expected_s=times.work_s * row.slowness,
            hedge_after_s=hedge_after_s,
            attempt=request.attempt,
            is_hedge=request.is_hedge,
            waited_s=waited_s,
        )
        self._table.acquire_slot(row)
        self._running_by_route[route] = _Running(row, request.organisation, service)
        return route

    def _share(self, organisation: str) -> int:
        declared = self._declarations.organisations_by_name.get(organisation)
        return declared.share if declared else 1

    def _choose_peer(
        self, now_s: float, request: RouteRequest, service: Service, ahead: int
    ) -> str | None:
        """Return the entry to forward a request to, None if it stays here.

        Entries of other failure domains are considered only if this failure domain is not expected
        to answer before the deadline.
        """
        if request.hops >= MAX_HOPS or request.attempt > 1:
            return None
        upstream_service = service.upstream_service
        peer = self._peers.choose_peer(now_s, upstream_service, is_own_domain=True)
        if peer is not None or self._selector.can_meet(now_s, request, service, ahead):
            return peer
        return self._peers.choose_peer(now_s, upstream_service, is_own_domain=False)

    def _release_slot(self, route: Route) -> _Running | None:
        running = self._running_by_route.pop(route, None)
        if running is not None:
            self._table.release_slot(running.row)
        return running


def make_router(settings: RouterSettings, now_s: float) -> Router:
    """Return a router without upstreams, declarations or credits.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the entry.
    now_s : float
        Present time in seconds; times in later calls must not be lower.
    """
    router = Router(settings)
    router.set_upstreams(now_s, ())
    return router
