"""Errors of calls between the system's processes."""

from redwingplank.core import RedwingError

__all__ = [
    "CallFailedError",
    "CallOutcomeUnknownError",
    "NotOwnerError",
    "PeerUnreachableError",
    "RpcError",
]


class RpcError(RedwingError):
    """Base class of failed calls to a peer."""


class PeerUnreachableError(RpcError):
    """The call never left: it certainly had no effect. Try another peer."""


class CallOutcomeUnknownError(RpcError):
    """The call may have had its effect: ask for its result before repeating it."""


class CallFailedError(RpcError):
    """The peer answered with an error; the message is the peer's."""


class NotOwnerError(RpcError):
    """The peer does not own the shard: the call certainly had no effect. Ask the owner.

    Parameters
    ----------
    shard : str
        The shard that was asked for.
    owner_address : str
        The owner as the peer knows it, empty if it knows none.
    epoch : int
        That owner's epoch, 0 if it knows none.
    """

    def __init__(self, shard: str, owner_address: str = "", epoch: int = 0) -> None:
        self.shard = shard
        self.owner_address = owner_address
        self.epoch = epoch
        super().__init__(f"{shard} is owned by {owner_address or 'nobody known here'}: ask there")
