"""Exceptions raised by calls between the processes of the system."""

from redwingplank.core import RedwingError

__all__ = [
    "CallFailedError",
    "CallOutcomeUnknownError",
    "NotOwnerError",
    "PeerUnreachableError",
    "RpcError",
]


class RpcError(RedwingError):
    """Base class of the exceptions raised when a call to a peer fails."""


class PeerUnreachableError(RpcError):
    """The call was never sent, so it had no effect; another peer may be tried."""


class CallOutcomeUnknownError(RpcError):
    """The call may have taken effect; query its result before repeating it."""


class CallFailedError(RpcError):
    """The peer answered with an error, whose message this exception carries.

    The call may have taken effect before the peer failed.
    """


class NotOwnerError(RpcError):
    """The peer does not own the shard, so the call had no effect; call the owner instead.

    Parameters
    ----------
    shard : str
        The shard named in the call.
    owner_address : str
        ``"IP:PORT"`` of the owner known to the peer, empty if it knows none.
    epoch : int
        Epoch of that owner, 0 if the peer knows none.
    """

    def __init__(self, shard: str, owner_address: str = "", epoch: int = 0) -> None:
        self.shard = shard
        self.owner_address = owner_address
        self.epoch = epoch
        super().__init__(f"{shard} is owned by {owner_address or 'nobody known here'}: ask there")
