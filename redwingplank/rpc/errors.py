"""Errors of calls between the system's processes."""

from redwingplank.core import RedwingError

__all__ = ["CallFailedError", "CallOutcomeUnknownError", "PeerUnreachableError", "RpcError"]


class RpcError(RedwingError):
    """Base class of failed calls to a peer."""


class PeerUnreachableError(RpcError):
    """The call never left: it certainly had no effect. Try another peer."""


class CallOutcomeUnknownError(RpcError):
    """The call may have had its effect: ask for its result before repeating it."""


class CallFailedError(RpcError):
    """The peer answered with an error; the message is the peer's."""
