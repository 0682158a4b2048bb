"""The components of an entry, and the order in which they start and stop."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from redwingplank.config import Declarations
from redwingplank.core import Clock
from redwingplank.platform import ListedVm
from redwingplank.routing import Router
from redwingplank.runtime.jobs import JobGateway
from redwingplank.runtime.requests import RequestProxy
from redwingplank.runtime.shards import ShardDirectory

__all__ = ["EntryParts", "EntryRuntime"]

UPSTREAM_POLL_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class EntryParts:
    """The components of an entry."""

    router: Router
    proxy: RequestProxy
    gateway: JobGateway
    directory: ShardDirectory


class EntryRuntime:
    """Passes declarations and upstreams to the router, and reports whether the entry accepts work.

    Parameters
    ----------
    parts : EntryParts
        The components of the entry.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, parts: EntryParts, clock: Clock) -> None:
        self.parts = parts
        self._clock = clock
        self._is_leaving = False
        self._has_upstreams = False
        self._tasks: list[asyncio.Task] = []

    def start(self, *loops: Coroutine[Any, Any, None]) -> None:
        """Start the loops that run until the entry stops."""
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def wait(self) -> None:
        """Return when one of the loops returns by itself, or raise its exception."""
        if not self._tasks:
            await asyncio.Event().wait()
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    def change_declarations(self, declarations: Declarations) -> None:
        """Route by a newer revision of the declarations; an older one is ignored."""
        self.parts.router.set_declarations(declarations)
        self.parts.proxy.wake_waiting()

    def change_upstreams(self, upstreams: tuple[ListedVm, ...]) -> None:
        """Replace the list of upstreams to which requests are routed."""
        self._has_upstreams = self._has_upstreams or bool(upstreams)
        self.parts.router.set_upstreams(self._clock.now_s(), upstreams)
        self.parts.proxy.wake_waiting()

    async def follow_upstreams(
        self, read_upstreams: Callable[[float], tuple[ListedVm, ...]]
    ) -> None:
        """Pass each change of the live upstreams to the router, until cancelled."""
        last_upstreams: tuple[ListedVm, ...] | None = None
        while True:
            upstreams = read_upstreams(self._clock.now_s())
            if upstreams != last_upstreams:
                last_upstreams = upstreams
                self.change_upstreams(upstreams)
            await asyncio.sleep(UPSTREAM_POLL_INTERVAL_S)

    def find_obstacles(self) -> tuple[str, ...]:
        """Return why the entry should get no new work; empty if it may get some."""
        obstacles = []
        if self._is_leaving:
            obstacles.append("stopping")
        if not self.parts.router.declarations.organisations_by_name:
            obstacles.append("no declarations yet")
        if not self._has_upstreams:
            obstacles.append("no list of upstreams yet")
        return tuple(obstacles)

    @property
    def is_leaving(self) -> bool:
        """Whether the entry is about to stop, so that callers' connections should be closed."""
        return self._is_leaving

    def begin_leaving(self) -> None:
        """Report that the entry should get no new work; requests that still arrive are served."""
        self._is_leaving = True

    async def finish_requests(self) -> None:
        """Reject new requests and return once none is in flight."""
        self.parts.proxy.begin_stop()
        await self.parts.proxy.drained()

    async def stop(self) -> None:
        """Cancel the loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def gauges(self) -> dict[str, float]:
        """Return the numbers of requests in flight and waiting."""
        router = self.parts.router
        return {"in_flight": router.in_flight_count, "waiting": router.waiting_count}
