"""Errors of the calls to the platform."""

from redwingplank.core import RedwingError

__all__ = [
    "OutcomeUnknownError",
    "PlatformError",
    "RefusedByWorkerError",
    "StaleEpochError",
    "UnavailableError",
]


class PlatformError(RedwingError):
    """Base class of failed calls to the platform."""


class UnavailableError(PlatformError):
    """The call certainly had no effect: it never reached the other side. Try again later."""


class OutcomeUnknownError(PlatformError):
    """The call may have had its effect: read back before repeating it."""


class StaleEpochError(PlatformError):
    """A worker has seen a higher epoch: stop acting as the owner of the shard."""


class RefusedByWorkerError(PlatformError):
    """A worker refused the whole request as malformed; nothing of it was done."""
