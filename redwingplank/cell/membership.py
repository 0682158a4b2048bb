"""A node's lease in the store, the other live nodes, and the election of the owner of the jobs."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec
import xxhash

from redwingplank.batch.fencing import next_epoch
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.follower import PrefixFollower
from redwingplank.cell.keys import (
    EPOCH_KEY,
    NODES_PREFIX,
    OWNER_KEY,
    SEQUENCE_KEY,
    SYSTEM_PREFIX,
)
from redwingplank.cell.lease_bound import make_lease_bound_put
from redwingplank.cell.system_entries import (
    EpochEntry,
    NodeEntry,
    Ownership,
    decode_epoch,
    decode_node,
)
from redwingplank.core import InvalidValueError
from redwingplank.platform.site.store import Item, Put, TransactionOutcome

__all__ = ["Membership"]

LEASE_S = 1.2
"""Lease of a node in the store; bounds the time until a failed owner is detected."""
RENEW_S = 0.35
"""Period of renewals: two may be lost before the lease expires."""
RENEW_TIMEOUT_S = 0.5
PROOF_PERIOD_S = 0.35
"""An owner that has written nothing for this long reads the epoch key to prove its ownership."""
PROOF_CHECK_S = 0.1
"""Period of checking whether a proof is due."""
CALL_TIMEOUT_S = 0.9
"""Time-out of the other store calls; a slow store answers in 0.25 s."""
CANDIDATE_DELAY_S = 0.015
"""A candidate waits this long for each better one, so that the better one's attempt (0.008 s) comes
first."""
MAX_CANDIDATE_DELAY_S = 0.06
"""Upper bound of a candidate's wait."""
YIELD_RATIO = 1.5
"""An owner hands over to a node whose processor share is at least this many times its own."""
YIELD_AFTER_S = 2.0
"""Shortest time from winning to handing over: nodes that start together register within 1 s."""
WATCH_WAIT_S = 2.5
"""Longest wait of one watch call. A watch can miss changes without an error; a free ownership is
then found at most this much later."""


class Membership:
    """Renews the node's lease, follows the other nodes, and contends for a free ownership.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    on_won : callable
        Called with the ownership when this node becomes the owner.
    on_lost : callable
        Called with a reason when it no longer is the owner.
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
        self.latest_epoch: EpochEntry | None = None
        self.epoch_revision = 0
        self._bounded_since = 0
        """First epoch of the present series of owners that bound their leases, 0 if the latest
        epoch is of none or cannot be read."""
        self.owner: EpochEntry | None = None
        self._owner_revision = 0
        self.ownership: Ownership | None = None
        self.may_own = False
        self._lost_epoch = 0
        """Last epoch that this node gave up; the store may still show this node as its owner."""
        self._handed_over_epoch = 0
        """Last epoch whose owner key this node has removed."""
        self._ended_owner: EpochEntry | None = None
        """An owner whose process is known to have ended although its lease has not expired."""
        self.incarnation = secrets.token_hex(8)
        self.lease = 0
        self._is_registered = False
        """Whether the node's keys are attached to its lease."""
        self._is_resigning = False
        """Whether the removal of the owner key is under way."""
        self._resigned_for: set[str] = set()
        """Faster nodes for which this one has resigned, or tried to; it does so once for each."""
        self.renewed_s = 0.0
        """Time at which the last successful renewal was sent."""
        self.proven_s = float("-inf")
        """Time at which the last call was sent that proved this node's present ownership."""
        self._is_changed = asyncio.Event()
        self._follower = PrefixFollower(
            context, SYSTEM_PREFIX, WATCH_WAIT_S, self._handle_read, self._handle_changes
        )

    @property
    def remote_owner_address(self) -> str:
        """Address of the owner for peers; empty if there is none, or if it is this process."""
        owner = self.owner
        if owner is None or owner.incarnation == self.incarnation:
            return ""
        return owner.address

    async def follow(self) -> None:
        """Follow the cell's system keys in the store until cancelled."""
        await self._follower.run()

    # The node's lease, and the keys attached to it.

    async def keep_lease(self) -> None:
        """Open a lease and renew it until cancelled; an expired one is replaced."""
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
        if not self.lease or not await store.renew_lease(self.lease, RENEW_TIMEOUT_S):
            await self._replace_lease(started_s)
        self.renewed_s = started_s
        if not self._is_registered:
            await self._register()

    async def prove_ownership(self) -> None:
        """Prove this node's ownership again and again, until cancelled.

        The renewal of a lease proves nothing: another node may own the jobs meanwhile, and the
        watch that tells of it may miss the change.
        """
        while True:
            try:
                await self._read_epoch(now_s())
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
            await asyncio.sleep(PROOF_CHECK_S)

    async def _read_epoch(self, now: float) -> None:
        """Read the epoch key, unless something else has proven the ownership lately."""
        ownership = self.ownership
        if ownership is None or now - self.proven_s < PROOF_PERIOD_S:
            return
        item = await self._context.store.get(EPOCH_KEY, RENEW_TIMEOUT_S)
        if item is None:
            self.give_up_ownership("no_term")
        elif item.revision == ownership.epoch_revision:
            self.record_proof(ownership, now)
        else:
            self._handle_changes((item,))

    def record_proof(self, ownership: Ownership, sent_s: float) -> None:
        """Record that a call sent at `sent_s` has proven an ownership, if it is the present one."""
        if ownership is self.ownership:
            self.proven_s = max(self.proven_s, sent_s)

    async def _replace_lease(self, started_s: float) -> None:
        if self.lease:
            self._context.log("lease_lost", lease=self.lease, age_s=started_s - self.renewed_s)
        self.lease = 0
        self._is_registered = False
        ttl_s = max(LEASE_S, self._context.settings.store_lease_s)
        self.lease = await self._context.store.open_lease(ttl_s, CALL_TIMEOUT_S)

    async def _register(self) -> None:
        """Attach the node's keys to its lease; repeated with each renewal until it succeeds."""
        await self._put_own_key()
        if self.ownership is not None:
            await self._put_owner_key(self.ownership)
        self._is_registered = True
        self._is_changed.set()

    async def _put_own_key(self) -> None:
        settings = self._context.settings
        entry = NodeEntry(settings.peer_address, settings.failure_domain, settings.core_share)
        put = Put(NODES_PREFIX + settings.name, msgspec.json.encode(entry), self.lease)
        await self._context.store.transact({}, [put], [], CALL_TIMEOUT_S)

    async def _put_owner_key(self, ownership: Ownership) -> None:
        """Write the owner key again under a new lease, if no other node has become owner."""
        entry = self._own_entry(ownership.epoch, ownership.bounded_since)
        put = Put(OWNER_KEY, msgspec.json.encode(entry), self.lease)
        expected = {OWNER_KEY: 0, EPOCH_KEY: ownership.epoch_revision}
        result = await self._context.store.transact(expected, [put], [], CALL_TIMEOUT_S)
        self._context.log(
            "owner_key_renewed", term=ownership.epoch, end=result.outcome.name.lower()
        )

    def _own_entry(self, epoch: int, bounded_since: int) -> EpochEntry:
        settings = self._context.settings
        return EpochEntry(
            epoch, settings.name, settings.peer_address, self.incarnation, bounded_since
        )

    # Changes of the system keys.

    def _handle_read(self, items: tuple[Item, ...]) -> None:
        self.nodes_by_name.clear()
        keys = {item.key for item in items}
        if OWNER_KEY not in keys:
            self.owner = None
            self._owner_revision = 0
        self._handle_changes(items)

    def _handle_changes(self, items: tuple[Item, ...]) -> None:
        for item in items:
            try:
                self._apply_change(item)
            except InvalidValueError as error:
                self._context.log("key_unreadable", key=item.key, error=error)
        self._is_changed.set()

    def _apply_change(self, item: Item) -> None:
        if item.key.startswith(NODES_PREFIX):
            self._apply_node(item)
        elif item.key == OWNER_KEY:
            self._apply_owner(item)
        elif item.key == EPOCH_KEY and item.value is not None:
            self._apply_epoch(item.value, item.revision)

    def _apply_node(self, item: Item) -> None:
        name = item.key.removeprefix(NODES_PREFIX)
        self.nodes_by_name.pop(name, None)
        if item.value is not None:
            self.nodes_by_name[name] = decode_node(item.value)

    def _apply_owner(self, item: Item) -> None:
        """Take the owner of the key; one that cannot be read is none, and may be replaced."""
        previous, self.owner = self.owner, None
        self._owner_revision = item.revision if item.value is not None else 0
        try:
            self.owner = None if item.value is None else decode_epoch(item.value)
        finally:
            if self.owner != previous:
                name = self.owner.owner if self.owner else "none"
                number = self.owner.number if self.owner else 0
                self._context.log("owner_seen", owner=name, term=number)

    def _apply_epoch(self, value: bytes, revision: int) -> None:
        """Take the newest epoch; one that cannot be read ends the ownership but keeps the number.

        The workers refuse an owner whose tokens are too low, so that it takes the next number.
        """
        if revision <= self.epoch_revision:
            return
        self.epoch_revision = revision
        ownership = self.ownership
        if ownership is not None and revision > ownership.epoch_revision:
            self.give_up_ownership("another_term")
        self._bounded_since = 0
        self.latest_epoch = decode_epoch(value)
        self._bounded_since = self.latest_epoch.bounded_since

    def give_up_ownership(self, reason: str) -> None:
        """Give up this node's ownership, if it has one; nothing is written to the store."""
        if self.ownership is None:
            return
        self._context.log("ownership_lost", term=self.ownership.epoch, reason=reason)
        self._lost_epoch = self.ownership.epoch
        self.ownership = None
        self._on_lost(reason)

    # Election and resignation.

    def wake(self) -> None:
        """Check again whether the ownership is free."""
        self._is_changed.set()

    async def contend_for_ownership(self) -> None:
        """Try to win the ownership whenever it is free, until cancelled."""
        while True:
            await self._is_changed.wait()
            self._is_changed.clear()
            self._adopt_unanswered_win()
            if not self._is_free():
                continue
            await asyncio.sleep(
                min(MAX_CANDIDATE_DELAY_S, CANDIDATE_DELAY_S * self._count_better_candidates())
            )
            if not self._is_free():
                continue
            try:
                await self._try_to_win()
            except STORE_ERRORS as error:
                self._ended_owner = None
                self._context.log("election_failed", error=error)
                await asyncio.sleep(RENEW_S)
                self._is_changed.set()

    def _adopt_unanswered_win(self) -> None:
        """Become the owner if the store shows that an unanswered attempt to win was carried out."""
        owner, latest_epoch = self.owner, self.latest_epoch
        if self.ownership is not None or owner is None or not self.may_own:
            return
        if owner.number <= self._lost_epoch:
            return
        if (
            owner.incarnation != self.incarnation
            or latest_epoch != owner
            or self._context.is_stopping
        ):
            return
        self._become_owner(owner, self.epoch_revision, now_s())

    def _become_owner(self, entry: EpochEntry, revision: int, started_s: float) -> None:
        self.ownership = Ownership(entry.number, revision, revision, started_s, entry.bounded_since)
        self.proven_s = float("-inf")
        self._context.log("ownership_won", term=entry.number, revision=revision)
        self._on_won(self.ownership)

    def _is_free(self) -> bool:
        return (
            self.may_own
            and (
                self.owner is None
                or self._is_own_earlier_process()
                or self._is_given_up()
                or self.owner == self._ended_owner
            )
            and self.ownership is None
            and not self._is_resigning
            and self.lease != 0
            and self._follower.revision != 0
            and not self._context.is_stopping
        )

    def take_over_from(self, owner: EpochEntry) -> None:
        """Contend for the ownership although the owner's lease has not expired."""
        self._ended_owner = owner
        self._is_changed.set()

    def _is_own_earlier_process(self) -> bool:
        """Return whether the stored owner is an earlier process of this node, which has ended."""
        owner = self.owner
        return (
            owner is not None
            and owner.owner == self._context.settings.name
            and owner.incarnation != self.incarnation
        )

    def _is_given_up(self) -> bool:
        """Return whether the stored owner is this node, in an epoch that it has given up.

        Unless its key was removed, the key stays for as long as the lease is renewed, and no other
        node may take over.
        """
        owner = self.owner
        return (
            owner is not None
            and owner.incarnation == self.incarnation
            and self._handed_over_epoch < owner.number <= self._lost_epoch
        )

    def _count_better_candidates(self) -> int:
        """Return the number of live nodes that are better candidates, by their processor share.

        A hash decides between equal shares, so that the order changes with each epoch.
        """
        own = self._context.settings

        def key(name: str, core_share: float) -> tuple[float, int]:
            return -core_share, xxhash.xxh32_intdigest(f"{name}/{self.epoch_revision}".encode())

        own_key = key(own.name, own.core_share)
        return sum(
            key(name, entry.core_share) < own_key
            for name, entry in self.nodes_by_name.items()
            if name != own.name and not (self.owner and name == self.owner.owner)
        )

    async def _yield_to_faster(self, now: float) -> None:
        """Resign once for each live node with at least `YIELD_RATIO` times the processor share."""
        ownership = self.ownership
        if ownership is None or now - ownership.won_s < YIELD_AFTER_S:
            return
        least_share = YIELD_RATIO * self._context.settings.core_share
        faster = {
            name for name, entry in self.nodes_by_name.items() if entry.core_share >= least_share
        }
        if faster - self._resigned_for:
            self._resigned_for |= faster
            await self.resign("faster_node")

    async def _try_to_win(self) -> None:
        epoch = next_epoch(self.latest_epoch.number if self.latest_epoch else 0)
        entry = self._own_entry(epoch, self._bounded_since or epoch)
        value = msgspec.json.encode(entry)
        expected = {OWNER_KEY: self._owner_revision, EPOCH_KEY: self.epoch_revision}
        puts = [
            Put(OWNER_KEY, value, self.lease),
            Put(EPOCH_KEY, value),
            Put(SEQUENCE_KEY, msgspec.json.encode([epoch, 0])),
        ]
        if self.epoch_revision == 0:
            # The cell has never had an owner, so that there are no earlier leases.
            puts.append(make_lease_bound_put(epoch))
        started_s = now_s()
        result = await self._context.store.transact(expected, puts, [], CALL_TIMEOUT_S)
        if result.outcome is not TransactionOutcome.DONE:
            self._context.log("election_lost", term=epoch, end=result.outcome.name.lower())
            await self._follower.read()
            return
        self.latest_epoch = entry
        self._bounded_since = entry.bounded_since
        self.epoch_revision = result.revision
        if self.ownership is None:
            self._become_owner(entry, result.revision, started_s)
            self.proven_s = started_s

    async def resign(self, reason: str) -> None:
        """Give up the ownership and remove the owner key, so that another node can take over.

        If the key is not removed, this node contends for the ownership again.
        """
        if self.ownership is None:
            return
        epoch = self.ownership.epoch
        expected = {EPOCH_KEY: self.ownership.epoch_revision}
        self._is_resigning = True
        try:
            self.give_up_ownership(reason)
            store = self._context.store
            result = await store.transact(expected, [], [OWNER_KEY], CALL_TIMEOUT_S)
            if result.outcome is TransactionOutcome.DONE:
                self._handed_over_epoch = epoch
        finally:
            self._is_resigning = False
            self._is_changed.set()

    async def leave(self) -> None:
        """End the lease, which removes this node's keys from the store."""
        if self.lease:
            await self._context.store.end_lease(self.lease, CALL_TIMEOUT_S)
