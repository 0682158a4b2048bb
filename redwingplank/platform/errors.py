"""Exceptions raised by calls to the platform."""

from redwingplank.core import RedwingError

__all__ = [
    "OutcomeUnknownError",
    "PlatformError",
    "RefusedByWorkerError",
    "StaleEpochError",
    "UnavailableError",
]


class PlatformError(RedwingError):
    """Base class of the exceptions raised when a call to the platform fails."""


class UnavailableError(PlatformError):
    """The call never reached the other side and had no effect; it may be repeated later."""


class OutcomeUnknownError(PlatformError):
    """The call may have taken effect; read the state back before repeating it."""


class StaleEpochError(PlatformError):
    """A worker knows a higher epoch, so the caller must stop acting as the shard's owner."""


class RefusedByWorkerError(PlatformError):
    """A worker rejected a malformed request as a whole and executed no part of it."""
