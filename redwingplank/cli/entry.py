"""`redwing-entry`: takes callers' requests and jobs."""

import asyncio
import sys
import uuid

import logbook

from redwingplank.api import make_entry_app
from redwingplank.cli.node import NodeConnections
from redwingplank.cli.program import Program, read_settings, run_program
from redwingplank.cli.settings import EntrySettings
from redwingplank.config import Declarations
from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import KeyValueStore, PlatformError
from redwingplank.platform.budget import StorePurpose
from redwingplank.platform.http import HttpServer, HttpUpstreamClient, serve_http
from redwingplank.routing import RouterSettings, make_router
from redwingplank.routing.orders import OrderBook
from redwingplank.rpc.scheduler_calls import SchedulerCalls
from redwingplank.runtime.entry import EntryParts, EntryRuntime
from redwingplank.runtime.jobs import JobGateway
from redwingplank.runtime.metrics import MetricsReporter
from redwingplank.runtime.order_log import KeyValueOrderLog
from redwingplank.runtime.orders import OrderHome
from redwingplank.runtime.requests import ProxySettings, make_request_proxy
from redwingplank.runtime.shards import ShardDirectory, shard_names

__all__ = ["EntryProgram", "main"]

SHORT_ID_CHARACTERS = 8
EXPIRE_EVERY_S = 60.0
HOME_RETRY_S = 1.0

_logger = make_logger("entry")


class EntryProgram(Program):
    """The entry with its connections to platform and peers.

    Parameters
    ----------
    settings : EntrySettings
        From flags and environment variables.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.node = NodeConnections(settings, self.change_declarations)
        self._home = make_order_home(self.node.store(StorePurpose.JOURNAL), self.node.unix_clock)
        self.runtime = EntryRuntime(self._make_parts(), self.node.clock)
        self._metrics = MetricsReporter(
            settings.statsd_address,
            f"redwing.entry.{settings.name}",
            {"requests": self.runtime.gauges, "node": self.node.gauges},
        )
        self._server: HttpServer | None = None

    async def start(self) -> None:
        await self.node.start({})
        runtime = self.runtime
        runtime.start(
            self._home_loop(),
            runtime.parts.directory.refresh_forever(),
            runtime.follow_upstreams(self.node.membership.live_upstreams),
            self._metrics.run(),
        )
        app = make_entry_app(runtime.parts.proxy, runtime.parts.gateway, runtime)
        settings = self._settings
        self._server = await serve_http(app, [settings.http_address], settings.drain_limit_s)

    async def wait(self) -> None:
        await self.runtime.wait()

    async def drain(self) -> None:
        self.runtime.begin_leaving()
        self.node.membership.leave()
        await asyncio.sleep(self._settings.drain_notice_s)
        if self._server is not None:
            await self._server.stop()
        await self.runtime.stop()
        await self.node.stop()

    def describe_in_flight(self) -> str:
        gauges = self.runtime.gauges()
        return f"{gauges['in_flight']:g} requests at upstreams, {gauges['waiting']:g} waiting"

    def change_declarations(self, declarations: Declarations) -> None:
        """Take in a newer revision of the declarations."""
        self.runtime.change_declarations(declarations)

    def _make_parts(self) -> EntryParts:
        settings, node = self._settings, self.node
        router = make_router(
            RouterSettings(
                entry=settings.name, failure_domain=settings.failure_domain, seed=node.seed
            ),
            node.clock.now_s(),
        )
        proxy = make_request_proxy(
            router,
            HttpUpstreamClient(node.session),
            self._home,
            node.clock,
            settings=ProxySettings(settings.name, uuid.uuid4().hex[:SHORT_ID_CHARACTERS]),
        )
        calls = SchedulerCalls(node.peers)
        shards = shard_names(settings.failure_domains, settings.shards_per_domain)
        directory = ShardDirectory(calls, shards, settings.schedulers, settings.failure_domain)
        return EntryParts(router, proxy, JobGateway(calls, directory), directory)

    async def _home_loop(self) -> None:
        """Read the orders' records, and delete those that are no longer needed."""
        is_started = False
        while True:
            try:
                if is_started:
                    await self._home.expire()
                else:
                    await self._home.start()
                    is_started = True
            except PlatformError as error:
                log_event(_logger, "orders_not_read", level=logbook.WARNING, error=str(error))
            await asyncio.sleep(EXPIRE_EVERY_S if is_started else HOME_RETRY_S)


def make_order_home(store: KeyValueStore, unix_clock: Clock) -> OrderHome:
    """Return a home of all orders that keeps its records in the store."""
    return OrderHome(OrderBook(), KeyValueOrderLog(store, "all"), unix_clock)


def main() -> None:
    """Run the program."""
    settings = read_settings("redwing-entry", EntrySettings, __doc__ or "")
    sys.exit(run_program(lambda: EntryProgram(settings), settings.log_level))


if __name__ == "__main__":
    main()
