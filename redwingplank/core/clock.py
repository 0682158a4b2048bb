"""Clocks: the only code that reads the current time.

Decision functions receive the current time as an argument; processes read it from a clock.
"""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "FakeClock", "MonotonicClock", "UnixClock"]


class Clock(ABC):
    """A source of the current time."""

    @abstractmethod
    def now_s(self) -> float:
        """Return the current time in seconds from an arbitrary fixed origin.

        Returns
        -------
        float
            Seconds; never decreases, except for `UnixClock`.
        """


class MonotonicClock(Clock):
    """The operating system's monotonic clock."""

    def now_s(self) -> float:
        return time.monotonic()


class UnixClock(Clock):
    """The wall clock, in seconds since 1970, which the operating system may set back."""

    def now_s(self) -> float:
        return time.time()


class FakeClock(Clock):
    """A clock that moves only when `advance` is called.

    Parameters
    ----------
    start_s : float
        The first reading in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        return self._now_s

    def advance(self, by_s: float) -> float:
        """Move the clock forward and return the new reading.

        Parameters
        ----------
        by_s : float
            Seconds to add; not negative.

        Returns
        -------
        float
            The new reading in seconds.
        """
        if by_s < 0:
            raise ValueError("by_s must not be negative: a clock never moves back")
        self._now_s += by_s
        return self._now_s
