"""Detects that the owner's process has ended, so that a takeover need not wait for its lease."""

import asyncio

from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.cell.system_entries import EpochEntry, NodeEntry
from redwingplank.rpc.errors import RpcError
from redwingplank.rpc.peers import PROBE_TIMEOUT_S, is_refused, split_address

__all__ = ["OwnerWatch"]

OWNER_CHECK_S = 0.5
"""Period of checking, on an open connection, whether the cell still has the same owner."""
RECONNECT_PAUSE_S = 0.1
"""Pause between two attempts to connect to the owner."""


class OwnerWatch:
    """Keeps a connection to the owner, and asks the other nodes about the owner when it breaks.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the current owner and the live nodes, and takes over the ownership.

    Notes
    -----
    The owner's process counts as ended if its address refuses connections from this node and from
    every other node that answers. If there are other nodes, at least one has to answer. A wrong
    result costs a takeover but no consistency: the next epoch fences the previous owner.
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
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _stay_connected(self, owner: EpochEntry) -> None:
        """Return when the connection breaks or cannot be made, or when the owner has changed."""
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

    async def _is_gone(self, owner: EpochEntry) -> bool:
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
        answers = await asyncio.gather(
            *(self._is_refused_at(entry, owner.address) for entry in others)
        )
        refusals = [answer for answer in answers if answer is not None]
        return bool(refusals) and all(refusals)

    async def _is_refused_at(self, other_node: NodeEntry, address: str) -> bool | None:
        """Return whether the address refuses another node, None if that node does not answer."""
        try:
            return await self._context.calls.is_refused(
                other_node.address, address, 2 * PROBE_TIMEOUT_S
            )
        except RpcError as error:
            self._context.log("peer_unreachable", address=other_node.address, error=error)
            return None


async def _is_broken(reader: asyncio.StreamReader) -> bool:
    """Wait up to `OWNER_CHECK_S`; return whether the connection was closed or reset."""
    try:
        async with asyncio.timeout(OWNER_CHECK_S):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
