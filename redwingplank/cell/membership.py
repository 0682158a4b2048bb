"""This node's lease and key, the other live nodes, and who owns the jobs."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import xxhash

from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.follower import PrefixFollower
from redwingplank.cell.keys import (
    NODES_PREFIX,
    OWNER_KEY,
    SEQUENCE_KEY,
    SYSTEM_PREFIX,
    TERM_KEY,
)
from redwingplank.platform.site.store import Item, Put, TransactionEnd

__all__ = ["Membership", "NodeEntry", "Ownership", "TermEntry"]

LEASE_S = 1.2
"""Lease of a node in the store: bounds how long a dead owner goes unnoticed."""
RENEW_S = 0.35
"""Two renewals may be lost before the lease ends."""
RENEW_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 0.9
"""A slow store answers in 0.25 s."""
SETTLE_STEP_S = 0.015
"""A candidate waits this long for each one before it: a try takes 0.008 s."""
LONGEST_SETTLE_S = 0.06
YIELD_RATIO = 1.5
"""An owner hands over to a node with this many times its processor share."""
YIELD_AFTER_S = 2.0
"""Not sooner after it won: nodes that start together register within a second."""
WATCH_WAIT_S = 2.5
"""A watch may miss changes unnoticed: a free ownership is found at most this much later."""


class NodeEntry(msgspec.Struct, frozen=True):
    """A live node: where its peers reach it, and the part of a core that its thread gets."""

    address: str
    failure_domain: str
    core_share: float = 1.0


class TermEntry(msgspec.Struct, frozen=True):
    """A term of ownership: its number, the owner's name, address and incarnation."""

    number: int
    owner: str
    address: str
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Ownership:
    """A term that this node has won.

    `term_revision` and `sequence_revision` are those of the keys that its writes depend on.
    """

    epoch: int
    term_revision: int
    sequence_revision: int
    won_s: float


class Membership:
    """Keeps the lease, follows the others, and wins the ownership when it is free.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    on_won : callable
        Called when this node becomes the owner.
    on_lost : callable
        Called with a reason when it is no longer.
    """

    def __init__(
        self,
        context: NodeContext,
        on_won: Callable[[Ownership], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._context = context
        self._on_won = on_won
        self._on_lost = on_lost
        self.nodes_by_name: dict[str, NodeEntry] = {}
        self.latest_epoch: TermEntry | None = None
        self.term_revision = 0
        self.owner: TermEntry | None = None
        self._owner_revision = 0
        self.ownership: Ownership | None = None
        self.may_own = False
        self._lost_term = 0
        self._gone: TermEntry | None = None
        """An owner whose process is known to be gone, though its lease goes on."""
        self.incarnation = secrets.token_hex(8)
        self.lease = 0
        self._yielded_to: set[str] = set()
        """Nodes that this one has handed over to, or tried to."""
        self.renewed_s = 0.0
        """When the last renewal that was answered had been sent."""
        self._is_changed = asyncio.Event()
        self._follower = PrefixFollower(
            context, SYSTEM_PREFIX, WATCH_WAIT_S, self._take_all, self._take
        )

    async def follow(self) -> None:
        """Follow the cell's keys until cancelled."""
        await self._follower.run()

    # The lease.

    async def keep_lease(self) -> None:
        """Open a lease and renew it until cancelled; a lost one is replaced."""
        while True:
            started_s = now_s()
            try:
                await self._renew(started_s)
                self._context.health.record_success()
                await self._yield_to_faster(started_s)
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
            await asyncio.sleep(max(0.05, RENEW_S - (now_s() - started_s)))

    async def _renew(self, started_s: float) -> None:
        store = self._context.store
        if self.lease and await store.renew_lease(self.lease, RENEW_TIMEOUT_S):
            self.renewed_s = started_s
            return
        if self.lease:
            self._context.log("lease_lost", lease=self.lease, age_s=started_s - self.renewed_s)
        self.lease = 0
        ttl_s = max(LEASE_S, self._context.settings.store_lease_s)
        self.lease = await store.open_lease(ttl_s, CALL_TIMEOUT_S)
        self.renewed_s = started_s
        await self._put_own_key()
        if self.ownership is not None:
            await self._put_owner_key(self.ownership)
        self._is_changed.set()

    async def _put_own_key(self) -> None:
        settings = self._context.settings
        entry = NodeEntry(settings.peer_address, settings.failure_domain, settings.core_share)
        put = Put(NODES_PREFIX + settings.name, msgspec.json.encode(entry), self.lease)
        await self._context.store.transact({}, [put], [], CALL_TIMEOUT_S)

    async def _put_owner_key(self, ownership: Ownership) -> None:
        """Claim the term of this node again after its lease had been lost."""
        put = Put(OWNER_KEY, self._own_entry(ownership.epoch), self.lease)
        expected = {OWNER_KEY: 0, TERM_KEY: ownership.term_revision}
        result = await self._context.store.transact(expected, [put], [], CALL_TIMEOUT_S)
        self._context.log("owner_key_renewed", term=ownership.epoch, end=result.end.name.lower())

    def _own_entry(self, term: int) -> bytes:
        settings = self._context.settings
        entry = TermEntry(term, settings.name, settings.peer_address, self.incarnation)
        return msgspec.json.encode(entry)

    # What the others wrote.

    def _take_all(self, items: tuple[Item, ...]) -> None:
        self.nodes_by_name.clear()
        keys = {item.key for item in items}
        if OWNER_KEY not in keys:
            self.owner = None
            self._owner_revision = 0
        self._take(items)

    def _take(self, items: tuple[Item, ...]) -> None:
        for item in items:
            try:
                self._take_item(item)
            except msgspec.MsgspecError as error:
                self._context.log("key_unreadable", key=item.key, error=error)
        self._is_changed.set()

    def _take_item(self, item: Item) -> None:
        if item.key.startswith(NODES_PREFIX):
            name = item.key.removeprefix(NODES_PREFIX)
            if item.value is None:
                self.nodes_by_name.pop(name, None)
            else:
                self.nodes_by_name[name] = msgspec.json.decode(item.value, type=NodeEntry)
        elif item.key == OWNER_KEY:
            self._take_owner(item)
        elif item.key == TERM_KEY and item.value is not None:
            self._take_term(item)

    def _take_owner(self, item: Item) -> None:
        owner = None if item.value is None else msgspec.json.decode(item.value, type=TermEntry)
        if owner != self.owner:
            name = owner.owner if owner else "none"
            self._context.log("owner_seen", owner=name, term=owner.number if owner else 0)
        self.owner = owner
        self._owner_revision = item.revision if owner else 0

    def _take_term(self, item: Item) -> None:
        assert item.value is not None
        if item.revision <= self.term_revision:
            return
        self.latest_epoch = msgspec.json.decode(item.value, type=TermEntry)
        self.term_revision = item.revision
        mine = self.ownership
        if mine is not None and item.revision > mine.term_revision:
            self.give_up_ownership("another_term")

    def give_up_ownership(self, reason: str) -> None:
        """Give up the term of this node."""
        if self.ownership is None:
            return
        self._context.log("ownership_lost", term=self.ownership.epoch, reason=reason)
        self._lost_term = self.ownership.epoch
        self.ownership = None
        self._on_lost(reason)

    # The ownership.

    def wake(self) -> None:
        """Look again whether the ownership is free."""
        self._is_changed.set()

    async def contend_for_ownership(self) -> None:
        """Win the ownership whenever it is free, until cancelled."""
        while True:
            await self._is_changed.wait()
            self._is_changed.clear()
            self._claim_unanswered()
            if not self._is_free():
                continue
            await asyncio.sleep(min(LONGEST_SETTLE_S, SETTLE_STEP_S * self._place()))
            if not self._is_free():
                continue
            try:
                await self._try_to_win()
            except STORE_ERRORS as error:
                self._gone = None
                self._context.log("election_failed", error=error)
                await asyncio.sleep(RENEW_S)
                self._is_changed.set()

    def _claim_unanswered(self) -> None:
        """Take the term of a transaction that was carried out but not answered."""
        owner, term = self.owner, self.latest_epoch
        if self.ownership is not None or owner is None or not self.may_own:
            return
        if owner.number <= self._lost_term:
            return
        if owner.incarnation != self.incarnation or term != owner or self._context.is_stopping:
            return
        self._win(owner.number, self.term_revision, now_s())

    def _win(self, term: int, revision: int, started_s: float) -> None:
        self.ownership = Ownership(term, revision, revision, started_s)
        self._context.log("ownership_won", term=term, revision=revision)
        self._on_won(self.ownership)

    def _is_free(self) -> bool:
        return (
            self.may_own
            and (self.owner is None or self._is_own_ghost() or self.owner == self._gone)
            and self.ownership is None
            and self.lease != 0
            and self._follower.revision != 0
            and not self._context.is_stopping
        )

    def take_over_from(self, owner: TermEntry) -> None:
        """Stand for the ownership though the owner's lease has not ended."""
        self._gone = owner
        self._is_changed.set()

    def _is_own_ghost(self) -> bool:
        """Return whether the owner was an earlier process of this node: that one is gone."""
        owner = self.owner
        return (
            owner is not None
            and owner.owner == self._context.settings.name
            and owner.incarnation != self.incarnation
        )

    def _place(self) -> int:
        """Return how many live nodes are better candidates: those with faster processors.

        Among equals the order changes from term to term.
        """
        own = self._context.settings

        def key(name: str, core_share: float) -> tuple[float, int]:
            return -core_share, xxhash.xxh32_intdigest(f"{name}/{self.term_revision}".encode())

        own_key = key(own.name, own.core_share)
        return sum(
            key(name, entry.core_share) < own_key
            for name, entry in self.nodes_by_name.items()
            if name != own.name and not (self.owner and name == self.owner.owner)
        )

    async def _yield_to_faster(self, now: float) -> None:
        """Hand over from a slow VM, once for each faster node that is there."""
        mine = self.ownership
        if mine is None or now - mine.won_s < YIELD_AFTER_S:
            return
        least_share = YIELD_RATIO * self._context.settings.core_share
        faster = {
            name for name, entry in self.nodes_by_name.items() if entry.core_share >= least_share
        }
        if faster - self._yielded_to:
            self._yielded_to |= faster
            await self.resign("faster_node")

    async def _try_to_win(self) -> None:
        term = (self.latest_epoch.number if self.latest_epoch else 0) + 1
        value = self._own_entry(term)
        expected = {OWNER_KEY: self._owner_revision, TERM_KEY: self.term_revision}
        puts = [
            Put(OWNER_KEY, value, self.lease),
            Put(TERM_KEY, value),
            Put(SEQUENCE_KEY, msgspec.json.encode([term, 0])),
        ]
        started_s = now_s()
        result = await self._context.store.transact(expected, puts, [], CALL_TIMEOUT_S)
        if result.end is not TransactionEnd.DONE:
            self._context.log("election_lost", term=term, end=result.end.name.lower())
            await self._follower.read()
            return
        self.latest_epoch = msgspec.json.decode(value, type=TermEntry)
        self.term_revision = result.revision
        if self.ownership is None:
            self._win(term, result.revision, started_s)

    async def resign(self, reason: str) -> None:
        """Free the ownership so that another node takes over at once."""
        if self.ownership is None:
            return
        term_revision = self.ownership.term_revision
        self.give_up_ownership(reason)
        expected = {TERM_KEY: term_revision}
        await self._context.store.transact(expected, [], [OWNER_KEY], CALL_TIMEOUT_S)

    async def leave(self) -> None:
        """End the lease, and with it this node's keys."""
        if self.lease:
            await self._context.store.end_lease(self.lease, CALL_TIMEOUT_S)
