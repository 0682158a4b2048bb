"""`redwing-entry`: receives requests and jobs from callers."""

import asyncio
import sys
import uuid

from redwingplank.api import guard_entry_app, make_entry_app
from redwingplank.cli.node import UPSTREAM_CONNECTIONS, NodeConnections
from redwingplank.cli.program import Program, read_settings, run_program
from redwingplank.cli.settings import EntrySettings
from redwingplank.config import Declarations
from redwingplank.platform import ListedVm, VmRole
from redwingplank.platform.http import (
    HttpServer,
    HttpUpstreamClient,
    make_limits,
    serve_http,
)
from redwingplank.routing import RouterSettings, make_router
from redwingplank.rpc.scheduler_calls import SchedulerCalls
from redwingplank.runtime.credits import (
    CREDITS_SERVICE,
    CreditExchange,
    CreditService,
    EntryPlace,
    RpcCreditClient,
)
from redwingplank.runtime.entry import EntryParts, EntryRuntime
from redwingplank.runtime.entry_client import HttpEntryClient
from redwingplank.runtime.jobs import JobGateway
from redwingplank.runtime.metrics import MetricsReporter
from redwingplank.runtime.order_service import RpcOrderRegistry
from redwingplank.runtime.requests import ProxySettings, make_request_proxy
from redwingplank.runtime.shards import ShardDirectory, shard_names

__all__ = ["EntryProgram", "main"]

SHORT_ID_CHARACTERS = 8
LIST_REPUBLISH_INTERVAL_S = 5.0
"""Seconds after which an unchanged list of VMs is passed to the credit grantor again.

The grantor measures how long an entry has been missing from the list, so it needs regular updates.
"""

NANOSECONDS_PER_SECOND = 1_000_000_000


class EntryProgram(Program):
    """An entry with its connections to the platform and to its peers.

    Parameters
    ----------
    settings : EntrySettings
        From flags and environment variables.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.node = NodeConnections(
            settings, self.change_declarations, connections_per_upstream(settings)
        )
        self.runtime = EntryRuntime(self._make_parts(), self.node.clock)
        self.credits = self._make_credits()
        self._metrics = MetricsReporter(
            settings.statsd_address,
            f"redwing.entry.{settings.name}",
            {"requests": self.runtime.gauges, "node": self.node.gauges},
        )
        self._server: HttpServer | None = None
        self._published_list: tuple[ListedVm, ...] = ()
        self._republish_list_at_s = 0.0

    async def start(self) -> None:
        await self.node.start({CREDITS_SERVICE: CreditService(self.credits)})
        runtime = self.runtime
        runtime.start(
            runtime.parts.directory.refresh_forever(),
            runtime.follow_upstreams(self._read_upstreams),
            self.credits.run(),
            self._metrics.run(),
        )
        app = make_entry_app(runtime.parts.proxy, runtime.parts.gateway, runtime)
        settings = self._settings
        self._server = await serve_http(
            guard_entry_app(app),
            [settings.http_address],
            settings.drain_limit_s,
            make_limits(settings.memory_mb, settings.descriptors),
        )

    async def wait(self) -> None:
        await self.runtime.wait()

    async def drain(self) -> None:
        self.runtime.begin_leaving()
        self.node.membership.leave()
        await asyncio.sleep(self._settings.drain_notice_s)
        if self._server is not None:
            await self._server.stop()
        await self.runtime.finish_requests()
        await self.credits.leave()
        await self.runtime.stop()
        await self.node.stop()

    def describe_in_flight(self) -> str:
        gauges = self.runtime.gauges()
        return f"{gauges['in_flight']:g} requests at upstreams, {gauges['waiting']:g} waiting"

    def change_declarations(self, declarations: Declarations) -> None:
        """Apply a newer revision of the declarations."""
        self.runtime.change_declarations(declarations)

    def _make_parts(self) -> EntryParts:
        settings, node = self._settings, self.node
        router = make_router(
            RouterSettings(
                entry=settings.name,
                failure_domain=settings.failure_domain,
                uses_credits=True,
                seed=node.seed,
            ),
            node.clock.now_s(),
        )
        calls = SchedulerCalls(node.peers)
        shards = shard_names(settings.failure_domains, settings.shards_per_domain)
        directory = ShardDirectory(calls, shards, settings.schedulers, settings.failure_domain)
        addresses = {
            name.partition("/")[2]: address for name, address in settings.entries_http.items()
        }
        proxy = make_request_proxy(
            router,
            HttpUpstreamClient(node.session),
            RpcOrderRegistry(node.peers, shards, directory.find_owner),
            node.clock,
            entries=HttpEntryClient(node.session, addresses),
            settings=ProxySettings(settings.name, uuid.uuid4().hex[:SHORT_ID_CHARACTERS]),
        )
        return EntryParts(router, proxy, JobGateway(calls, directory), directory)

    def _make_credits(self) -> CreditExchange:
        settings, node, parts = self._settings, self.node, self.runtime.parts
        place = EntryPlace(
            settings.name,
            settings.rpc_address,
            settings.failure_domain,
            int(node.unix_clock.now_s() * NANOSECONDS_PER_SECOND),
            addresses_by_entry=self._addresses_in_domain(),
        )
        return CreditExchange(
            place,
            parts.router,
            parts.proxy.wake_waiting,
            node.store,
            RpcCreditClient(node.peers),
            node.clock,
        )

    def _read_upstreams(self, now_s: float) -> tuple[ListedVm, ...]:
        """Return the live upstreams.

        Passes the live upstreams and the listed entries to the credit exchange if they changed, or
        if `LIST_REPUBLISH_INTERVAL_S` has passed since the last time.
        """
        upstreams = self.node.membership.live_upstreams(now_s)
        listed = (*upstreams, *self._listed_entries())
        if listed != self._published_list or now_s >= self._republish_list_at_s:
            self._published_list = listed
            self._republish_list_at_s = now_s + LIST_REPUBLISH_INTERVAL_S
            self.credits.set_listed(listed)
        return upstreams

    def _addresses_in_domain(self) -> dict[str, str]:
        """Return the RPC addresses of this failure domain's entries from the settings, by name."""
        prefix = f"{self._settings.failure_domain}/"
        return {
            name.removeprefix(prefix): address
            for name, address in self._settings.entries.items()
            if name.startswith(prefix)
        }

    def _listed_entries(self) -> tuple[ListedVm, ...]:
        """Return the listed entry VMs, or those of the settings if the list has none."""
        listed = self.node.membership.listed_entries()
        if listed:
            return listed
        domain = self._settings.failure_domain
        return tuple(
            ListedVm(name, VmRole.ENTRY, domain, "", address)
            for name, address in self._addresses_in_domain().items()
        )


def connections_per_upstream(settings: EntrySettings) -> int:
    """Return the number of connections that an entry may open to each upstream.

    The entries of a failure domain share `UPSTREAM_CONNECTIONS` equally; each gets at least one.
    """
    domains = [name.partition("/")[0] for name in settings.entries]
    return max(1, UPSTREAM_CONNECTIONS // max(1, domains.count(settings.failure_domain)))


def main() -> None:
    """Read the settings and run the entry."""
    settings = read_settings("redwing-entry", EntrySettings, __doc__ or "")
    sys.exit(run_program(lambda: EntryProgram(settings), settings.log_level))


if __name__ == "__main__":
    main()
