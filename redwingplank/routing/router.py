"""Decides where each request goes; does no input or output."""

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
MAX_HOPS = 1
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
        Of the entry.

    Notes
    -----
    `decide` answers at once; a request that waits gets its decision from `release`, which has to
    be called after every `finished`, `failed` and ``set_*``, and from time to time. A `Route`
    takes a slot until `finished` or `failed` is called for it.
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
        """The declarations that decisions are made by."""
        return self._declarations

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return self._waiting.size

    @property
    def in_flight_count(self) -> int:
        """Number of routes that neither finished nor failed yet."""
        return len(self._running_by_route)

    def set_declarations(self, declarations: Declarations) -> None:
        """Take new declarations; lower revisions are ignored."""
        if declarations.revision >= self._declarations.revision:
            self._declarations = declarations

    def set_upstreams(self, now_s: float, upstreams: tuple[ListedVm, ...]) -> None:
        """Take the platform's list of upstreams, of all failure domains."""
        self._table.update_from_list(now_s, upstreams)

    def set_credits(self, now_s: float, credits_by_upstream: Mapping[str, int]) -> None:
        """Take the slot credits that this entry holds now."""
        self._table.set_credits(now_s, dict(credits_by_upstream))

    def set_peers(self, now_s: float, peers: Iterable[PeerLoad]) -> None:
        """Take what other entries said of their load."""
        self._peers.update_loads(now_s, peers)

    def mark_leaving(self, now_s: float, upstream: str) -> None:
        """Send nothing new to an upstream that said that it leaves."""
        row = self._table.rows_by_name.get(upstream)
        if row is not None:
            self._table.block(now_s, row, self._settings.leaving_s)

    def decide(self, now_s: float, request: RouteRequest) -> Decision:
        """Return where a request goes.

        Parameters
        ----------
        now_s : float
            The present time.
        request : RouteRequest
            The request; its id must not be waiting already.

        Returns
        -------
        Route, Shed, HandOn or Wait
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
            return self._take_slot(row, request, service, 0.0)
        if request.is_hedge:
            return Shed(request.request_id, ShedReason.QUEUE_FULL, MIN_RETRY_AFTER_S)
        peer = self._peer_for(now_s, request, service, ahead)
        if peer is not None:
            return Forward(request.request_id, peer)
        return self._waiting.enqueue_or_shed(
            now_s, request, service, self._share(request.organisation)
        )

    def record_start(self, now_s: float, route: Route) -> None:
        """Note that the request is being sent."""
        running = self._running_by_route.get(route)
        if running is not None:
            running.started_s = now_s

    def record_success(self, now_s: float, route: Route, *, is_sample: bool = True) -> None:
        """Free the slot of a route after its whole answer arrived.

        Parameters
        ----------
        now_s : float
            The present time.
        route : Route
            From `decide` or `release`.
        is_sample : bool
            Whether the time since `started` tells of the upstream's speed; false when the caller
            was slow to take the answer.
        """
        running = self._free(route)
        if running is None:
            return
        self._outliers.record_success(now_s, running.row)
        if is_sample and running.started_s is not None:
            times = self._selector.times(running.organisation, running.service)
            self._selector.speeds.learn(running.row, times, now_s - running.started_s)

    def record_failure(self, now_s: float, route: Route, kind: FailureKind) -> bool:
        """Free the slot of a route that failed; return whether its upstream was ejected."""
        running = self._free(route)
        if running is None:
            return False
        row = running.row
        if kind is FailureKind.NOT_CONNECTED:
            self._table.block(now_s, row, self._settings.unavailable_s)
        if kind not in EJECTING_KINDS:
            return False
        return self._outliers.record_failure(now_s, row, self._table.pool_of(row))

    def decide_waiting(self, now_s: float) -> tuple[WaitingDecision, ...]:
        """Return the decisions of waiting requests that can be made now."""
        released: list[WaitingDecision] = list(self._waiting.pop_shed(now_s))
        for upstream_service in self._waiting.services():
            while True:
                served = self._waiting.pop_next(now_s, upstream_service)
                if served is None:
                    break
                waiting, row = served
                waited_s = now_s - waiting.arrived_s
                released.append(self._take_slot(row, waiting.request, waiting.service, waited_s))
        return tuple(released)

    def cancel(self, request_id: str) -> bool:
        """Forget a waiting request whose caller left; return whether it waited."""
        return self._waiting.cancel(request_id)

    def demand_by_service(self, now_s: float) -> dict[str, ServiceDemand]:
        """Return use and want of every upstream service in the own failure domain."""
        demand = {}
        for upstream_service, pool in self._table.own_pools_by_service.items():
            in_flight = sum(row.in_flight for row in pool.rows)
            usable = sum(row.usable for row in pool.rows)
            waiting = self._waiting.size_of(upstream_service)
            demand[upstream_service] = ServiceDemand(in_flight, max(0, usable - in_flight), waiting)
        return demand

    def in_flight_by_upstream(self) -> dict[str, int]:
        """Return this entry's requests at each upstream."""
        return {row.name: row.in_flight for row in self._table.rows_by_name.values()}

    def _take_slot(
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
        self._table.take_slot(row)
        self._running_by_route[route] = _Running(row, request.organisation, service)
        return route

    def _share(self, organisation: str) -> int:
        found = self._declarations.organisations_by_name.get(organisation)
        return found.share if found else 1

    def _peer_for(
        self, now_s: float, request: RouteRequest, service: Service, ahead: int
    ) -> str | None:
        if request.hops >= MAX_HOPS or request.attempt > 1:
            return None
        upstream_service = service.upstream_service
        peer = self._peers.choose_peer(now_s, upstream_service, is_own_domain=True)
        if peer is not None or self._selector.can_meet(now_s, request, service, ahead):
            return peer
        return self._peers.choose_peer(now_s, upstream_service, is_own_domain=False)

    def _free(self, route: Route) -> _Running | None:
        running = self._running_by_route.pop(route, None)
        if running is not None:
            self._table.free_slot(running.row)
        return running


def make_router(settings: RouterSettings, now_s: float) -> Router:
    """Return a router without upstreams, declarations or credits.

    Parameters
    ----------
    settings : RouterSettings
        Of the entry.
    now_s : float
        The present time; times that the router is given later must not be lower.
    """
    router = Router(settings)
    router.set_upstreams(now_s, ())
    return router
