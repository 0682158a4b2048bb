"""The stand-ins of one cell: store, list of VMs, workers and upstreams."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy as np

from redwingplank.core import Clock, Resources, make_resources
from redwingplank.platform import ListedVm, VmRole
from redwingplank.standin.faults import Faults
from redwingplank.standin.history import History
from redwingplank.standin.store import MemoryStore
from redwingplank.standin.upstreams import UpstreamBehaviour
from redwingplank.standin.vms import LaggingVmList
from redwingplank.standin.workers import StandinWorker

__all__ = ["CellShape", "StandinCell", "make_standin_cell"]

MIB_PER_GIB = 1024
SLOWEST_SPEED = 0.5
FASTEST_SPEED = 2.0
SERVICE_TIMES_S = {"notahane": 0.08, "quoter": 0.02}
DEFAULT_SERVICE_TIME_S = 0.05
WORKER_CAPACITY = Resources(64_000, 128 * MIB_PER_GIB)


@dataclass(frozen=True, slots=True)
class CellShape:
    """Size and properties of a stand-in cell.

    Parameters
    ----------
    failure_domains : tuple of str
        Names of the failure domains.
    host : str
        IP address of every VM.
    first_port : int
        Port of the first VM; the other VMs have the ports after it.
    workers_per_domain, upstreams_per_domain : int
        Number of workers, and of upstreams of each service, in each failure domain.
    vms_per_rack : int
        Number of workers, or of upstreams of one service, in a rack.
    services : tuple of str
        Names of the services that upstreams serve.
    capacity : Resources
        Capacity of each worker, without accelerators.
    accelerators : int
        Number of accelerators of kind ``gpu`` of every second worker.
    list_lag_s : float
        Delay until a change shows in the list of VMs, in seconds.
    seed : int
        Seed of the VMs' random speeds.
    """

    failure_domains: tuple[str, ...]
    host: str = "127.0.0.1"
    first_port: int = 7301
    workers_per_domain: int = 4
    upstreams_per_domain: int = 3
    vms_per_rack: int = 8
    services: tuple[str, ...] = ("notahane", "quoter")
    capacity: Resources = WORKER_CAPACITY
    accelerators: int = 2
    list_lag_s: float = 1.0
    seed: int = 1


@dataclass(slots=True)
class StandinCell:
    """The stand-ins of a cell, with the history that they share."""

    store: MemoryStore
    vm_list: LaggingVmList
    history: History
    workers_by_address: dict[str, StandinWorker]
    upstreams_by_address: dict[str, UpstreamBehaviour]
    store_faults: Faults = field(default_factory=Faults)
    list_faults: Faults = field(default_factory=Faults)

    @property
    def workers_by_name(self) -> dict[str, StandinWorker]:
        """Workers by VM name."""
        return {worker.name: worker for worker in self.workers_by_address.values()}

    @property
    def upstreams_by_name(self) -> dict[str, UpstreamBehaviour]:
        """Upstreams by VM name."""
        return {upstream.name: upstream for upstream in self.upstreams_by_address.values()}


def make_standin_cell(shape: CellShape, clock: Clock) -> StandinCell:
    """Build the stand-ins of a cell.

    Parameters
    ----------
    shape : CellShape
        Size and properties of the cell.
    clock : Clock
        Clock of all stand-ins.
    """
    generator = np.random.default_rng(shape.seed)
    rows = list(_make_rows(shape))
    speeds = {row.name: float(generator.uniform(SLOWEST_SPEED, FASTEST_SPEED)) for row in rows}
    vm_list = LaggingVmList(clock, shape.list_lag_s)
    vm_list.put(*rows)
    history = History()
    workers = {
        row.address: StandinWorker(row.name, row.capacity, clock, history, speeds[row.name])
        for row in rows
        if row.role is VmRole.WORKER
    }
    upstreams = {
        row.address: UpstreamBehaviour(
            row.name,
            clock,
            history,
            row.slots,
            service_time_s=SERVICE_TIMES_S.get(row.service, DEFAULT_SERVICE_TIME_S)
            / speeds[row.name],
        )
        for row in rows
        if row.role is VmRole.UPSTREAM
    }
    return StandinCell(MemoryStore(clock), vm_list, history, workers, upstreams)


def _make_rows(shape: CellShape) -> Iterator[ListedVm]:
    port = shape.first_port
    for domain in shape.failure_domains:
        for index in range(shape.workers_per_domain):
            yield _make_worker_row(shape, domain, index, port)
            port += 1
        for service in shape.services:
            for index in range(shape.upstreams_per_domain):
                yield ListedVm(
                    name=f"{domain}-{service}-{index}",
                    role=VmRole.UPSTREAM,
                    failure_domain=domain,
                    rack=f"{domain}-{service}-r{index // shape.vms_per_rack}",
                    address=f"{shape.host}:{port}",
                    service=service,
                )
                port += 1


def _make_worker_row(shape: CellShape, domain: str, index: int, port: int) -> ListedVm:
    accelerators = {"gpu": shape.accelerators if index % 2 else 0}
    capacity = make_resources(shape.capacity.millicores, shape.capacity.memory_mib, accelerators)
    return ListedVm(
        name=f"{domain}-worker-{index}",
        role=VmRole.WORKER,
        failure_domain=domain,
        rack=f"{domain}-r{index // shape.vms_per_rack}",
        address=f"{shape.host}:{port}",
        capacity=capacity,
    )
