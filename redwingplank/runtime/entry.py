"""An entry's parts, and the order in which they start and stop."""

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

UPSTREAMS_EVERY_S = 0.25


@dataclass(frozen=True, slots=True)
class EntryParts:
    """What an entry is made of."""

    router: Router
    proxy: RequestProxy
    gateway: JobGateway
    directory: ShardDirectory


class EntryRuntime:
    """Feeds the router with what the entry learns, and says when it wants work.

    Parameters
    ----------
    parts : EntryParts
        The entry's parts.
    clock : Clock
        The present time.
    """

    def __init__(self, parts: EntryParts, clock: Clock) -> None:
        self.parts = parts
        self._clock = clock
        self._is_leaving = False
        self._has_upstreams = False
        self._tasks: list[asyncio.Task] = []

    def start(self, *loops: Coroutine[Any, Any, None]) -> None:
        """Start the loops that run as long as the entry."""
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def wait(self) -> None:
        """Return, or raise, when one of the loops ends by itself."""
        if not self._tasks:
            await asyncio.Event().wait()
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    def change_declarations(self, declarations: Declarations) -> None:
        """Route by a newer revision; an older one is ignored."""
        self.parts.router.set_declarations(declarations)
        self.parts.proxy.wake_waiting()

    def change_upstreams(self, upstreams: tuple[ListedVm, ...]) -> None:
        """Route to these upstreams from now on."""
        self._has_upstreams = self._has_upstreams or bool(upstreams)
        self.parts.router.set_upstreams(self._clock.now_s(), upstreams)
        self.parts.proxy.wake_waiting()

    async def follow_upstreams(
        self, read_upstreams: Callable[[float], tuple[ListedVm, ...]]
    ) -> None:
        """Hand each change of the live upstreams to the router, until cancelled."""
        known: tuple[ListedVm, ...] | None = None
        while True:
            upstreams = read_upstreams(self._clock.now_s())
            if upstreams != known:
                known = upstreams
                self.change_upstreams(upstreams)
            await asyncio.sleep(UPSTREAMS_EVERY_S)

    def find_obstacles(self) -> tuple[str, ...]:
        """Return why the entry wants no new work."""
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
        """Whether the entry is about to stop: callers' connections should be closed."""
        return self._is_leaving

    def begin_leaving(self) -> None:
        """Say that no new work is wanted; work that comes all the same is still taken."""
        self._is_leaving = True

    async def finish_requests(self) -> None:
        """Refuse new requests and return once none is in flight."""
        self.parts.proxy.begin_stop()
        await self.parts.proxy.drained()

    async def stop(self) -> None:
        """End the loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def gauges(self) -> dict[str, float]:
        """Return how much is in flight and waits."""
        router = self.parts.router
        return {"in_flight": router.in_flight_count, "waiting": router.waiting_count}
