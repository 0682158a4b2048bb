"""Selection of an upstream for a request, and prediction of waiting times."""

import numpy as np

from redwingplank.config import DeadlineClass, Service
from redwingplank.routing.choice import Candidates, make_choice_policy
from redwingplank.routing.messages import RouteRequest
from redwingplank.routing.pools import UpstreamPool
from redwingplank.routing.service_times import ServiceTimes, SpeedModel
from redwingplank.routing.settings import RouterSettings
from redwingplank.routing.upstream_rows import UpstreamRow
from redwingplank.routing.upstreams import UpstreamTable

__all__ = ["UpstreamSelector"]

# Predicted wait in seconds while no slot can be used, for example before the first credits.
CREDITS_EXPECTED_WITHIN_S = 0.1


class UpstreamSelector:
    """Selects an upstream of the entry's own failure domain, otherwise one of another domain.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the entry.
    table : UpstreamTable
        Table of the upstreams.
    generator : numpy.random.Generator
        Source of random numbers.
    """

    def __init__(
        self, settings: RouterSettings, table: UpstreamTable, generator: np.random.Generator
    ) -> None:
        self._settings = settings
        self._table = table
        self._policy = make_choice_policy(settings.policy, generator)
        self.speeds = SpeedModel(settings.default_service_time_s)

    def times(self, organisation: str, service: Service) -> ServiceTimes:
        """Return the learnt service times of a declared service."""
        return self.speeds.times(organisation, service.name, service.upstream_service)

    def select(
        self, now_s: float, request: RouteRequest, service: Service, ahead: int
    ) -> UpstreamRow | None:
        """Return an upstream with a free slot for the request, or None if it has to wait.

        Parameters
        ----------
        now_s : float
            Present time in seconds.
        request : RouteRequest
            Request to send.
        service : Service
            Declaration of its service.
        ahead : int
            Number of waiting requests that are served before this one.
        """
        own = self._table.own_pool(service.upstream_service)
        if own is not None:
            row = self._select_in(now_s, request, service, own, ahead)
            if row is not None:
                return row
        other = self._table.other_pool(service.upstream_service)
        if other is None or self.can_meet(now_s, request, service, ahead):
            return None
        return self._select_in(now_s, request, service, other, 0)

    def predicted_wait_s(self, now_s: float, service: Service, ahead: int) -> float:
        """Return the expected wait for a slot of the own failure domain, in seconds.

        Notes
        -----
        It is 0 until an answer was measured, so that no request is shed because of an assumed
        service time.
        """
        pool = self._table.own_pool(service.upstream_service)
        speed = pool.speed if pool else 0.0
        if not speed:
            return CREDITS_EXPECTED_WITHIN_S
        if not self.speeds.is_measured(service.upstream_service):
            return 0.0
        return (ahead + 1) * self.speeds.mix_work_s(service.upstream_service) / speed

    def expected_service_s(self, organisation: str, service: Service) -> float:
        """Return the expected service time in seconds at the fastest upstream of the own domain.

        It is 0 until an answer of the service was measured.
        """
        pool = self._table.own_pool(service.upstream_service)
        slowness = pool.rows[0].slowness if pool and pool.rows else 1.0
        times = self.times(organisation, service)
        return times.work_s * slowness if times.samples else 0.0

    def can_meet(self, now_s: float, request: RouteRequest, service: Service, ahead: int) -> bool:
        """Return whether the own failure domain is expected to answer before the deadline."""
        wait_s = self.predicted_wait_s(now_s, service, ahead)
        needed_s = wait_s + self.expected_service_s(request.organisation, service)
        return now_s + needed_s <= request.deadline_s

    def usable_after_s(self, now_s: float, upstream_service: str) -> float:
        """Return the seconds until an upstream of the own failure domain accepts requests."""
        pool = self._table.own_pool(upstream_service)
        return pool.usable_after_s(now_s) if pool else float("inf")

    def has_free(self, now_s: float, upstream_service: str) -> bool:
        """Return whether an upstream of the own failure domain has a free slot."""
        pool = self._table.own_pool(upstream_service)
        if pool is None:
            return False
        self._refresh(now_s, upstream_service, pool)
        return pool.has_free()

    def _refresh(self, now_s: float, upstream_service: str, pool: UpstreamPool) -> None:
        if pool.is_due(now_s):
            self.speeds.normalise(upstream_service, pool)
            pool.refresh(now_s)

    def _select_in(
        self,
        now_s: float,
        request: RouteRequest,
        service: Service,
        pool: UpstreamPool,
        ahead: int,
    ) -> UpstreamRow | None:
        self._refresh(now_s, service.upstream_service, pool)
        is_last_resort = len(request.excluded) >= len(pool.rows)
        candidates = Candidates(
            pool=pool,
            prefers_slow=service.deadline_class is DeadlineClass.BULK,
            remaining_s=request.deadline_s - now_s,
            work_s=self.times(request.organisation, service).work_s,
            mix_work_s=self.speeds.mix_work_s(service.upstream_service),
            ahead=ahead,
            excluded=frozenset() if is_last_resort else request.excluded,
        )
        return self._policy.choose_upstream(candidates)
