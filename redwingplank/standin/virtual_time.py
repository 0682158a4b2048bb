"""An asyncio event loop whose time passes only when nothing is left to do.

Sleeps and timeouts take no real time, and two runs of the same program order their events alike.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from redwingplank.core import Clock

__all__ = ["VirtualClock", "VirtualTimeLoop", "run_virtual"]

Result = TypeVar("Result")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a time of its own, from 0."""

    def __init__(self) -> None:
        self.virtual_s = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        return self.virtual_s


class _SkippingSelector(selectors.SelectSelector):
    """Moves the loop's time forward in place of waiting."""

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
    """The time of the running `VirtualTimeLoop`, plus an offset, at a rate of its own.

    Parameters
    ----------
    offset_s : float
        Added to the loop's time.
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
