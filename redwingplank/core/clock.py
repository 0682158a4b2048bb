"""Clocks: the only places that read the present time.

Functions that decide take the present time as an argument; processes read it here.
"""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "FakeClock", "MonotonicClock", "UnixClock"]


class Clock(ABC):
    """A source of the present time."""

    @abstractmethod
    def now_s(self) -> float:
        """Return the present time in seconds from an arbitrary fixed origin.

        Returns
        -------
        float
            Seconds; never decreases.
        """


class MonotonicClock(Clock):
    """The operating system's monotonic clock."""

    def now_s(self) -> float:
        return time.monotonic()


class UnixClock(Clock):
    """The wall clock, in seconds since 1970; may be set back by the operating system."""

    def now_s(self) -> float:
        return time.time()


class FakeClock(Clock):
    """A clock that moves only when told to.

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
