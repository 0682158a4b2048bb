"""Runs membership at one node: heartbeats, domain summaries and the platform's VM list."""

import asyncio
from collections.abc import Coroutine, Mapping
from contextlib import suppress
from typing import Any

import logbook
import numpy as np
import xxhash

from redwingplank.core import Clock, log_event, make_logger
from redwingplank.membership import (
    DomainSummary,
    Heartbeat,
    MembershipAction,
    MembershipState,
    MembershipTiming,
    NodeIdentity,
    Peer,
    ReadList,
    SendHeartbeat,
    SendSummary,
    VmWord,
    VmWordKind,
)
from redwingplank.platform import ListedVm, PlatformError, VmList, VmRole
from redwingplank.rpc import RpcError
from redwingplank.rpc.membership_calls import (
    MembershipCalls,
    MembershipHandler,
    make_membership_server,
)
from redwingplank.rpc.membership_codec import NodeReport
from redwingplank.runtime.declarations import DeclarationsFollower

__all__ = ["MembershipNode"]

TICK_S = 0.25
HEARTBEAT_TIMEOUT_S = 1.0
SUMMARY_TIMEOUT_S = 2.0

_logger = make_logger("membership")


class MembershipNode(MembershipHandler):
    """Membership of one node, exchanged with the other nodes over RPC.

    Parameters
    ----------
    identity : NodeIdentity
        Name, failure domain and address of this node.
    vm_list : VmList
        The platform's list of VMs.
    calls : MembershipCalls
        Calls to the other nodes.
    clock : Clock
        Monotonic clock.
    addresses_by_name : mapping of str to str
        RPC addresses of all nodes in the settings, by ``"FAILURE_DOMAIN/NAME"``; may include this
        node.
    incarnation : int
        Number that is higher than that of an earlier process of the same name, such as the start
        time in seconds since 1970.
    seed : int
        Seed of the jitter; 0 derives one from the name.
    timing : MembershipTiming, optional
        Intervals and time limits.

    Notes
    -----
    `server` has to be served under `MEMBERSHIP_SERVICE` at the address of `identity`.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        vm_list: VmList,
        calls: MembershipCalls,
        clock: Clock,
        *,
        addresses_by_name: Mapping[str, str],
        incarnation: int,
        seed: int = 0,
        timing: MembershipTiming | None = None,
    ) -> None:
        generator = np.random.default_rng(seed or xxhash.xxh64_intdigest(identity.name.encode()))
        self._state = MembershipState(
            identity, incarnation, clock.now_s(), addresses_by_name, generator, timing
        )
        self._vm_list = vm_list
        self._calls = calls
        self._clock = clock
        self._follower: DeclarationsFollower | None = None
        self._wake = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._peers_logged: tuple[str, ...] = ()
        self.server: Any = make_membership_server(self)

    def attach_follower(self, follower: DeclarationsFollower) -> None:
        """Set the follower whose revision is reported to operators."""
        self._follower = follower

    async def start(self) -> None:
        """Start to send heartbeats and to read the VM list; returns at once."""
        self._loop_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel all calls."""
        tasks = ([self._loop_task] if self._loop_task else []) + list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._loop_task = None

    def leave(self) -> None:
        """Notify the other nodes at once that this node stops."""
        self._state.leave()
        self._wake.set()

    def mark_leaving(self, vm: str) -> None:
        """Record a VM's own statement that it leaves, and notify the failure domain at once."""
        self.on_word(VmWord(vm, VmWordKind.LEAVING))

    def live_upstreams(self, now_s: float) -> tuple[ListedVm, ...]:
        """Return the upstreams of this failure domain that may be given new requests."""
        return self._state.live_upstreams()

    def listed_entries(self) -> tuple[ListedVm, ...]:
        """Return the entry VMs of this failure domain that are on the platform's list."""
        return self._state.vms.listed(VmRole.ENTRY)

    def live_peers(self, now_s: float) -> tuple[Peer, ...]:
        """Return the other live nodes of this failure domain."""
        return self._state.live_peers()

    def cut_off_from(self, now_s: float) -> tuple[str, ...]:
        """Return what is unreachable: failure domains by name, ``"store"`` and ``"vm-list"``."""
        return self._state.cut_off_from(now_s)

    def on_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        answer = self._state.on_heartbeat(self._clock.now_s(), heartbeat)
        self._wake_if_urgent()
        return answer

    def on_summary(self, summary: DomainSummary) -> DomainSummary:
        return self._state.on_summary(self._clock.now_s(), summary)

    def on_word(self, word: VmWord) -> None:
        log_event(_logger, "vm_marked", vm=word.vm, kind=word.kind)
        self._state.mark(self._clock.now_s(), word)
        self._wake_if_urgent()

    def report(self) -> NodeReport:
        follower = self._follower
        identity = self._state.identity
        return NodeReport(
            name=identity.name,
            failure_domain=identity.failure_domain,
            revision=follower.revision if follower else 0,
            is_leaving=self._state.is_leaving,
            is_watching=follower.is_watching if follower else False,
            live_peers=tuple(peer.name for peer in self._state.live_peers()),
            live_upstreams=tuple(vm.name for vm in self._state.live_upstreams()),
            cut_off_from=self._state.cut_off_from(self._clock.now_s()),
        )

    def record_store_call(self, is_reached: bool) -> None:
        """Record whether a call of this node reached the store."""
        self._state.note_store(self._clock.now_s(), is_reached)

    async def _run(self) -> None:
        while True:
            for action in self._state.tick(self._clock.now_s()):
                self._spawn(self._execute(action))
            self._log_peers()
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, action: MembershipAction) -> None:
        if isinstance(action, SendHeartbeat):
            await self._send_heartbeat(action)
        elif isinstance(action, SendSummary):
            await self._send_summary(action)
        elif isinstance(action, ReadList):
            await self._read_list(action)

    async def _send_heartbeat(self, action: SendHeartbeat) -> None:
        try:
            answer = await self._calls.heartbeat(
                action.address, action.heartbeat, HEARTBEAT_TIMEOUT_S
            )
        except RpcError:
            return
        self._state.on_answer(self._clock.now_s(), answer)
        self._wake_if_urgent()

    async def _send_summary(self, action: SendSummary) -> None:
        try:
            answer = await self._calls.summary(action.address, action.summary, SUMMARY_TIMEOUT_S)
        except RpcError:
            self._state.on_summary_failed(action.failure_domain)
            return
        self._state.on_summary(self._clock.now_s(), answer)

    async def _read_list(self, action: ReadList) -> None:
        try:
            listing = await self._vm_list.read(action.failure_domain)
        except PlatformError as error:
            log_event(_logger, "list_failed", level=logbook.WARNING, error=str(error))
            self._state.on_list_failed(self._clock.now_s())
            return
        self._state.on_list(self._clock.now_s(), listing)

    def _wake_if_urgent(self) -> None:
        if self._state.is_urgent:
            self._wake.set()

    def _log_peers(self) -> None:
        names = tuple(sorted(peer.name for peer in self._state.live_peers()))
        if names != self._peers_logged:
            self._peers_logged = names
            log_event(_logger, "peers_changed", live=",".join(names))
