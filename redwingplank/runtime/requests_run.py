"""Runs one request: attempts, retries and hedges until an answer or the deadline."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from redwingplank.core import Clock
from redwingplank.platform import UpstreamClient, UpstreamRequest
from redwingplank.routing import (
    FailureKind,
    Forward,
    Ran,
    Route,
    Router,
    RouteRequest,
    Shed,
    ShedReason,
)
from redwingplank.runtime.requests_attempt import (
    Attempt,
    AttemptAnswer,
    AttemptFailure,
    AttemptLimits,
)
from redwingplank.runtime.requests_routes import RouteSource

__all__ = ["RequestFailure", "RequestRun", "RequestRunner"]

MIN_TIMEOUT_S = 0.001


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """No upstream answered: the last failure, or why the request was shed.

    Parameters
    ----------
    ran : Ran
        The truth over all attempts: UNKNOWN when any of them may have run.
    cause : Failed or Shed
        What ended the request.
    """

    ran: Ran
    cause: AttemptFailure | Shed


@dataclass(slots=True)
class RequestRun:
    """A request while it is run.

    Parameters
    ----------
    route_request : RouteRequest
        For the router; its id is unique in this entry.
    upstream_request : UpstreamRequest
        What is sent.
    max_attempts : int
        Attempts, hedges included.
    is_repeatable : bool
        Whether it may be sent again after an attempt that may have run.
    """

    route_request: RouteRequest
    upstream_request: UpstreamRequest
    max_attempts: int
    is_repeatable: bool
    attempts: int = 0
    may_have_run: bool = False
    used_upstreams: set[str] = field(default_factory=set)

    def next_request(self, *, is_hedge: bool = False) -> RouteRequest:
        """Return the router's request for the next attempt."""
        return replace(
            self.route_request,
            attempt=self.attempts + 1,
            is_hedge=is_hedge,
            excluded=frozenset(self.used_upstreams),
        )

    def record_failure(self, failed: AttemptFailure) -> None:
        """Take a failed attempt into what is known of the run."""
        self.may_have_run = self.may_have_run or failed.ran is not Ran.NO

    def may_repeat(self, failed: AttemptFailure) -> bool:
        """Return whether another attempt is allowed after a failure."""
        if failed.kind is FailureKind.CALLER_LEFT or self.attempts >= self.max_attempts:
            return False
        return self.is_repeatable or not self.may_have_run

    def make_failure(self, cause: AttemptFailure | Shed) -> RequestFailure:
        """Return the end of the run without an answer."""
        return RequestFailure(Ran.UNKNOWN if self.may_have_run else Ran.NO, cause)


class RequestRunner:
    """Runs requests over upstreams.

    Parameters
    ----------
    router : Router
        Decides.
    routes : RouteSource
        Gets routes from it.
    client : UpstreamClient
        Sends requests.
    clock : Clock
        The present time.
    limits : AttemptLimits
        Bounds of each attempt.
    on_free : callable
        Called after each attempt has ended.
    """

    def __init__(
        self,
        router: Router,
        routes: RouteSource,
        client: UpstreamClient,
        clock: Clock,
        limits: AttemptLimits,
        on_free: Callable[[], None],
    ) -> None:
        self._router = router
        self._routes = routes
        self._client = client
        self._clock = clock
        self._limits = limits
        self._on_free = on_free
        self.open_attempts = 0

    async def obtain(self, run: RequestRun) -> Route | Shed | Forward:
        """Return the decision for the first attempt of a run."""
        return await self._routes.obtain(run.next_request())

    def release_route(self, route: Route) -> None:
        """Free the slot of a route that is not used."""
        self._router.record_failure(self._clock.now_s(), route, FailureKind.CALLER_LEFT)
        self._routes.release()

    async def run_request(self, run: RequestRun, route: Route) -> AttemptAnswer | RequestFailure:
        """Send a request, again if it is allowed, and return how it ended."""
        while True:
            if self._remaining_s(run) <= 0:
                self.release_route(route)
                return run.make_failure(Shed(route.request_id, ShedReason.DEADLINE, 0.0))
            result = await self._attempt(run, route)
            if isinstance(result, AttemptAnswer):
                return result
            if not run.may_repeat(result) or self._remaining_s(run) <= 0:
                return run.make_failure(result)
            decision = await self._routes.obtain(run.next_request())
            if not isinstance(decision, Route):
                return run.make_failure(decision if isinstance(decision, Shed) else result)
            route = decision

    async def _attempt(self, run: RequestRun, route: Route) -> AttemptAnswer | AttemptFailure:
        attempts = [self._start(run, route)]
        try:
            return await self._first_answer(run, attempts, route.hedge_after_s)
        finally:
            for attempt in attempts:
                if not _has_answer(attempt):
                    attempt.cancel()

    async def _first_answer(
        self, run: RequestRun, attempts: list[Attempt], hedge_after_s: float
    ) -> AttemptAnswer | AttemptFailure:
        pending: set[asyncio.Future[AttemptAnswer | AttemptFailure]] = {attempts[0].result}
        timeout_s = hedge_after_s if run.is_repeatable else None
        while True:
            done, pending = await asyncio.wait(
                pending,
                timeout=None if timeout_s == float("inf") else timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                timeout_s = None
                pending |= await self._hedge(run, attempts)
                continue
            answers, failures = _split(done)
            for failed in failures:
                run.record_failure(failed)
            if answers:
                return self._keep(answers, attempts)
            if not pending:
                return failures[-1]

    async def _hedge(
        self, run: RequestRun, attempts: list[Attempt]
    ) -> set[asyncio.Future[AttemptAnswer | AttemptFailure]]:
        if run.attempts >= run.max_attempts:
            return set()
        decision = await self._routes.obtain(run.next_request(is_hedge=True))
        if not isinstance(decision, Route):
            return set()
        attempts.append(self._start(run, decision))
        return {attempts[-1].result}

    def _keep(self, answers: list[AttemptAnswer], attempts: list[Attempt]) -> AttemptAnswer:
        kept = answers[0]
        for attempt in attempts:
            if attempt.route != kept.route:
                attempt.cancel()
        return kept

    def _start(self, run: RequestRun, route: Route) -> Attempt:
        run.attempts += 1
        run.used_upstreams.add(route.upstream)
        attempt = Attempt(
            route,
            run.upstream_request,
            self._client,
            self._router,
            self._clock,
            self._limits,
            self._attempt_ended,
        )
        self.open_attempts += 1
        attempt.start(max(MIN_TIMEOUT_S, self._remaining_s(run)))
        return attempt

    def _attempt_ended(self) -> None:
        self.open_attempts -= 1
        self._routes.release()
        self._on_free()

    def _remaining_s(self, run: RequestRun) -> float:
        return run.route_request.deadline_s - self._clock.now_s()


def _has_answer(attempt: Attempt) -> bool:
    return (
        attempt.result.done()
        and not attempt.result.cancelled()
        and isinstance(attempt.result.result(), AttemptAnswer)
    )


def _split(
    done: set[asyncio.Future[AttemptAnswer | AttemptFailure]],
) -> tuple[list[AttemptAnswer], list[AttemptFailure]]:
    results = [future.result() for future in done]
    answers = [result for result in results if isinstance(result, AttemptAnswer)]
    failures = [result for result in results if isinstance(result, AttemptFailure)]
    return answers, failures
