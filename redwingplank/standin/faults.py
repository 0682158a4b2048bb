"""Switches by which tests make a stand-in fail."""

import asyncio
from dataclasses import dataclass

from redwingplank.platform import OutcomeUnknownError, UnavailableError

__all__ = ["Faults"]


@dataclass(slots=True)
class Faults:
    """The faults of one side's calls; mutable, shared by a test and a stand-in.

    Parameters
    ----------
    is_down : bool
        Calls fail without an effect.
    delay_s : float
        Seconds that each call waits before its effect.
    answers_to_lose : int
        So many further calls have their effect and then fail with `OutcomeUnknownError`.
    calls_to_drop : int
        So many further calls fail with `OutcomeUnknownError` and have no effect.
    is_watch_silent : bool
        Watches stay open and deliver nothing.
    """

    is_down: bool = False
    delay_s: float = 0.0
    answers_to_lose: int = 0
    calls_to_drop: int = 0
    is_watch_silent: bool = False

    async def before_effect(self) -> None:
        """Wait and fail as switched, before a call has its effect."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise UnavailableError("the stand-in is switched off; switch it on or try again later")
        if self.calls_to_drop > 0:
            self.calls_to_drop -= 1
            raise OutcomeUnknownError("the request was lost; read back before repeating it")

    async def after_effect(self) -> None:
        """Fail as switched, after a call had its effect."""
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise OutcomeUnknownError("the answer was lost; read back before repeating the call")
