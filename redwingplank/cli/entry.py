"""`redwing-entry`: takes callers' requests and jobs."""

import asyncio
import sys
import uuid

import xxhash

from redwingplank.api import make_entry_app
from redwingplank.cli.program import Program, read_settings, run_program
from redwingplank.cli.settings import EntrySettings
from redwingplank.config import Declarations
from redwingplank.core import Clock, MonotonicClock, UnixClock
from redwingplank.platform import KeyValueStore, VmRole
from redwingplank.platform.http import (
    HttpKeyValueStore,
    HttpServer,
    HttpUpstreamClient,
    HttpVmList,
    open_session,
    serve_http,
)
from redwingplank.routing import RouterSettings, make_router
from redwingplank.routing.orders import OrderBook
from redwingplank.rpc import PeerConnections
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


class EntryProgram(Program):
    """The entry with its connections to platform and peers.

    Parameters
    ----------
    settings : EntrySettings
        From flags and environment variables.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._session = open_session()
        self._store = HttpKeyValueStore(self._session, settings.store_url, settings.store_timeout_s)
        self._vm_list = HttpVmList(self._session, settings.vms_url, settings.store_timeout_s)
        self._peers = PeerConnections()
        self._home = make_order_home(self._store)
        parts = self._make_parts()
        self.runtime = EntryRuntime(parts, self._clock)
        self._metrics = MetricsReporter(
            settings.statsd_address,
            f"redwing.entry.{settings.name}",
            {"requests": self.runtime.gauges},
        )
        self._server: HttpServer | None = None

    async def start(self) -> None:
        await self._home.start()
        runtime = self.runtime
        await runtime.parts.directory.refresh()
        runtime.start(
            runtime.parts.directory.refresh_forever(), self._poll_list(), self._metrics.run()
        )
        app = make_entry_app(runtime.parts.proxy, runtime.parts.gateway, runtime)
        settings = self._settings
        self._server = await serve_http(app, [settings.http_address], settings.drain_limit_s)

    async def wait(self) -> None:
        await self.runtime.wait()

    async def drain(self) -> None:
        self.runtime.begin_leaving()
        await asyncio.sleep(self._settings.drain_notice_s)
        if self._server is not None:
            await self._server.stop()
        await self.runtime.stop()
        self._peers.close()
        await self._session.close()

    def describe_in_flight(self) -> str:
        gauges = self.runtime.gauges()
        return f"{gauges['in_flight']:g} requests at upstreams, {gauges['waiting']:g} waiting"

    def change_declarations(self, declarations: Declarations) -> None:
        """Take in a newer revision of the declarations."""
        self.runtime.change_declarations(declarations)

    def _make_parts(self) -> EntryParts:
        settings = self._settings
        router = make_router(
            RouterSettings(
                entry=settings.name,
                failure_domain=settings.failure_domain,
                seed=settings.seed or xxhash.xxh32_intdigest(settings.name.encode()),
            ),
            self._clock.now_s(),
        )
        proxy = make_request_proxy(
            router,
            HttpUpstreamClient(self._session),
            self._home,
            self._clock,
            settings=ProxySettings(settings.name, uuid.uuid4().hex[:SHORT_ID_CHARACTERS]),
        )
        calls = SchedulerCalls(self._peers)
        shards = shard_names(settings.failure_domains, settings.shards_per_domain)
        directory = ShardDirectory(calls, shards, settings.schedulers, settings.failure_domain)
        return EntryParts(router, proxy, JobGateway(calls, directory), directory)

    async def _poll_list(self) -> None:
        while True:
            listing = await self._vm_list.read()
            upstreams = tuple(vm for vm in listing.vms if vm.role is VmRole.UPSTREAM)
            self.runtime.change_upstreams(upstreams)
            await asyncio.sleep(1.0)


def make_order_home(store: KeyValueStore, unix_clock: Clock | None = None) -> OrderHome:
    """Return a home of all orders that keeps its records in the store."""
    return OrderHome(OrderBook(), KeyValueOrderLog(store, "all"), unix_clock or UnixClock())


def main() -> None:
    """Run the program."""
    settings = read_settings("redwing-entry", EntrySettings, __doc__ or "")
    sys.exit(run_program(lambda: EntryProgram(settings), settings.log_level))


if __name__ == "__main__":
    main()
