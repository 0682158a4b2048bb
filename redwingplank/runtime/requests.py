"""Proxy of an entry: sends callers' requests to upstreams and returns the answers."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from redwingplank.config import Service, WorkloadKind
from redwingplank.core import Clock, Logger, make_logger
from redwingplank.platform import (
    OutcomeUnknownError,
    UnavailableError,
    UpstreamClient,
    UpstreamRequest,
)
from redwingplank.platform.upstreams import REQUEST_ID_SEPARATOR
from redwingplank.routing import (
    CallerAnswer,
    CallerRequest,
    Forward,
    Problem,
    Ran,
    Router,
    RouteRequest,
    Shed,
    ShedReason,
)
from redwingplank.runtime.orders import OrderRegistry
from redwingplank.runtime.requests_answers import (
    make_failure_answer,
    make_rejection_answer,
    make_upstream_answer,
    problem_answer,
)
from redwingplank.runtime.requests_attempt import AttemptLimits
from redwingplank.runtime.requests_body import AnswerCutError, SlowCallerError
from redwingplank.runtime.requests_entries import EntryClient, NoEntryClient
from redwingplank.runtime.requests_orders import ForwardFunction, OrderRunner
from redwingplank.runtime.requests_routes import RouteSource
from redwingplank.runtime.requests_run import RequestFailure, RequestRun, RequestRunner

__all__ = [
    "AnswerCutError",
    "CallerAnswer",
    "CallerRequest",
    "Problem",
    "ProxySettings",
    "Ran",
    "RequestProxy",
    "SlowCallerError",
    "make_request_proxy",
]

STOPPING_RETRY_AFTER_S = 0.1
MAX_HOPS = 1  # the router does not forward a request with this many hops again


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings of a `RequestProxy`.

    Parameters
    ----------
    entry : str
        Name of this entry; part of the request ids that are sent to upstreams.
    incarnation : str
        Identifies one lifetime of the process; it differs after each restart and keeps request
        ids unique.
    limits : AttemptLimits
        Limits of each attempt at an upstream.
    """

    entry: str = "entry-1"
    incarnation: str = "0"
    limits: AttemptLimits = field(default_factory=AttemptLimits)


class RequestProxy:
    """Handles the requests that callers send to this entry.

    Parameters
    ----------
    router : Router
        Chooses an upstream for each request. The caller of `make_request_proxy` keeps the
        router's inputs up to date and calls `wake_waiting` after each change.
    client : UpstreamClient
        Sends requests to upstreams.
    orders : OrderRegistry
        Registry of orders, the requests that run at most once.
    clock : Clock
        Source of the current time.
    entries : EntryClient
        Forwards requests to other entries.
    settings : ProxySettings
        Name of this entry and limits of attempts.
    logger : Logger
        Receives one line for each decision.
    """

    def __init__(
        self,
        router: Router,
        client: UpstreamClient,
        orders: OrderRegistry,
        clock: Clock,
        entries: EntryClient,
        settings: ProxySettings,
        logger: Logger,
    ) -> None:
        self._router = router
        self._clock = clock
        self._entries = entries
        self._settings = settings
        self._routes = RouteSource(router, clock, logger)
        self._runner = RequestRunner(
            router, self._routes, client, clock, settings.limits, self._check_drained
        )
        self._orders = OrderRunner(orders, self._runner, clock, settings.entry, self._check_drained)
        self._request_numbers = itertools.count(1)
        self._open_call_count = 0
        self._is_stopping = False
        self._drained = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether new requests are rejected and callers' connections should be closed."""
        return self._is_stopping

    async def handle(self, call: CallerRequest, body: bytes) -> CallerAnswer:
        """Return the answer to a caller's request.

        Parameters
        ----------
        call : CallerRequest
            The request without its body.
        body : bytes
            Body of the request.

        Returns
        -------
        CallerAnswer
            Expected failures are returned as answers too. A streamed body must be read to its
            end or closed with ``aclose``.
        """
        if self._is_stopping:
            detail = "this entry is stopping; open a new connection"
            return problem_answer(503, Ran.NO, "stopping", detail, STOPPING_RETRY_AFTER_S)
        service = self._router.declarations.find_service(call.organisation, call.service)
        if service is None or service.kind is not WorkloadKind.REQUEST:
            shed = Shed(call.request_id, ShedReason.UNKNOWN_SERVICE, 0.0)
            return make_rejection_answer(shed)
        self._open_call_count += 1
        try:
            return await self._serve(call, body, service)
        finally:
            self._open_call_count -= 1
            self._check_drained()

    def wake_waiting(self) -> None:
        """Decide on waiting requests again after the router's inputs have changed."""
        self._routes.release()

    def begin_stop(self) -> None:
        """Reject new requests; those that were accepted run to completion."""
        self._is_stopping = True
        self._check_drained()

    async def drained(self) -> None:
        """Return once `begin_stop` was called and no request is in flight."""
        await self._drained.wait()

    async def _serve(self, call: CallerRequest, body: bytes, service: Service) -> CallerAnswer:
        run = self._make_run(call, body, service)
        if call.idempotency_key is not None:
            return await self._orders.run_order(
                run, call.idempotency_key, self._make_forwarder(call, body)
            )
        decision = await self._runner.obtain(run)
        if isinstance(decision, Shed):
            return make_rejection_answer(decision)
        if isinstance(decision, Forward):
            return await self._make_forwarder(call, body)(run, decision)
        result = await self._runner.run_request(run, decision)
        return (
            make_failure_answer(result)
            if isinstance(result, RequestFailure)
            else make_upstream_answer(result)
        )

    def _make_run(self, call: CallerRequest, body: bytes, service: Service) -> RequestRun:
        timeout_s = service.request_timeout_s
        if call.deadline_ms is not None:
            timeout_s = min(timeout_s, call.deadline_ms / 1000)
        unique_id = (
            f"{call.request_id}{REQUEST_ID_SEPARATOR}{self._settings.entry}.{self._settings.incarnation}."
            f"{next(self._request_numbers)}"
        )
        headers = dict(call.headers)
        if call.idempotency_key is not None:
            headers["idempotency-key"] = call.idempotency_key
        return RequestRun(
            RouteRequest(
                request_id=unique_id,
                organisation=call.organisation,
                service=call.service,
                deadline_s=self._clock.now_s() + timeout_s,
                hops=call.hops,
            ),
            UpstreamRequest(unique_id, call.organisation, service.upstream_service, body, headers),
            max_attempts=service.max_attempts,
            is_repeatable=service.is_idempotent and call.idempotency_key is None,
        )

    def _make_forwarder(self, call: CallerRequest, body: bytes) -> ForwardFunction:
        async def forward(run: RequestRun, decision: Forward) -> CallerAnswer:
            remaining_s = max(0.001, run.route_request.deadline_s - self._clock.now_s())
            forwarded = replace(
                call, hops=call.hops + 1, deadline_ms=max(1, int(remaining_s * 1000))
            )
            try:
                return await self._entries.forward_request(
                    decision.entry, forwarded, body, remaining_s
                )
            except UnavailableError:
                return await self._serve_here(call, body, remaining_s)
            except OutcomeUnknownError as error:
                return problem_answer(502, Ran.UNKNOWN, "entry_lost", str(error))

        return forward

    async def _serve_here(
        self, call: CallerRequest, body: bytes, remaining_s: float
    ) -> CallerAnswer:
        local = replace(call, hops=MAX_HOPS, deadline_ms=max(1, int(remaining_s * 1000)))
        service = self._router.declarations.find_service(call.organisation, call.service)
        if service is None:
            return make_rejection_answer(Shed(call.request_id, ShedReason.UNKNOWN_SERVICE, 0.0))
        return await self._serve(local, body, service)

    def _check_drained(self) -> None:
        is_idle = not (
            self._open_call_count or self._runner.open_attempts or self._orders.open_order_count
        )
        if self._is_stopping and is_idle:
            self._drained.set()


def make_request_proxy(
    router: Router,
    upstream_client: UpstreamClient,
    orders: OrderRegistry,
    clock: Clock,
    *,
    entries: EntryClient | None = None,
    settings: ProxySettings | None = None,
    logger: Logger | None = None,
) -> RequestProxy:
    """Build a request proxy around a router.

    Parameters
    ----------
    router : Router
        Chooses an upstream for each request.
    upstream_client : UpstreamClient
        Sends requests to upstreams.
    orders : OrderRegistry
        Registry of orders, the requests that run at most once.
    clock : Clock
        Clock by which the router's other inputs are timed as well.
    entries : EntryClient, optional
        Forwards requests to other entries; without it every request is served here.
    settings : ProxySettings, optional
        Name of this entry and limits of attempts.
    logger : Logger, optional
        Receives one line for each decision.
    """
    return RequestProxy(
        router,
        upstream_client,
        orders,
        clock,
        entries or NoEntryClient(),
        settings or ProxySettings(),
        logger or make_logger("requests"),
    )
