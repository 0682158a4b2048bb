"""The tables of a shard, which all parts of the scheduling core read and change."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from redwingplank.config import Declarations
from redwingplank.core import Resources, format_event
from redwingplank.scheduling.due_calls import DueCalls
from redwingplank.scheduling.entities import Job, Task, Worker, split_task_id
from redwingplank.scheduling.journal_buffer import PendingRecords
from redwingplank.scheduling.messages import OutboxMessage, OwnershipMode
from redwingplank.scheduling.placer import Placer
from redwingplank.scheduling.queue import WaitingQueue
from redwingplank.scheduling.settings import SchedulerSettings
from redwingplank.scheduling.shares import GrantedUsage, ShareTable
from redwingplank.scheduling.vm_table import Amounts, VmTable

__all__ = ["ShardState", "make_shard_state"]

# Attempt numbers set aside for each epoch, so that two owners never use the same number.
ATTEMPTS_PER_EPOCH = 1_000_000
_MAX_CACHED_RESOURCES = 4096


@dataclass(slots=True, eq=False)
class ShardState:
    """All tables of a shard, and the effects that the current tick has requested so far.

    Attributes
    ----------
    valid_until_s, starts_from_s : float
        Time until which no other owner can exist, and time before which nothing may be started.
    capacity_by_vm, vm_count_by_capacity : dict
        Capacity of each known VM, and number of VMs with each capacity.
    draining : set of str
        Workers that an operator drains.
    service_attempts_by_id : dict of str to int
        Last attempt number of finished tasks of standing services, by task id.
    touched : dict of str to Worker
        Workers for which the current tick builds a request.
    held_back : dict of str to Worker
        Workers with starts that could not be sent because the lease did not allow it.
    undeclared_by_id : dict of str to Job
        Unfinished recovered jobs whose service is not declared.
    freed_rows : dict of int to None
        Rows whose capacity may now fit a blocked lane.
    changed_services : dict of str to Job
        Standing services that have lost a task since they were last adjusted.
    changed_organisations : dict of str to GrantedUsage
        Organisations whose usage has changed since the blocked lanes were last checked.
    intended : list of Task
        Durable non-idempotent tasks placed in the current tick, for its `StartIntended` record.
    closing_changed : list of Worker
        Workers whose row may have to be opened or closed to new tasks.
    ends_in_tick : int
        Completions handled since the starter last ran.
    starts_per_s : float
        Mean rate of starts.
    job_number : int
        Number of the job that was added last; orders jobs with equal deadlines.
    """

    settings: SchedulerSettings
    declarations: Declarations
    table: VmTable
    shares: ShareTable
    queue: WaitingQueue
    placer: Placer
    journal: PendingRecords
    due: DueCalls
    epoch: int
    mode: OwnershipMode = OwnershipMode.DEGRADED
    valid_until_s: float = float("-inf")
    starts_from_s: float = float("-inf")
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    workers_by_name: dict[str, Worker] = field(default_factory=dict)
    workers_by_row: dict[int, Worker] = field(default_factory=dict)
    capacity_by_vm: dict[str, Resources] = field(default_factory=dict)
    vm_count_by_capacity: Counter[Resources] = field(default_factory=Counter)
    draining: set[str] = field(default_factory=set)
    service_attempts_by_id: dict[str, int] = field(default_factory=dict)
    touched: dict[str, Worker] = field(default_factory=dict)
    held_back: dict[str, Worker] = field(default_factory=dict)
    undeclared_by_id: dict[str, Job] = field(default_factory=dict)
    freed_rows: dict[int, None] = field(default_factory=dict)
    changed_services: dict[str, Job] = field(default_factory=dict)
    changed_organisations: dict[str, GrantedUsage] = field(default_factory=dict)
    intended: list[Task] = field(default_factory=list)
    messages: list[OutboxMessage] = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)
    closing_changed: list[Worker] = field(default_factory=list)
    inventories_wanted: list[str] = field(default_factory=list)
    running_count: int = 0
    completions_in_tick: int = 0
    starts_per_s: float = 0.0
    job_number: int = 0
    _resources_by_amounts: dict[tuple[int, ...], Resources] = field(default_factory=dict)

    def set_capacity(self, vm: str, capacity: Resources | None) -> None:
        """Record the capacity of a VM, or None once the VM is gone."""
        old = self.capacity_by_vm.pop(vm, None)
        if old is not None:
            self.vm_count_by_capacity[old] -= 1
            if not self.vm_count_by_capacity[old]:
                del self.vm_count_by_capacity[old]
        if capacity is not None:
            self.capacity_by_vm[vm] = capacity
            self.vm_count_by_capacity[capacity] += 1

    def find_task(self, task_id: str) -> Task | None:
        """Return a task, or None if its job or index is unknown."""
        job_id, index = split_task_id(task_id)
        job = self.jobs_by_id.get(job_id)
        return job.tasks_by_index.get(index) if job else None

    def next_attempt(self, task: Task) -> int:
        """Return an attempt number that no owner of this shard has used for the task."""
        first = max(0, self.epoch - 1) * ATTEMPTS_PER_EPOCH
        return max(task.attempt, first) + 1

    def may_start(self, now_s: float, is_volatile: bool) -> bool:
        """Return whether a task may be started at `now_s`."""
        if now_s >= self.valid_until_s - self.settings.clock_margin_s:
            return False
        if now_s < self.starts_from_s:
            return False
        if self.mode is OwnershipMode.OWNING:
            return True
        return is_volatile and self.mode is OwnershipMode.DEGRADED

    def resources(self, amounts: Amounts) -> Resources:
        """Return `amounts` as `Resources`, from a cache."""
        key = tuple(amounts.tolist())
        found = self._resources_by_amounts.get(key)
        if found is None:
            if len(self._resources_by_amounts) >= _MAX_CACHED_RESOURCES:
                self._resources_by_amounts.clear()
            found = self._resources_by_amounts[key] = self.table.resources(key)
        return found

    def log_decision(self, event: str, **fields: Any) -> None:
        """Add a line to the decision log."""
        self.decisions.append(format_event(event, fields))

    def touch(self, worker: Worker) -> None:
        """Make the current tick build a request to the worker."""
        self.touched[worker.name] = worker


def make_shard_state(
    settings: SchedulerSettings, declarations: Declarations, epoch: int, last_sequence: int
) -> ShardState:
    """Return empty tables for the owner with the given epoch."""
    table = VmTable()
    return ShardState(
        settings=settings,
        declarations=declarations,
        table=table,
        shares=ShareTable(table),
        queue=WaitingQueue(),
        placer=Placer(table, np.random.default_rng(settings.seed)),
        journal=PendingRecords(last_sequence),
        due=DueCalls(),
        epoch=epoch,
    )
