"""Requests with an ``Idempotency-Key``, which run at most once.

An order is sent only after the registry responsible for its key has granted the claim.
"""

import asyncio
from collections.abc import Awaitable, Callable

import xxhash

from redwingplank.core import Clock
from redwingplank.routing import CallerAnswer, Forward, Ran, Route, Shed
from redwingplank.routing.orders import (
    ClaimAnswer,
    ClaimOutcome,
    OrderClaim,
    OrderEnd,
    OrderKey,
    OrderReport,
    StoredAnswer,
)
from redwingplank.runtime.orders import OrderRegistry, OrderRegistryUnreachableError
from redwingplank.runtime.requests_answers import (
    claim_problem,
    make_failure_answer,
    make_rejection_answer,
    make_upstream_answer,
    problem_answer,
    stored_answer,
)
from redwingplank.runtime.requests_attempt import AttemptAnswer
from redwingplank.runtime.requests_run import RequestFailure, RequestRun, RequestRunner

__all__ = ["ForwardFunction", "OrderRunner"]

ForwardFunction = Callable[[RequestRun, Forward], Awaitable[CallerAnswer]]

CLAIM_ATTEMPTS = 3
REPORT_ATTEMPTS = 5
RETRY_DELAY_S = 0.05
REGISTRY_RETRY_AFTER_S = 1.0
MIN_REMAINING_S = 0.001


class OrderRunner:
    """Claims an order at its registry before sending it and reports the outcome.

    Parameters
    ----------
    registry : OrderRegistry
        Grants claims and stores outcomes.
    runner : RequestRunner
        Sends requests to upstreams.
    clock : Clock
        Source of the current time.
    entry : str
        Name of this entry, recorded with each claim.
    on_end : callable
        Called whenever an order's run or the report of its outcome is done.

    Notes
    -----
    An order that was sent keeps running when its caller disconnects, so that its answer is stored
    for a repeat.
    """

    def __init__(
        self,
        registry: OrderRegistry,
        runner: RequestRunner,
        clock: Clock,
        entry: str,
        on_end: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._runner = runner
        self._clock = clock
        self._entry = entry
        self._on_end = on_end
        self._tasks: set[asyncio.Task[CallerAnswer]] = set()
        self._report_tasks: set[asyncio.Task[None]] = set()

    @property
    def open_order_count(self) -> int:
        """Number of runs and reports that are still in progress."""
        return len(self._tasks) + len(self._report_tasks)

    async def run_order(self, run: RequestRun, key: str, forward: ForwardFunction) -> CallerAnswer:
        """Return the answer of the order's first run, which may be this one."""
        claim = self._make_claim(run, key)
        try:
            known = await self._registry.query_order(claim)
        except OrderRegistryUnreachableError as error:
            return _make_unreachable_answer(error)
        if known.outcome is not ClaimOutcome.ABSENT:
            return _make_known_answer(known)
        decision = await self._runner.obtain(run)
        if isinstance(decision, Shed):
            return make_rejection_answer(decision)
        if isinstance(decision, Forward):
            return await forward(run, decision)
        task = asyncio.create_task(self._claim_and_run(run, claim, decision))
        self._tasks.add(task)
        task.add_done_callback(self._on_run_done)
        return await asyncio.shield(task)

    def _make_claim(self, run: RequestRun, key: str) -> OrderClaim:
        request = run.upstream_request
        return OrderClaim(
            key=OrderKey(request.organisation, run.route_request.service, key),
            claim_id=request.request_id,
            entry=self._entry,
            body_digest=xxhash.xxh3_128_hexdigest(request.body),
            timeout_s=max(MIN_REMAINING_S, run.route_request.deadline_s - self._clock.now_s()),
        )

    async def _claim_and_run(
        self, run: RequestRun, claim: OrderClaim, route: Route
    ) -> CallerAnswer:
        try:
            claimed = await self._claim(run, claim)
        except OrderRegistryUnreachableError as error:
            self._runner.release_route(route)
            self._start_report(OrderReport(claim.key, claim.claim_id, OrderEnd.NOT_RUN))
            return _make_unreachable_answer(error)
        if claimed.outcome is not ClaimOutcome.FIRST:
            self._runner.release_route(route)
            return _make_known_answer(claimed)
        result = await self._runner.run_request(run, route)
        self._start_report(_make_report(claim, result))
        return (
            make_failure_answer(result)
            if isinstance(result, RequestFailure)
            else make_upstream_answer(result)
        )

    async def _claim(self, run: RequestRun, claim: OrderClaim) -> ClaimAnswer:
        for attempt in range(1, CLAIM_ATTEMPTS + 1):
            try:
                claimed = await self._registry.claim(claim)
            except OrderRegistryUnreachableError:
                if attempt == CLAIM_ATTEMPTS:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            break
        if self._clock.now_s() >= run.route_request.deadline_s:
            raise OrderRegistryUnreachableError(
                "the home answered after the deadline; send it again"
            )
        return claimed

    def _start_report(self, report: OrderReport) -> None:
        task = asyncio.create_task(self._send_report(report))
        self._report_tasks.add(task)
        task.add_done_callback(self._on_report_done)

    async def _send_report(self, report: OrderReport) -> None:
        for attempt in range(1, REPORT_ATTEMPTS + 1):
            try:
                await self._registry.report(report)
            except OrderRegistryUnreachableError:
                await asyncio.sleep(RETRY_DELAY_S * attempt)
                continue
            return

    def _on_run_done(self, task: asyncio.Task[CallerAnswer]) -> None:
        self._tasks.discard(task)
        self._on_end()

    def _on_report_done(self, task: asyncio.Task[None]) -> None:
        self._report_tasks.discard(task)
        self._on_end()


def _make_report(claim: OrderClaim, result: AttemptAnswer | RequestFailure) -> OrderReport:
    if isinstance(result, RequestFailure):
        outcome = OrderEnd.NOT_RUN if result.ran is Ran.NO else OrderEnd.UNKNOWN
        return OrderReport(claim.key, claim.claim_id, outcome)
    if not isinstance(result.body, bytes):
        return OrderReport(claim.key, claim.claim_id, OrderEnd.NOT_KEPT)
    stored = StoredAnswer(result.status, tuple(result.headers.items()), result.body)
    return OrderReport(claim.key, claim.claim_id, OrderEnd.ANSWERED, stored)


def _make_known_answer(known: ClaimAnswer) -> CallerAnswer:
    if known.outcome is ClaimOutcome.REPEAT and known.answer is not None:
        return stored_answer(known.answer)
    return claim_problem(known)


def _make_unreachable_answer(error: OrderRegistryUnreachableError) -> CallerAnswer:
    detail = (
        f"this request was not sent, because the home of its key gave no answer: {error}; whether "
        "an earlier one with the key ran is not known"
    )
    return problem_answer(503, Ran.NO, "home_unreachable", detail, REGISTRY_RETRY_AFTER_S)
