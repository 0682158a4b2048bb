"""The scheduler process, a candidate for the ownership of every shard of its failure domain."""

import asyncio
import uuid
from collections.abc import Callable, Mapping

import numpy as np
import xxhash

from redwingplank.config import NO_DECLARATIONS, DeadlineClass, Declarations
from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import KeyValueStore, ListedVm, VmList, WorkerClient
from redwingplank.runtime.counted_store import CountedStore
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.runtime.ownership_runner import ShardContext
from redwingplank.runtime.scheduler_core import SchedulerCore, SchedulerFactory
from redwingplank.runtime.scheduler_service import SchedulerService
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.runtime.shard_runner import ShardRunner
from redwingplank.runtime.shards import shard_names
from redwingplank.runtime.vm_poller import VmPoller
from redwingplank.scheduling.messages import RecoveredState
from redwingplank.scheduling.ownership import ShardOwnership
from redwingplank.scheduling.sharding import shard_of_worker
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["CoreFactory", "SchedulerProcess", "make_scheduler_process"]

CoreFactory = Callable[
    [SchedulerProcessSettings, str, RecoveredState, Declarations, float], SchedulerCore
]
"""Builds the decision core of a shard.

The arguments are the settings, the shard's name, the recovered state, the declarations in force and
the current time in seconds.
"""


def make_unique_nonce() -> str:
    """Return a random string that is unique across all processes."""
    return uuid.uuid4().hex


class SchedulerProcess:
    """Runs all shards that this process is a candidate for.

    Parameters
    ----------
    settings : SchedulerProcessSettings
        Settings of the process.
    runners_by_shard : mapping of str to ShardRunner
        Runner of each shard, by the shard's name.
    poller : VmPoller
        Reads the platform's list of VMs.
    counters : ProcessCounters
        Counters of the process.
    """

    def __init__(
        self,
        settings: SchedulerProcessSettings,
        runners_by_shard: Mapping[str, ShardRunner],
        poller: VmPoller,
        counters: ProcessCounters,
    ) -> None:
        self.settings = settings
        self.runners_by_shard = runners_by_shard
        self.counters = counters
        self._poller = poller
        self._tasks: list[asyncio.Task] = []
        self._logger = make_logger("scheduler")

    def service(self) -> SchedulerService:
        """Return the service that answers calls, for `serve_node`."""
        return SchedulerService(self.runners_by_shard)

    def gauges(self) -> dict[str, float]:
        """Return the counters and the gauges of owned shards; dots join the parts of a name."""
        gauges = dict(self.counters.read())
        for shard, runner in self.runners_by_shard.items():
            if runner.ownership_runner is not None and runner.ownership_runner.core is not None:
                values = summary_gauges(runner.summary())
                gauges.update({f"shard.{shard}.{name}": value for name, value in values.items()})
        return gauges

    def change_declarations(self, declarations: Declarations) -> None:
        """Apply a newer revision of the declarations; an older one is ignored."""
        for runner in self.runners_by_shard.values():
            runner.change_declarations(declarations)

    def start(self) -> None:
        """Start the tasks of the process, which makes it a candidate for every shard."""
        runs = [self._poller.run(), *(runner.run() for runner in self.runners_by_shard.values())]
        self._tasks = [asyncio.create_task(run) for run in runs]

    async def wait(self) -> None:
        """Wait until a task of the process ends by itself, and raise its exception if it failed."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    async def stop(self, successor: str = "") -> None:
        """Reject new work, flush the journals, hand every shard over and end all tasks.

        Parameters
        ----------
        successor : str
            Address of the candidate that is to take over, empty for any candidate.
        """
        within_s = self.settings.stop_within_s
        stop_calls = [runner.stop(successor, within_s) for runner in self.runners_by_shard.values()]
        await asyncio.gather(*stop_calls)
        await self.abort()
        log_event(self._logger, "stopped", successor=successor)

    async def abort(self) -> None:
        """Cancel all tasks at once, without a hand-over, as a crash would."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def summary_gauges(summary: ShardSummary) -> dict[str, float]:
    """Return queue lengths, expected waits and reserved fractions of a shard by gauge name."""
    gauges: dict[str, float] = {
        "running": summary.running_count,
        "workers": summary.worker_count,
        "workers_open": summary.open_worker_count,
        "workers_quarantined": summary.quarantined_count,
    }
    for deadline_class in DeadlineClass:
        name = deadline_class.name.lower()
        gauges[f"waiting.{name}"] = summary.waiting_by_class[deadline_class]
        gauges[f"expected_wait_s.{name}"] = summary.predicted_wait_s_by_class[deadline_class]
    for dimension in ("millicores", "memory_mib"):
        capacity = getattr(summary.capacity, dimension)
        free = getattr(summary.free, dimension)
        gauges[f"reserved_fraction.{dimension}"] = 1 - free / capacity if capacity else 0.0
    return gauges


def make_scheduler_process(
    settings: SchedulerProcessSettings,
    store: KeyValueStore,
    vm_list: VmList,
    workers: WorkerClient,
    clock: Clock,
    unix_clock: Clock,
    make_core: CoreFactory,
    declarations: Declarations = NO_DECLARATIONS,
    make_nonce: Callable[[], str] = make_unique_nonce,
) -> SchedulerProcess:
    """Build the scheduler process; nothing runs before its `start`.

    Parameters
    ----------
    settings : SchedulerProcessSettings
        Settings of the process.
    store, vm_list, workers : KeyValueStore, VmList, WorkerClient
        Clients of the platform.
    clock, unix_clock : Clock
        Monotonic clock and wall clock.
    make_core : callable
        Builds the decision core of a shard.
    declarations : Declarations
        Declarations in force at the start; `SchedulerProcess.change_declarations` applies newer
        ones.
    make_nonce : callable
        Returns a string that identifies one ownership of a shard and is unique across all
        processes.
    """
    counters = ProcessCounters()
    counted_store = CountedStore(store, counters)
    address_seed = xxhash.xxh64_intdigest(settings.address.encode())
    generator = np.random.default_rng((settings.seed, address_seed))
    shards = shard_names((settings.failure_domain,), settings.shard_count)
    lease = settings.effective_lease()
    runners_by_shard: dict[str, ShardRunner] = {}
    for shard in shards:
        context = ShardContext(
            shard,
            settings,
            counted_store,
            workers,
            clock,
            unix_clock,
            counters,
            _bind_core(settings, shard, make_core),
        )
        ownership = ShardOwnership(lease, settings.address, generator, clock.now_s())
        runners_by_shard[shard] = ShardRunner(context, ownership, make_nonce, declarations)

    def on_listed(listed: tuple[ListedVm, ...]) -> None:
        for shard, runner in runners_by_shard.items():
            runner.update_workers(
                tuple(vm for vm in listed if shard_of_worker(vm.name, shards) == shard)
            )

    poller = VmPoller(
        vm_list,
        settings.failure_domain,
        settings.list_poll_every_s,
        counters,
        on_listed,
    )
    return SchedulerProcess(settings, runners_by_shard, poller, counters)


def _bind_core(
    settings: SchedulerProcessSettings, shard: str, make_core: CoreFactory
) -> SchedulerFactory:
    def build(recovered: RecoveredState, declarations: Declarations, now_s: float) -> SchedulerCore:
        return make_core(settings, shard, recovered, declarations, now_s)

    return build
