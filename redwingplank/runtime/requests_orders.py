"""Requests with an ``Idempotency-Key``: run at most once, under their home's word."""

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

__all__ = ["HandOnFunction", "OrderRunner"]

HandOnFunction = Callable[[RequestRun, Forward], Awaitable[CallerAnswer]]

CLAIM_ATTEMPTS = 3
REPORT_ATTEMPTS = 5
REPEAT_DELAY_S = 0.05
HOME_RETRY_AFTER_S = 1.0
MIN_REMAINING_S = 0.001


class OrderRunner:
    """Asks the home before an order is sent and reports how it ended.

    Parameters
    ----------
    homes : OrderHomes
        The homes.
    runner : RequestRunner
        Sends requests.
    clock : Clock
        The present time.
    entry : str
        Name of this process.
    on_end : callable
        Called after each order's end was reported.

    Notes
    -----
    An order that was sent goes on when its caller leaves, so that its answer is kept for a repeat.
    """

    def __init__(
        self,
        homes: OrderRegistry,
        runner: RequestRunner,
        clock: Clock,
        entry: str,
        on_end: Callable[[], None],
    ) -> None:
        self._homes = homes
        self._runner = runner
        self._clock = clock
        self._entry = entry
        self._on_end = on_end
        self._tasks: set[asyncio.Task[CallerAnswer]] = set()
        self._reports: set[asyncio.Task[None]] = set()

    @property
    def open_order_count(self) -> int:
        """Number of orders whose end was not reported yet."""
        return len(self._tasks) + len(self._reports)

    async def run_order(self, run: RequestRun, key: str, hand_on: HandOnFunction) -> CallerAnswer:
        """Return the answer of the order's first run, which may be this one."""
        claim = self._make_claim(run, key)
        try:
            known = await self._homes.query_order(claim)
        except OrderRegistryUnreachableError as error:
            return _home_problem(error)
        if known.outcome is not ClaimOutcome.ABSENT:
            return _known_answer(known)
        decision = await self._runner.obtain(run)
        if isinstance(decision, Shed):
            return make_rejection_answer(decision)
        if isinstance(decision, Forward):
            return await hand_on(run, decision)
        task = asyncio.create_task(self._claim_and_run(run, claim, decision))
        self._tasks.add(task)
        task.add_done_callback(self._ended)
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
            self._report(OrderReport(claim.key, claim.claim_id, OrderEnd.NOT_RUN))
            return _home_problem(error)
        if claimed.outcome is not ClaimOutcome.FIRST:
            self._runner.release_route(route)
            return _known_answer(claimed)
        end = await self._runner.run_request(run, route)
        self._report(_make_report(claim, end))
        return (
            make_failure_answer(end)
            if isinstance(end, RequestFailure)
            else make_upstream_answer(end)
        )

    async def _claim(self, run: RequestRun, claim: OrderClaim) -> ClaimAnswer:
        for attempt in range(1, CLAIM_ATTEMPTS + 1):
            try:
                claimed = await self._homes.claim(claim)
            except OrderRegistryUnreachableError:
                if attempt == CLAIM_ATTEMPTS:
                    raise
                await asyncio.sleep(REPEAT_DELAY_S)
                continue
            break
        if self._clock.now_s() >= run.route_request.deadline_s:
            raise OrderRegistryUnreachableError(
                "the home answered after the deadline; send it again"
            )
        return claimed

    def _report(self, report: OrderReport) -> None:
        task = asyncio.create_task(self._send_report(report))
        self._reports.add(task)
        task.add_done_callback(self._reported)

    async def _send_report(self, report: OrderReport) -> None:
        for attempt in range(1, REPORT_ATTEMPTS + 1):
            try:
                await self._homes.report(report)
            except OrderRegistryUnreachableError:
                await asyncio.sleep(REPEAT_DELAY_S * attempt)
                continue
            return

    def _ended(self, task: asyncio.Task[CallerAnswer]) -> None:
        self._tasks.discard(task)
        self._on_end()

    def _reported(self, task: asyncio.Task[None]) -> None:
        self._reports.discard(task)
        self._on_end()


def _make_report(claim: OrderClaim, end: AttemptAnswer | RequestFailure) -> OrderReport:
    if isinstance(end, RequestFailure):
        kind = OrderEnd.NOT_RUN if end.ran is Ran.NO else OrderEnd.UNKNOWN
        return OrderReport(claim.key, claim.claim_id, kind)
    if not isinstance(end.body, bytes):
        return OrderReport(claim.key, claim.claim_id, OrderEnd.NOT_KEPT)
    stored = StoredAnswer(end.status, tuple(end.headers.items()), end.body)
    return OrderReport(claim.key, claim.claim_id, OrderEnd.ANSWERED, stored)


def _known_answer(known: ClaimAnswer) -> CallerAnswer:
    if known.outcome is ClaimOutcome.REPEAT and known.answer is not None:
        return stored_answer(known.answer)
    return claim_problem(known)


def _home_problem(error: OrderRegistryUnreachableError) -> CallerAnswer:
    detail = f"this request was not sent, because the home of its key gave no answer: {error}"
    return problem_answer(503, Ran.NO, "home_unreachable", detail, HOME_RETRY_AFTER_S)
