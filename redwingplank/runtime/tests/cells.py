"""Fixtures: small cells of scheduler processes and simulated workers, in virtual time."""

import asyncio
from dataclasses import dataclass, field, replace

from redwingplank.config import (
    NO_DECLARATIONS,
    DeadlineClass,
    Declarations,
    Organisation,
    Service,
    WorkloadKind,
)
from redwingplank.core import Clock, make_resources
from redwingplank.platform import ListedVm, VmRole
from redwingplank.runtime.scheduler import SchedulerProcess, make_scheduler_process
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.runtime.tests.small_core import make_small_core
from redwingplank.scheduling import SchedulerSettings, make_scheduler
from redwingplank.scheduling.messages import JobSpec
from redwingplank.standin.faults import Faults
from redwingplank.standin.history import History
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.virtual_time import VirtualClock
from redwingplank.standin.vms import LaggingVmList, MemoryVmList
from redwingplank.standin.workers import MemoryWorkerClient, StandinWorker

DOMAIN = "ankara-1"
CAPACITY = make_resources(64_000, 128 * 1024)


@dataclass
class Candidate:
    """One scheduler process and the fault switches of its calls."""

    process: SchedulerProcess
    clock: Clock
    store_faults: Faults = field(default_factory=Faults)
    worker_faults: Faults = field(default_factory=Faults)

    @property
    def runner(self):
        return self.process.runners_by_shard[DOMAIN]

    @property
    def is_ready(self):
        """Whether the process owns the shard and has replayed its journal."""
        ownership_runner = self.runner.ownership_runner
        return ownership_runner is not None and ownership_runner.core is not None

    @property
    def mode(self):
        return self.runner.ownership.mode(self.clock.now_s())


class Cell:
    """Store, VM list and workers of one failure domain, all simulated."""

    def __init__(
        self,
        worker_count=3,
        make_core=make_small_core,
        clock=None,
        declarations=NO_DECLARATIONS,
        **settings,
    ):
        self.declarations = declarations
        self.clock = clock or VirtualClock()
        self.store = MemoryStore(self.clock)
        self.history = History()
        self.vm_list = LaggingVmList(self.clock)
        self.workers = {}
        self.make_core = make_core
        self.settings = SchedulerProcessSettings("", DOMAIN, **settings)
        for index in range(worker_count):
            self.add_worker(f"w{index}")

    def add_worker(self, name):
        address = f"{name}:1"
        self.workers[address] = StandinWorker(name, CAPACITY, self.clock, self.history)
        row = ListedVm(name, VmRole.WORKER, DOMAIN, "r1", address, capacity=CAPACITY)
        self.vm_list.put(row)

    def add_candidate(self, name, wrap_store=lambda store: store, wrap_workers=lambda w: w):
        store_faults, worker_faults = Faults(), Faults()
        nonces = iter(f"{name}-{number}" for number in range(10_000))
        process = make_scheduler_process(
            replace(self.settings, address=f"{name}:1"),
            wrap_store(MemoryStoreClient(self.store, store_faults)),
            MemoryVmList(self.vm_list),
            wrap_workers(MemoryWorkerClient(self.workers, worker_faults)),
            self.clock,
            self.clock,
            self.make_core,
            self.declarations,
            make_nonce=lambda: next(nonces),
        )
        process.start()
        return Candidate(process, self.clock, store_faults, worker_faults)

    def started_tasks(self):
        return [event.subject for event in self.history.events if event.kind == "task_started"]


def make_real_core(settings, shard, recovered, declarations, now_s):
    core_settings = SchedulerSettings(
        shard=shard,
        seed=settings.seed,
        task_lease_s=settings.task_lease_s,
        renew_every_s=settings.renew_every_s,
        clock_margin_s=settings.clock_margin_s,
        workers_know_epochs=settings.workers_know_epochs,
        workers_have_inventory=settings.workers_have_inventory,
    )
    return make_scheduler(core_settings, recovered, declarations, now_s)


def make_declarations(quota=None, revision=1):
    """Return one organisation with an idempotent and a non-idempotent batch service."""
    need = make_resources(1000, 1024)
    batch = WorkloadKind.BATCH
    extract = Service("extract", "batch", batch, resources=need, run_time_s=5.0, max_attempts=10)
    order = replace(extract, name="order", is_idempotent=False)
    urgent = replace(extract, name="urgent", deadline_class=DeadlineClass.URGENT)
    services = {service.name: service for service in (extract, order, urgent)}
    bureau = Organisation("bureau", quota=quota, services_by_name=services)
    return Declarations(revision, {"bureau": bureau})


async def until(condition, within_s=60.0, step_s=0.01, clock=None):
    """Let virtual time pass until a condition is true, for at most `within_s` seconds."""
    clock = clock or VirtualClock()
    deadline_s = clock.now_s() + within_s
    while not condition():
        assert clock.now_s() < deadline_s, "the condition did not become true in time"
        await asyncio.sleep(step_s)


def make_spec(name="job", task_count=1, run_s=1.0, service="extract"):
    payload = b'{"run_s": %f}' % run_s
    return JobSpec(f"{DOMAIN}.{name}", "bureau", service, task_count, payload=payload)
