"""`redwing-scheduler`: competes for the ownership of the shards of its failure domain."""

import asyncio
import sys
from collections.abc import Collection, Sequence

from redwingplank.cli.node import NodeConnections
from redwingplank.cli.program import Program, read_settings, run_program
from redwingplank.cli.settings import SchedulerProgramSettings
from redwingplank.config import Declarations
from redwingplank.core import tune_collector
from redwingplank.platform.http import HttpWorkerClient
from redwingplank.routing.orders import OrderBook
from redwingplank.rpc.scheduler_calls import SCHEDULER_SERVICE
from redwingplank.runtime.metrics import MetricsReporter
from redwingplank.runtime.order_log import KeyValueOrderLog
from redwingplank.runtime.order_service import ORDERS_SERVICE, OrderService, OwnedOrderRegistries
from redwingplank.runtime.orders import ShardOrderRegistry
from redwingplank.runtime.scheduler import make_scheduler_process
from redwingplank.runtime.scheduler_core import SchedulerCore
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.runtime.shards import shard_names
from redwingplank.scheduling import SchedulerSettings, make_scheduler
from redwingplank.scheduling.messages import RecoveredState
from redwingplank.scheduling.ownership import LeaseSettings

__all__ = ["SchedulerProgram", "main"]

MILLISECONDS_PER_SECOND = 1000


class SchedulerProgram(Program):
    """A scheduler with its connections to the platform and to its peers.

    Parameters
    ----------
    settings : SchedulerProgramSettings
        From flags and environment variables.
    """

    def __init__(self, settings: SchedulerProgramSettings) -> None:
        self._settings = settings
        self.node = NodeConnections(settings, self.change_declarations)
        self.process = make_scheduler_process(
            make_process_settings(settings),
            self.node.store,
            self.node.vm_list,
            HttpWorkerClient(self.node.session),
            self.node.clock,
            self.node.unix_clock,
            self._make_core,
        )
        self._metrics = MetricsReporter(
            settings.statsd_address,
            f"redwing.scheduler.{settings.name}",
            {"node": self.node.gauges, "scheduler": self.process.gauges},
        )
        self._orders = OwnedOrderRegistries(self._make_order_registry, self._owned_shards)
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        services = {
            SCHEDULER_SERVICE: self.process.service(),
            ORDERS_SERVICE: OrderService(self._orders.registries_by_shard),
        }
        await self.node.start(services)
        self.process.start()
        loops = (self._metrics.run(), self._orders.run())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def wait(self) -> None:
        await self.process.wait()

    async def drain(self) -> None:
        live = self.node.membership.live_peers(self.node.clock.now_s())
        successor = choose_successor(self._candidates(), {peer.address for peer in live})
        self.node.membership.leave()
        await self.process.stop(successor)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.stop()

    def describe_in_flight(self) -> str:
        return f"shards {','.join(self._owned_shards()) or 'none'}"

    def change_declarations(self, declarations: Declarations) -> None:
        """Apply a newer revision of the declarations."""
        self.process.change_declarations(declarations)

    def _owned_shards(self) -> tuple[str, ...]:
        runners = self.process.runners_by_shard
        return tuple(
            shard for shard, runner in runners.items() if runner.ownership_runner is not None
        )

    def _make_order_registry(self, shard: str) -> ShardOrderRegistry:
        log = KeyValueOrderLog(self.node.store, shard)
        is_only_owner = self.process.runners_by_shard[shard].is_only_owner
        return ShardOrderRegistry(OrderBook(), log, self.node.unix_clock, is_only_owner)

    def _candidates(self) -> list[str]:
        """Return the addresses of the failure domain's other schedulers."""
        return list(make_process_settings(self._settings).peer_addresses)

    def _make_core(
        self,
        process_settings: SchedulerProcessSettings,
        shard: str,
        recovered: RecoveredState,
        declarations: Declarations,
        now_s: float,
    ) -> SchedulerCore:
        all_shards = shard_names(self._settings.failure_domains, self._settings.shards_per_domain)
        core_settings = SchedulerSettings(
            shard=shard,
            shard_index=all_shards.index(shard),
            shard_count=len(all_shards),
            seed=process_settings.seed,
            task_lease_s=process_settings.task_lease_s,
            renew_every_s=process_settings.renew_every_s,
            clock_margin_s=process_settings.clock_margin_s,
            workers_know_epochs=process_settings.workers_know_epochs,
            workers_have_inventory=process_settings.workers_have_inventory,
        )
        return make_scheduler(core_settings, recovered, declarations, now_s)


def choose_successor(candidates: Sequence[str], live: Collection[str]) -> str:
    """Choose the scheduler that the shards are handed over to.

    Parameters
    ----------
    candidates : sequence of str
        Addresses of the failure domain's other schedulers, in order of preference.
    live : collection of str
        Addresses of peers that are known to be live.

    Returns
    -------
    str
        Address of the first live candidate, or of the first candidate if none is known to be live;
        empty without candidates.
    """
    alive = [address for address in candidates if address in live]
    return next(iter(alive or candidates), "")


def make_process_settings(settings: SchedulerProgramSettings) -> SchedulerProcessSettings:
    """Convert the settings of the program to those of the scheduler process."""
    own_domain = settings.failure_domain
    peers = tuple(
        address
        for name, address in sorted(settings.schedulers.items())
        if name.partition("/")[0] == own_domain and address != settings.rpc_address
    )
    return SchedulerProcessSettings(
        address=settings.rpc_address,
        failure_domain=own_domain,
        shard_count=settings.shards_per_domain,
        seed=settings.seed,
        peer_addresses=peers,
        lease=LeaseSettings(ttl_s=settings.owner_ttl_s),
        task_lease_s=settings.task_lease_s,
        renew_every_s=settings.renew_every_s,
        clock_margin_s=settings.clock_margin_s,
        tick_every_s=settings.tick_ms / MILLISECONDS_PER_SECOND,
    )


def main() -> None:
    """Read the settings and run the scheduler."""
    settings = read_settings("redwing-scheduler", SchedulerProgramSettings, __doc__ or "")
    tune_collector()
    sys.exit(run_program(lambda: SchedulerProgram(settings), settings.log_level))


if __name__ == "__main__":
    main()
