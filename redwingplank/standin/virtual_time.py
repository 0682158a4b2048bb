"""An asyncio event loop whose time advances only when no task is ready to run.

Sleeps and timeouts take no real time, and two runs of the same program process their events in the
same order.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from redwingplank.core import Clock

__all__ = ["VirtualClock", "VirtualTimeLoop", "run_virtual"]

Result = TypeVar("Result")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual time that starts at 0 s."""

    def __init__(self) -> None:
        self.virtual_s = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        return self.virtual_s


class _SkippingSelector(selectors.SelectSelector):
    """Advances the loop's virtual time instead of waiting."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set: the program is stuck")
        self._loop.virtual_s += max(timeout, 0.0)
        return []


class VirtualClock(Clock):
    """Clock derived from the time of the running `VirtualTimeLoop` by a rate and an offset.

    Parameters
    ----------
    offset_s : float
        Seconds added after the loop's time is multiplied by `rate`.
    rate : float
        Seconds of this clock for each second of the loop.
    """

    def __init__(self, offset_s: float = 0.0, rate: float = 1.0) -> None:
        self.offset_s = offset_s
        self.rate = rate

    def now_s(self) -> float:
        return asyncio.get_running_loop().time() * self.rate + self.offset_s


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in a `VirtualTimeLoop` and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
