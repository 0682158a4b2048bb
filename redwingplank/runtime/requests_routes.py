"""Obtains a route for each request, at once or when the router releases it from its queue."""

import asyncio

from redwingplank.core import Clock, Logger, log_event
from redwingplank.routing import (
    FailureKind,
    Forward,
    Route,
    Router,
    RouteRequest,
    Shed,
    Wait,
)
from redwingplank.routing.decision_log import decision_fields

__all__ = ["RouteSource"]

RELEASE_INTERVAL_S = 0.01


class RouteSource:
    """Asks the router for decisions and wakes the requests that wait for one.

    Parameters
    ----------
    router : Router
        Decides on each request.
    clock : Clock
        Source of the current time.
    logger : Logger
        Receives one line for each decision.
    """

    def __init__(self, router: Router, clock: Clock, logger: Logger) -> None:
        self._router = router
        self._clock = clock
        self._logger = logger
        self._futures_by_id: dict[str, asyncio.Future[Route | Shed]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def obtain(self, request: RouteRequest) -> Route | Shed | Forward:
        """Return the router's decision, after waiting in its queue if necessary."""
        decision = self._router.decide(self._clock.now_s(), request)
        self._log(request, decision)
        if not isinstance(decision, Wait):
            return decision
        future: asyncio.Future[Route | Shed] = asyncio.get_running_loop().create_future()
        self._futures_by_id[request.request_id] = future
        self._schedule_release()
        try:
            released = await future
        except asyncio.CancelledError:
            self._cancel_wait(request.request_id, future)
            raise
        self._log(request, released)
        return released

    def release(self) -> None:
        """Wake the requests that can be decided now; call this after every change of the router."""
        for decision in self._router.decide_waiting(self._clock.now_s()):
            future = self._futures_by_id.pop(decision.request_id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Route):
                self._router.record_failure(self._clock.now_s(), decision, FailureKind.CALLER_LEFT)

    def _cancel_wait(self, request_id: str, future: asyncio.Future[Route | Shed]) -> None:
        self._futures_by_id.pop(request_id, None)
        self._router.cancel(request_id)
        if future.done() and not future.cancelled():
            decision = future.result()
            if isinstance(decision, Route):
                self._router.record_failure(self._clock.now_s(), decision, FailureKind.CALLER_LEFT)
                self.release()

    def _schedule_release(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RELEASE_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.release()
        if self._futures_by_id:
            self._schedule_release()

    def _log(self, request: RouteRequest, decision: Route | Shed | Forward | Wait) -> None:
        log_event(self._logger, "request_decided", **decision_fields(request, decision))
