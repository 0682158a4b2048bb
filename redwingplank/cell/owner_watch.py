"""Notices at once that the owner's process is gone, so that nobody has to wait for its lease."""

import asyncio

from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership, NodeEntry, TermEntry
from redwingplank.rpc.errors import RpcError
from redwingplank.rpc.peers import PROBE_TIMEOUT_S, is_refused, split_address

__all__ = ["OwnerWatch"]

LOOK_S = 0.5
"""How often a quiet connection is held against the owner that is known now."""
PAUSE_S = 0.1
"""Between two attempts to connect."""


class OwnerWatch:
    """Keeps a connection to the owner, and asks the other nodes when it breaks.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    membership : Membership
        Tells who owns the jobs, and takes over.

    Notes
    -----
    An owner counts as gone if its address refuses connections from here and from every other node
    that answers, one at least where there are others. A mistake costs a takeover and breaks
    nothing: terms fence the owner before.
    """

    def __init__(self, context: NodeContext, membership: Membership) -> None:
        self._context = context
        self._membership = membership

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            owner = self._membership.owner
            if owner is not None and owner.owner != self._context.settings.name:
                await self._stay_connected(owner)
                if self._membership.owner == owner and await self._is_gone(owner):
                    self._context.log("owner_gone", owner=owner.owner, term=owner.number)
                    self._membership.take_over_from(owner)
            await asyncio.sleep(PAUSE_S)

    async def _stay_connected(self, owner: TermEntry) -> None:
        """Return once the connection breaks or cannot be made, or another node owns the jobs."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*split_address(owner.address))
        except (OSError, TimeoutError):
            return
        try:
            while self._membership.owner == owner and not await _is_broken(reader):
                pass
        finally:
            writer.close()

    async def _is_gone(self, owner: TermEntry) -> bool:
        if not await is_refused(owner.address):
            return False
        own = self._context.settings.name
        others = [
            entry
            for name, entry in self._membership.nodes_by_name.items()
            if name not in (own, owner.owner)
        ]
        if not others:
            return True
        words = await asyncio.gather(*(self._ask(entry, owner.address) for entry in others))
        answered = [word for word in words if word is not None]
        return bool(answered) and all(answered)

    async def _ask(self, witness: NodeEntry, address: str) -> bool | None:
        """Return whether another node is refused too, None if that node does not answer."""
        try:
            return await self._context.calls.is_refused(
                witness.address, address, 2 * PROBE_TIMEOUT_S
            )
        except RpcError as error:
            self._context.log("peer_unreachable", address=witness.address, error=error)
            return None


async def _is_broken(reader: asyncio.StreamReader) -> bool:
    """Wait a while; return whether the connection was closed or reset."""
    try:
        async with asyncio.timeout(LOOK_S):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
