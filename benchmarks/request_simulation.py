"""Simulation of one entry that routes requests to upstreams of different speeds."""

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
SERVICE_TIME_SIGMA = 0.5  # of the lognormal distribution of service times


@dataclass(frozen=True)
class RequestKind:
    """One declared service of the load.

    Parameters
    ----------
    name : str
        Name of the service.
    deadline_class : DeadlineClass
        Deadline class of the service.
    work_s : float
        Mean service time in seconds at an upstream with a slowdown factor of 1.
    timeout_s : float
        Seconds after which the caller gives up.
    part : float
        Fraction of all requests that are of this kind.
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
    """The requests that callers send.

    Parameters
    ----------
    load : float
        Offered work divided by the capacity of the upstreams.
    duration_s : float
        Seconds during which requests arrive.
    kinds : tuple of RequestKind
        The declared services, with their fractions of the requests.
    slowdown_factors : tuple of float
        Slowdown factor of each upstream; service times are multiplied by it.
    max_tries : int
        Maximum number of attempts of a caller whose request is shed.
    are_callers_patient : bool
        Whether callers wait for the requested time before they retry, instead of 10 ms.
    """

    load: float
    duration_s: float = 60.0
    kinds: tuple[RequestKind, ...] = QUOTES_AND_ESTIMATES
    slowdown_factors: tuple[float, ...] = (0.5, 0.5, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0)
    max_tries: int = 1
    are_callers_patient: bool = True

    def work_s(self) -> float:
        """Return the mean service time of a request in seconds, at a slowdown factor of 1."""
        return sum(kind.part * kind.work_s for kind in self.kinds)

    def capacity_per_s(self) -> float:
        """Return the number of requests per second that the upstreams can serve."""
        return (
            sum(SLOTS / slowdown_factor for slowdown_factor in self.slowdown_factors)
            / self.work_s()
        )


@dataclass
class SimulationResult:
    """Times and counts of the requests of a simulation; times are grouped by service name.

    Parameters
    ----------
    waits_s : dict of str to list of float
        Seconds from the arrival of a request to its start at an upstream.
    answers_s : dict of str to list of float
        Seconds from the arrival of a request to its answer.
    counts : Counter
        Requests by ``"answered"``, ``"answered_in_run"``, ``"late"``, ``"given_up"`` and
        ``"tries"``.
    max_in_flight : int
        Highest number of concurrent requests at one upstream.
    """

    waits_s: dict[str, list[float]] = field(default_factory=dict)
    answers_s: dict[str, list[float]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    max_in_flight: int = 0

    def percentile_s(self, values_by_name: Mapping[str, list[float]], name: str, p: float) -> float:
        """Return a percentile between 0 and 100 of a service's times in seconds."""
        values = values_by_name.get(name)
        return float(np.percentile(values, p)) if values else float("inf")


@dataclass
class _Caller:
    kind: RequestKind
    request_id: str
    arrived_s: float
    tries: int = 0


class RequestSimulation:
    """Runs a load through a router on a fake clock.

    Parameters
    ----------
    offered : RequestLoad
        The requests and the upstreams.
    policy : str
        Routing policy of the router.
    seed : int
        Seed of the router, the arrivals and the service times.
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
        self._router.set_upstreams(0.0, upstream_vms(len(offered.slowdown_factors)))
        self._slowdown_factors_by_name = {
            vm.name: slowdown_factor
            for vm, slowdown_factor in zip(
                upstream_vms(len(offered.slowdown_factors)), offered.slowdown_factors, strict=True
            )
        }

    def run(self) -> SimulationResult:
        """Run the simulation until all requests are finished and return the result."""
        self._schedule_arrivals()
        self._schedule(0.0, "release", None)
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            if kind == "arrive":
                self._submit(now_s, subject)
            elif kind == "answer":
                self._answer(now_s, subject)
            else:
                self._tick(now_s)
        return self.result

    def _schedule(self, at_s: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), kind, subject))

    def _schedule_arrivals(self) -> None:
        rate_per_s = self._offered.load * self._offered.capacity_per_s()
        kinds = self._offered.kinds
        parts = [kind.part for kind in kinds]
        at_s = 0.0
        while at_s < self._offered.duration_s:
            at_s += float(self._random.exponential(1.0 / rate_per_s))
            kind = kinds[int(self._random.choice(len(kinds), p=parts))]
            self._schedule(at_s, "arrive", _Caller(kind, f"r{next(self._numbers)}", at_s))

    def _submit(self, now_s: float, caller: _Caller) -> None:
        caller.tries += 1
        self.result.counts["tries"] += 1
        request_id = f"{caller.request_id}.{caller.tries}"
        self._callers_by_id[request_id] = caller
        deadline_s = caller.arrived_s + caller.kind.timeout_s
        request = RouteRequest(request_id, ORGANISATION, caller.kind.name, deadline_s)
        self._apply_decision(now_s, self.decide(now_s, request))

    def _apply_decision(self, now_s: float, decision: Decision) -> None:
        if isinstance(decision, Route):
            self._send(now_s, decision)
        elif isinstance(decision, Shed):
            self._retry_or_give_up(now_s, decision)

    def _send(self, now_s: float, route: Route) -> None:
        caller = self._callers_by_id[route.request_id]
        self._router.record_start(now_s, route)
        self._in_flight[route.upstream] += 1
        self.result.max_in_flight = max(self.result.max_in_flight, self._in_flight[route.upstream])
        waits = self.result.waits_s.setdefault(caller.kind.name, [])
        waits.append(now_s - caller.arrived_s)
        noise = self._random.lognormal(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)
        service_s = (
            caller.kind.work_s * self._slowdown_factors_by_name[route.upstream] * float(noise)
        )
        answer_at_s = min(now_s + service_s, caller.arrived_s + caller.kind.timeout_s)
        self._schedule(answer_at_s, "answer", (route, answer_at_s == now_s + service_s))

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

    def _retry_or_give_up(self, now_s: float, shed: Shed) -> None:
        caller = self._callers_by_id.pop(shed.request_id)
        delay_s = shed.retry_after_s if self._offered.are_callers_patient else 0.01
        is_useful = now_s + delay_s < caller.arrived_s + caller.kind.timeout_s
        if caller.tries < self._offered.max_tries and is_useful:
            self._schedule(now_s + delay_s, "arrive", caller)
        else:
            self.result.counts["given_up"] += 1

    def _release(self, now_s: float) -> None:
        for decision in self._router.decide_waiting(now_s):
            self._apply_decision(now_s, decision)

    def _tick(self, now_s: float) -> None:
        self._release(now_s)
        if now_s < self._offered.duration_s or self._router.waiting_count:
            self._schedule(now_s + RELEASE_INTERVAL_S, "release", None)


def upstream_vms(count: int) -> tuple[ListedVm, ...]:
    """Return entries of the platform's VM list for a number of upstreams."""
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
    """Return declarations of the services that a load uses."""
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
