"""Requests of one entry against upstreams of unlike speed, on a fake clock."""

import heapq
import itertools
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import numpy as np

from redwingplank.config import DeadlineClass, Declarations, Organisation, Service, WorkloadKind
from redwingplank.platform import ListedVm, VmRole
from redwingplank.routing import (
    Decision,
    FailureKind,
    Route,
    RouteRequest,
    RouterSettings,
    Shed,
    make_router,
)

__all__ = [
    "ONLY_QUOTES",
    "QUOTES_AND_ESTIMATES",
    "RequestKind",
    "RequestLoad",
    "RequestSimulation",
    "SimulationResult",
    "declare",
    "upstream_vms",
]

UPSTREAM_SERVICE = "quoter"
DOMAIN = "hokkaido-1"
ORGANISATION = "cooperative"
SLOTS = 8
RELEASE_INTERVAL_S = 0.01
SERVICE_TIME_SIGMA = 0.5


@dataclass(frozen=True)
class RequestKind:
    """One declared service of the load.

    Parameters
    ----------
    name : str
        Its name.
    deadline_class : DeadlineClass
        Of the service.
    work_s : float
        Mean service time at an upstream of slowness 1, in seconds.
    timeout_s : float
        Seconds until the caller gives up.
    part : float
        Of all requests.
    """

    name: str
    deadline_class: DeadlineClass
    work_s: float
    timeout_s: float
    part: float


QUOTES_AND_ESTIMATES = (
    RequestKind("quick", DeadlineClass.URGENT, 0.05, 2.0, 0.8),
    RequestKind("estimate", DeadlineClass.BULK, 0.4, 30.0, 0.2),
)
ONLY_QUOTES = (RequestKind("quick", DeadlineClass.URGENT, 0.05, 1.0, 1.0),)


@dataclass(frozen=True)
class RequestLoad:
    """What is offered.

    Parameters
    ----------
    load : float
        Offered work over the upstreams' capacity.
    duration_s : float
        Seconds of arrivals.
    kinds : tuple of RequestKind
        The declared services.
    slownesses : tuple of float
        Of each upstream.
    max_tries : int
        How often a caller tries when it is told that its request did not run.
    are_callers_patient : bool
        Whether callers wait for the time that they are told to.
    """

    load: float
    duration_s: float = 60.0
    kinds: tuple[RequestKind, ...] = QUOTES_AND_ESTIMATES
    slownesses: tuple[float, ...] = (0.5, 0.5, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0)
    max_tries: int = 1
    are_callers_patient: bool = True

    def work_s(self) -> float:
        """Return the mean work of a request."""
        return sum(kind.part * kind.work_s for kind in self.kinds)

    def capacity_per_s(self) -> float:
        """Return how many requests a second the upstreams can serve."""
        return sum(SLOTS / slowness for slowness in self.slownesses) / self.work_s()


@dataclass
class SimulationResult:
    """What came of the requests, by name of the service.

    Parameters
    ----------
    waits_s : dict of str to list of float
        From the caller's first try to the start at an upstream.
    answers_s : dict of str to list of float
        From the caller's first try to the answer.
    counts : Counter
        Requests by ``"answered"``, ``"answered_in_run"``, ``"late"``, ``"given_up"`` and
        ``"tries"``.
    max_in_flight : int
        Most requests at one upstream.
    """

    waits_s: dict[str, list[float]] = field(default_factory=dict)
    answers_s: dict[str, list[float]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    max_in_flight: int = 0

    def percentile_s(self, values_by_name: Mapping[str, list[float]], name: str, p: float) -> float:
        """Return a percentile, 0 to 100, of a service's times in seconds."""
        values = values_by_name.get(name)
        return float(np.percentile(values, p)) if values else float("inf")


@dataclass
class _Caller:
    kind: RequestKind
    request_id: str
    arrived_s: float
    tries: int = 0


class RequestSimulation:
    """Runs a load through a router.

    Parameters
    ----------
    offered : RequestLoad
        The load.
    policy : str
        Of the router.
    seed : int
        Of arrivals and service times.
    """

    def __init__(self, offered: RequestLoad, policy: str, seed: int = 1) -> None:
        self.result = SimulationResult()
        self._offered = offered
        self._random = np.random.default_rng(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str, object]] = []
        self._callers_by_id: dict[str, _Caller] = {}
        self._in_flight: Counter[str] = Counter()
        settings = RouterSettings(failure_domain=DOMAIN, policy=policy, seed=seed)
        self._router = make_router(settings, 0.0)
        self.decide = self._router.decide
        self._router.set_declarations(declare(offered))
        self._router.set_upstreams(0.0, upstream_vms(len(offered.slownesses)))
        self._slowness_by_name = {
            vm.name: slowness
            for vm, slowness in zip(
                upstream_vms(len(offered.slownesses)), offered.slownesses, strict=True
            )
        }

    def run(self) -> SimulationResult:
        """Offer the load and return what came of it."""
        self._plan_arrivals()
        self._plan(0.0, "release", None)
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            if kind == "arrive":
                self._ask(now_s, subject)
            elif kind == "answer":
                self._answer(now_s, subject)
            else:
                self._tick(now_s)
        return self.result

    def _plan(self, at_s: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), kind, subject))

    def _plan_arrivals(self) -> None:
        rate_per_s = self._offered.load * self._offered.capacity_per_s()
        kinds = self._offered.kinds
        parts = [kind.part for kind in kinds]
        at_s = 0.0
        while at_s < self._offered.duration_s:
            at_s += float(self._random.exponential(1.0 / rate_per_s))
            kind = kinds[int(self._random.choice(len(kinds), p=parts))]
            self._plan(at_s, "arrive", _Caller(kind, f"r{next(self._numbers)}", at_s))

    def _ask(self, now_s: float, caller: _Caller) -> None:
        caller.tries += 1
        self.result.counts["tries"] += 1
        request_id = f"{caller.request_id}.{caller.tries}"
        self._callers_by_id[request_id] = caller
        deadline_s = caller.arrived_s + caller.kind.timeout_s
        request = RouteRequest(request_id, ORGANISATION, caller.kind.name, deadline_s)
        self._take(now_s, self.decide(now_s, request))

    def _take(self, now_s: float, decision: Decision) -> None:
        if isinstance(decision, Route):
            self._send(now_s, decision)
        elif isinstance(decision, Shed):
            self._try_again(now_s, decision)

    def _send(self, now_s: float, route: Route) -> None:
        caller = self._callers_by_id[route.request_id]
        self._router.record_start(now_s, route)
        self._in_flight[route.upstream] += 1
        self.result.max_in_flight = max(self.result.max_in_flight, self._in_flight[route.upstream])
        waits = self.result.waits_s.setdefault(caller.kind.name, [])
        waits.append(now_s - caller.arrived_s)
        noise = self._random.lognormal(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)
        service_s = caller.kind.work_s * self._slowness_by_name[route.upstream] * float(noise)
        ends_s = min(now_s + service_s, caller.arrived_s + caller.kind.timeout_s)
        self._plan(ends_s, "answer", (route, ends_s == now_s + service_s))

    def _answer(self, now_s: float, subject: tuple[Route, bool]) -> None:
        route, is_in_time = subject
        caller = self._callers_by_id.pop(route.request_id)
        self._in_flight[route.upstream] -= 1
        if is_in_time:
            self._router.record_success(now_s, route)
            self.result.counts["answered"] += 1
            self.result.counts["answered_in_run"] += now_s <= self._offered.duration_s
            answers = self.result.answers_s.setdefault(caller.kind.name, [])
            answers.append(now_s - caller.arrived_s)
        else:
            self._router.record_failure(now_s, route, FailureKind.TIMEOUT)
            self.result.counts["late"] += 1
        self._release(now_s)

    def _try_again(self, now_s: float, shed: Shed) -> None:
        caller = self._callers_by_id.pop(shed.request_id)
        delay_s = shed.retry_after_s if self._offered.are_callers_patient else 0.01
        is_useful = now_s + delay_s < caller.arrived_s + caller.kind.timeout_s
        if caller.tries < self._offered.max_tries and is_useful:
            self._plan(now_s + delay_s, "arrive", caller)
        else:
            self.result.counts["given_up"] += 1

    def _release(self, now_s: float) -> None:
        for decision in self._router.decide_waiting(now_s):
            self._take(now_s, decision)

    def _tick(self, now_s: float) -> None:
        self._release(now_s)
        if now_s < self._offered.duration_s or self._router.waiting_count:
            self._plan(now_s + RELEASE_INTERVAL_S, "release", None)


def upstream_vms(count: int) -> tuple[ListedVm, ...]:
    """Return rows of the platform's list for a number of upstreams."""
    return tuple(
        ListedVm(
            f"upstream-{number}",
            VmRole.UPSTREAM,
            DOMAIN,
            f"rack-{number // SLOTS}",
            f"10.0.{number // 250}.{number % 250 + 1}:80",
            service=UPSTREAM_SERVICE,
            slots=SLOTS,
        )
        for number in range(count)
    )


def declare(offered: RequestLoad) -> Declarations:
    """Return the declarations of a load's services."""
    services = {
        kind.name: Service(
            kind.name,
            "quotes",
            WorkloadKind.REQUEST,
            upstream_service=UPSTREAM_SERVICE,
            deadline_class=kind.deadline_class,
            request_timeout_s=kind.timeout_s,
        )
        for kind in offered.kinds
    }
    return Declarations(1, {ORGANISATION: Organisation(ORGANISATION, 100, None, services)})
