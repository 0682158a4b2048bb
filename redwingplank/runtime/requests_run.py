"""Runs one request with retries and hedges until it is answered, fails or reaches its deadline."""

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
    """A request without an answer: the last failure, or why the request was shed.

    Parameters
    ----------
    ran : Ran
        Covers all attempts: UNKNOWN if any of them may have run.
    cause : AttemptFailure or Shed
        Why there is no answer.
    """

    ran: Ran
    cause: AttemptFailure | Shed


@dataclass(slots=True)
class RequestRun:
    """State of a request while it runs.

    Parameters
    ----------
    route_request : RouteRequest
        The request as the router sees it; its id is unique in this entry.
    upstream_request : UpstreamRequest
        The request as it is sent to upstreams.
    max_attempts : int
        Maximum number of attempts, hedges included.
    is_repeatable : bool
        Whether the request may be sent again after an attempt that may have run.
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
        """Update `may_have_run` with a failed attempt."""
        self.may_have_run = self.may_have_run or failed.ran is not Ran.NO

    def may_repeat(self, failed: AttemptFailure) -> bool:
        """Return whether another attempt is allowed after a failed one."""
        if failed.kind is FailureKind.CALLER_LEFT or self.attempts >= self.max_attempts:
            return False
        return self.is_repeatable or not self.may_have_run

    def make_failure(self, cause: AttemptFailure | Shed) -> RequestFailure:
        """Return the outcome of a run without an answer."""
        return RequestFailure(Ran.UNKNOWN if self.may_have_run else Ran.NO, cause)


class RequestRunner:
    """Sends requests to upstreams and repeats them where that is allowed.

    Parameters
    ----------
    router : Router
        Chooses upstreams.
    routes : RouteSource
        Obtains routes from the router.
    client : UpstreamClient
        Sends requests to upstreams.
    clock : Clock
        Source of the current time.
    limits : AttemptLimits
        Limits of each attempt.
    on_free : callable
        Called after each attempt is done and its slot is free.
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
        """Send a request, retry it while that is allowed, and return its outcome."""
        while True:
            if self._remaining_s(run) <= 0:
                self.release_route(route)
                return run.make_failure(Shed(route.request_id, ShedReason.DEADLINE, 0.0))
            result = await self._run_attempt(run, route)
            if isinstance(result, AttemptAnswer):
                return result
            if not run.may_repeat(result) or self._remaining_s(run) <= 0:
                return run.make_failure(result)
            decision = await self._routes.obtain(run.next_request())
            if not isinstance(decision, Route):
                return run.make_failure(decision if isinstance(decision, Shed) else result)
            route = decision

    async def _run_attempt(self, run: RequestRun, route: Route) -> AttemptAnswer | AttemptFailure:
        attempts = [self._start_attempt(run, route)]
        try:
            return await self._wait_for_answer(run, attempts, route.hedge_after_s)
        finally:
            for attempt in attempts:
                if not _has_answer(attempt):
                    attempt.cancel()

    async def _wait_for_answer(
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
            answers, failures = _split_by_outcome(done)
            for failed in failures:
                run.record_failure(failed)
            if answers:
                return self._select_answer(answers, attempts)
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
        attempts.append(self._start_attempt(run, decision))
        return {attempts[-1].result}

    def _select_answer(
        self, answers: list[AttemptAnswer], attempts: list[Attempt]
    ) -> AttemptAnswer:
        selected = answers[0]
        for attempt in attempts:
            if attempt.route != selected.route:
                attempt.cancel()
        return selected

    def _start_attempt(self, run: RequestRun, route: Route) -> Attempt:
        run.attempts += 1
        run.used_upstreams.add(route.upstream)
        attempt = Attempt(
            route,
            run.upstream_request,
            self._client,
            self._router,
            self._clock,
            self._limits,
            self._on_attempt_done,
        )
        self.open_attempts += 1
        attempt.start(max(MIN_TIMEOUT_S, self._remaining_s(run)))
        return attempt

    def _on_attempt_done(self) -> None:
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


def _split_by_outcome(
    done: set[asyncio.Future[AttemptAnswer | AttemptFailure]],
) -> tuple[list[AttemptAnswer], list[AttemptFailure]]:
    results = [future.result() for future in done]
    answers = [result for result in results if isinstance(result, AttemptAnswer)]
    failures = [result for result in results if isinstance(result, AttemptFailure)]
    return answers, failures
