"""Switches that make a stand-in fail in tests."""

import asyncio
from dataclasses import dataclass

from redwingplank.platform import OutcomeUnknownError, UnavailableError

__all__ = ["Faults"]


@dataclass(slots=True)
class Faults:
    """Faults of calls to a stand-in; mutable, and shared by a test and the stand-in.

    Parameters
    ----------
    is_down : bool
        Whether calls fail with `UnavailableError` and without effect.
    delay_s : float
        Delay of each call before its effect, in seconds.
    answers_to_lose : int
        Number of further calls that take effect and then fail with `OutcomeUnknownError`.
    calls_to_drop : int
        Number of further calls that fail with `OutcomeUnknownError` and without effect.
    is_watch_silent : bool
        Whether watches stay open without delivering events.
    """

    is_down: bool = False
    delay_s: float = 0.0
    answers_to_lose: int = 0
    calls_to_drop: int = 0
    is_watch_silent: bool = False

    async def before_effect(self) -> None:
        """Apply the faults that occur before a call takes effect."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise UnavailableError("the stand-in is switched off; switch it on or try again later")
        if self.calls_to_drop > 0:
            self.calls_to_drop -= 1
            raise OutcomeUnknownError("the request was lost; read back before repeating it")

    async def after_effect(self) -> None:
        """Apply the faults that occur after a call took effect."""
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise OutcomeUnknownError("the answer was lost; read back before repeating the call")
