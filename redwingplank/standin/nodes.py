"""In-memory nodes: their state machines, driven by a fake clock and a fake network.

Nothing waits in real time: every delivery is an event with a time, and `NodeCell.run_until` runs
the events in the order of their times.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from redwingplank.config.follow import (
    FollowAction,
    FollowState,
    OpenWatch,
    ReadAll,
    ReadHead,
)
from redwingplank.config.replica import MergeOutcome
from redwingplank.config.stored import HEAD_KEY, LIVE_PREFIX, Head, decode_live_set
from redwingplank.core import FakeClock
from redwingplank.membership import (
    DomainSummary,
    MembershipAction,
    MembershipState,
    NodeIdentity,
    ReadList,
    SendHeartbeat,
    SendSummary,
)
from redwingplank.platform import WatchBatch
from redwingplank.standin.store import MemoryStore
from redwingplank.standin.vms import LaggingVmList

__all__ = [
    "Latencies",
    "MemoryNode",
    "NodeCell",
    "Traffic",
    "make_memory_node",
    "make_node_cell",
]

TICK_S = 0.25


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way latencies of the fake network, in seconds."""

    store_s: float = 0.005
    domain_s: float = 0.001
    other_domain_s: float = 0.02


@dataclass(slots=True)
class Traffic:
    """Counts of bytes by node, and of bytes and messages by message kind.

    Both directions of a call are counted. The bytes of a message are counted at both its nodes.
    """

    bytes_by_node: Counter[str] = field(default_factory=Counter)
    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    messages_by_kind: Counter[str] = field(default_factory=Counter)


class MemoryNode:
    """One node: its state machines for membership and declarations, and its fault switches."""

    def __init__(self, membership: MembershipState, follow: FollowState) -> None:
        self.membership = membership
        self.follow = follow
        self.is_dead = False
        self.paused_until_s = 0.0
        self.is_store_down = False
        self.is_watch_silent = False
        self.watch_number = 0
        self.in_force_at_s: dict[int, float] = {}

    @property
    def identity(self) -> NodeIdentity:
        """Name, failure domain and address of the node."""
        return self.membership.identity


class NodeCell:
    """All nodes of a cell, with one store and one list of VMs.

    Parameters
    ----------
    clock : FakeClock
        Clock of all nodes, advanced by `run_until`.
    store : MemoryStore
        Store of the platform.
    vms : LaggingVmList
        List of VMs of the platform.
    latencies : Latencies
        Latencies of the network.
    size_of : callable
        Function that returns the size of a message in bytes.
    """

    def __init__(
        self,
        clock: FakeClock,
        store: MemoryStore,
        vms: LaggingVmList,
        latencies: Latencies,
        size_of: Callable[[Any], int],
    ) -> None:
        self.clock = clock
        self.store = store
        self.vms = vms
        self.latencies = latencies
        self.size_of = size_of
        self.traffic = Traffic()
        self.nodes_by_address: dict[str, MemoryNode] = {}
        self.cut_domains: set[str] = set()
        self.is_store_down = False
        self.store_call_times_s: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    @property
    def nodes(self) -> list[MemoryNode]:
        """All nodes, including dead ones."""
        return list(self.nodes_by_address.values())

    def add(self, node: MemoryNode) -> None:
        """Start a node now; it replaces an earlier node at the same address."""
        self.nodes_by_address[node.identity.address] = node
        self._schedule_at(self.clock.now_s(), lambda: self._tick(node))

    def run_until(self, end_s: float) -> None:
        """Run all events up to `end_s`, and advance the clock to it."""
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            action()
        self.clock.advance(max(0.0, end_s - self.clock.now_s()))

    def run_for(self, duration_s: float) -> None:
        """Run all events of the next `duration_s` seconds."""
        self.run_until(self.clock.now_s() + duration_s)

    def _schedule_at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _tick(self, node: MemoryNode) -> None:
        if node.is_dead or self.nodes_by_address.get(node.identity.address) is not node:
            return
        now_s = self.clock.now_s()
        if node.paused_until_s > now_s:
            self._schedule_at(node.paused_until_s, lambda: self._tick(node))
            return
        for action in node.membership.tick(now_s):
            self._execute_membership(node, action)
        self._step_follow(node)
        self._schedule_at(now_s + TICK_S, lambda: self._tick(node))

    def _step_follow(self, node: MemoryNode) -> None:
        for action in node.follow.step(self.clock.now_s()):
            self._execute_follow(node, action)

    def _execute_membership(self, node: MemoryNode, action: MembershipAction) -> None:
        now_s = self.clock.now_s
        if isinstance(action, ReadList):
            listing = self.vms.read(action.failure_domain)
            node.membership.on_list(now_s(), listing)
        elif isinstance(action, SendHeartbeat):
            self._call(
                node,
                action.address,
                action.heartbeat,
                lambda peer: peer.membership.on_heartbeat(now_s(), action.heartbeat),
                lambda answer: node.membership.on_answer(now_s(), answer),
                lambda: None,
            )
        elif isinstance(action, SendSummary):
            self._call(
                node,
                action.address,
                action.summary,
                lambda peer: peer.membership.on_summary(now_s(), action.summary),
                lambda answer: self._handle_summary(node, answer),
                lambda: node.membership.on_summary_failed(action.failure_domain),
            )

    def _handle_summary(self, node: MemoryNode, answer: DomainSummary) -> None:
        node.membership.on_summary(self.clock.now_s(), answer)

    def _execute_follow(self, node: MemoryNode, action: FollowAction) -> None:
        if isinstance(action, OpenWatch):
            self._open_watch(node, action.after_store_revision)
        else:
            self._read_store(node, action)

    def _record_merge(self, node: MemoryNode, outcome: MergeOutcome) -> None:
        if outcome is MergeOutcome.ADOPTED:
            node.in_force_at_s[node.follow.revision] = self.clock.now_s()
        self._step_follow(node)

    def _read_store(self, node: MemoryNode, action: ReadAll | ReadHead) -> None:
        def fail() -> None:
            node.membership.note_store(self.clock.now_s(), is_reached=False)
            node.follow.on_read_failed(self.clock.now_s())

        def read() -> None:
            if self._is_cut_from_store(node):
                self._schedule_at(self.clock.now_s() + self.latencies.store_s, fail)
                return
            is_all = isinstance(action, ReadAll)
            result = self.store.read(LIVE_PREFIX if is_all else HEAD_KEY, is_all)
            live = decode_live_set(result.entries, result.revision)
            handle = self._handle_all if is_all else self._handle_head
            self._schedule_at(
                self.clock.now_s() + self.latencies.store_s, lambda: handle(node, live)
            )

        self._count_store_call()
        self._schedule_at(self.clock.now_s() + self.latencies.store_s, read)

    def _handle_all(self, node: MemoryNode, live: Any) -> None:
        node.membership.note_store(self.clock.now_s(), is_reached=True)
        self._record_merge(node, node.follow.on_all(self.clock.now_s(), live))

    def _handle_head(self, node: MemoryNode, live: Any) -> None:
        node.membership.note_store(self.clock.now_s(), is_reached=True)
        head: Head = live.head
        node.follow.on_head(self.clock.now_s(), head, live.store_revision)
        self._step_follow(node)

    def _open_watch(self, node: MemoryNode, after_revision: int) -> None:
        self._count_store_call()
        node.watch_number += 1
        self._poll_watch(node, node.watch_number, after_revision)

    def _poll_watch(self, node: MemoryNode, number: int, after_revision: int) -> None:
        is_open = number == node.watch_number and not node.is_dead
        if not is_open or self.nodes_by_address.get(node.identity.address) is not node:
            return
        now_s = self.clock.now_s()
        if self._is_cut_from_store(node):
            node.follow.on_watch_ended(now_s)
            return
        revision = after_revision
        if self.store.revision > after_revision and not node.is_watch_silent:
            events = self.store.events_after(after_revision, LIVE_PREFIX)
            revision = self.store.revision
            batch = WatchBatch(events, revision)
            self._schedule_at(
                now_s + self.latencies.store_s, lambda: self._handle_batch(node, number, batch)
            )
        self._schedule_at(
            now_s + self.latencies.store_s, lambda: self._poll_watch(node, number, revision)
        )

    def _handle_batch(self, node: MemoryNode, number: int, batch: WatchBatch) -> None:
        if number == node.watch_number and not node.is_dead:
            self._record_merge(node, node.follow.on_watch_batch(self.clock.now_s(), batch))

    def _is_cut_from_store(self, node: MemoryNode) -> bool:
        is_cut = node.identity.failure_domain in self.cut_domains
        return self.is_store_down or node.is_store_down or is_cut

    def _count_store_call(self) -> None:
        self.store_call_times_s.append(self.clock.now_s())

    def _call(
        self,
        node: MemoryNode,
        address: str,
        message: Any,
        serve: Callable[[MemoryNode], Any],
        handle: Callable[[Any], None],
        fail: Callable[[], None],
    ) -> None:
        peer = self.nodes_by_address.get(address)
        if peer is None or peer.is_dead or self._is_cut(node, peer):
            self._schedule_at(self.clock.now_s() + 1.0, lambda: self._run_if_alive(node, fail))
            return
        delay_s = self._delay_s(node, peer)
        self._count_traffic(node, peer, message)

        def deliver() -> None:
            now_s = self.clock.now_s()
            if peer.is_dead:
                self._schedule_at(now_s + 1.0, lambda: self._run_if_alive(node, fail))
            elif peer.paused_until_s > now_s:
                self._schedule_at(peer.paused_until_s, deliver)
            else:
                answer = serve(peer)
                self._count_traffic(peer, node, answer)
                self._schedule_at(
                    now_s + delay_s, lambda: self._run_if_alive(node, lambda: handle(answer))
                )

        self._schedule_at(self.clock.now_s() + delay_s, deliver)

    def _run_if_alive(self, node: MemoryNode, action: Callable[[], None]) -> None:
        if node.is_dead:
            return
        if node.paused_until_s > self.clock.now_s():
            self._schedule_at(node.paused_until_s, lambda: self._run_if_alive(node, action))
        else:
            action()

    def _is_cut(self, node: MemoryNode, peer: MemoryNode) -> bool:
        domains = {node.identity.failure_domain, peer.identity.failure_domain}
        return len(domains) == 2 and bool(domains & self.cut_domains)

    def _delay_s(self, node: MemoryNode, peer: MemoryNode) -> float:
        is_same = node.identity.failure_domain == peer.identity.failure_domain
        return self.latencies.domain_s if is_same else self.latencies.other_domain_s

    def _count_traffic(self, sender: MemoryNode, receiver: MemoryNode, message: Any) -> None:
        size_bytes = self.size_of(message)
        kind = type(message).__name__
        self.traffic.bytes_by_node[sender.identity.address] += size_bytes
        self.traffic.bytes_by_node[receiver.identity.address] += size_bytes
        self.traffic.bytes_by_kind[kind] += size_bytes
        self.traffic.messages_by_kind[kind] += 1


def make_node_cell(
    domain_count: int,
    nodes_per_domain: int,
    seed: int = 1,
    latencies: Latencies | None = None,
    size_of: Callable[[Any], int] = lambda message: 0,
) -> NodeCell:
    """Return a cell whose nodes know each other from their settings and start immediately."""
    clock = FakeClock(1000.0)
    cell = NodeCell(
        clock,
        MemoryStore(clock),
        LaggingVmList(clock, 5.0),
        latencies or Latencies(),
        size_of,
    )
    addresses_by_name = {
        f"domain-{domain}/node-{domain}-{index}": f"10.0.{domain}.{index}:1"
        for domain in range(domain_count)
        for index in range(nodes_per_domain)
    }
    for number, full_name in enumerate(addresses_by_name):
        cell.add(make_memory_node(cell, full_name, addresses_by_name, seed * 1000 + number))
    return cell


def make_memory_node(
    cell: NodeCell, full_name: str, addresses_by_name: dict[str, str], seed: int
) -> MemoryNode:
    """Return a node that starts without any declarations."""
    failure_domain, _, name = full_name.partition("/")
    identity = NodeIdentity(name, failure_domain, addresses_by_name[full_name])
    now_s = cell.clock.now_s()
    membership = MembershipState(
        identity, int(now_s), now_s, addresses_by_name, np.random.default_rng(seed)
    )
    return MemoryNode(membership, FollowState(np.random.default_rng(seed + 1)))
