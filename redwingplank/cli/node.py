"""Connections that entries and schedulers share: platform, peers, membership, declarations."""

from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
import xxhash

from redwingplank.cli.settings import NodeSettings
from redwingplank.config import Declarations
from redwingplank.core import MonotonicClock, UnixClock
from redwingplank.membership import NodeIdentity
from redwingplank.platform import KeyValueStore
from redwingplank.platform.http import HttpKeyValueStore, HttpVmList, open_session
from redwingplank.rpc import NodeServer, PeerConnections
from redwingplank.rpc.membership_calls import MEMBERSHIP_SERVICE, MembershipCalls
from redwingplank.runtime.counted_store import CountedStore
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.runtime.declarations import DeclarationsFollower
from redwingplank.runtime.membership import MembershipNode

__all__ = ["UPSTREAM_CONNECTIONS", "NodeConnections"]

UPSTREAM_CONNECTIONS = 64
"""HTTP connections that an upstream accepts, divided among the entries of its failure domain."""

MILLISECONDS_PER_SECOND = 1000


class NodeConnections:
    """Connections of one process to the platform and to its peers.

    Parameters
    ----------
    settings : NodeSettings
        From flags and environment variables.
    on_change : callable
        Called with each newer revision of the declarations.
    connections_per_host : int
        Limit of HTTP connections to one address.
    """

    def __init__(
        self,
        settings: NodeSettings,
        on_change: Callable[[Declarations], None],
        connections_per_host: int = UPSTREAM_CONNECTIONS,
    ) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        self.unix_clock = UnixClock()
        self.seed = settings.seed or xxhash.xxh32_intdigest(settings.name.encode())
        self.session: aiohttp.ClientSession = open_session(connections_per_host)
        self.vm_list = HttpVmList(self.session, settings.vms_url, settings.store_timeout_s)
        self.peers = PeerConnections()
        self._addresses_by_name = {**settings.entries, **settings.schedulers}
        self._counters = ProcessCounters()
        self.store: KeyValueStore = self._make_store()
        self.membership = self._make_membership()
        self.follower = DeclarationsFollower(
            self.store,
            on_change,
            self.clock,
            name=settings.name,
            seed=self.seed,
            on_store_call=self.membership.record_store_call,
        )
        self.membership.attach_follower(self.follower)
        self._server: NodeServer | None = None

    async def start(self, services_by_name: Mapping[str, Any]) -> None:
        """Serve membership and the given RPC services, and follow membership and declarations.

        Parameters
        ----------
        services_by_name : mapping of str to server
            RPC services of this process other than membership.
        """
        services = {MEMBERSHIP_SERVICE: self.membership.server, **services_by_name}
        server = NodeServer(services, self.settings.descriptors)
        await server.start(self.settings.rpc_address)
        self._server = server
        await self.membership.start()
        await self.follower.start()

    async def stop(self) -> None:
        """Stop following and serving, and close all connections."""
        await self.follower.stop()
        await self.membership.stop()
        if self._server is not None:
            await self._server.stop()
        self.peers.close()
        await self.session.close()

    def gauges(self) -> dict[str, float]:
        """Return gauges: store calls, live peers, live upstreams and the declarations' revision."""
        now_s = self.clock.now_s()
        return {
            "store.calls": self._counters.store_calls(),
            "peers.live": len(self.membership.live_peers(now_s)),
            "upstreams.live": len(self.membership.live_upstreams(now_s)),
            "declarations.revision": self.follower.revision,
        }

    def _make_store(self) -> KeyValueStore:
        settings = self.settings
        client = HttpKeyValueStore(self.session, settings.store_url, settings.store_timeout_s)
        return CountedStore(client, self._counters)

    def _make_membership(self) -> MembershipNode:
        settings = self.settings
        return MembershipNode(
            NodeIdentity(settings.name, settings.failure_domain, settings.rpc_address),
            self.vm_list,
            MembershipCalls(self.peers),
            self.clock,
            addresses_by_name=self._addresses_by_name,
            incarnation=int(self.unix_clock.now_s() * MILLISECONDS_PER_SECOND),
            seed=self.seed,
        )
