"""Run the decision core against a fake clock, a list of arrivals and stand-in workers.

The driver models no network, no processes and no failures. Reports and commits reach the core one
tick later.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from benchmarks.workloads import Arrival, Workload
from redwingplank.config import Declarations
from redwingplank.core import FakeClock, Resources, sum_resources
from redwingplank.platform import ListedVm, VmRole
from redwingplank.scheduling.messages import (
    CancelJob,
    InboxMessage,
    JournalCommitted,
    Outbox,
    OwnershipChanged,
    OwnershipMode,
    SubmitAnswer,
    SubmitJob,
    VmsListed,
    WorkerAdopted,
    WorkerReported,
)
from redwingplank.standin.history import History, HistoryEvent
from redwingplank.standin.workers import StandinWorker

__all__ = ["Driver", "DriverResult", "PackingSample", "TickingScheduler", "run_workload"]

EPOCH = 1
FAILURE_DOMAIN = "domain-1"
TICK_S = 0.1
SAMPLE_EVERY_S = 1.0
ADOPT_LEASE_S = 30.0
OWNER_VALID_S = 1e9
REFERENCE_TASK = Resources(16_000, 32_768)
"""Fragmentation counts free capacity as usable where a task of this size fits."""


class TickingScheduler(Protocol):
    """The interface of a decision core that the driver calls."""

    def tick(self, now_s: float, inbox: Iterable[InboxMessage]) -> Outbox:
        """Handle the messages received since the last tick and return the resulting ones."""


MakeScheduler = Callable[[Declarations, float], TickingScheduler]


@dataclass(frozen=True, slots=True)
class PackingSample:
    """Use of the workers' capacity at one moment, as fractions.

    Parameters
    ----------
    time_s : float
        Time of the sample on the clock of the driver.
    reserved_millicores, reserved_memory : float
        Reserved capacity, divided by the capacity of all workers.
    occupied_vms : float
        Number of workers with at least one task, divided by the number of all workers.
    used_millicores, used_memory : float
        Actual use by tasks, divided by the capacity of the occupied workers.
    fragmentation : float
        Free processor capacity that no `REFERENCE_TASK` can use, divided by all that is free.
    """

    time_s: float
    reserved_millicores: float
    reserved_memory: float
    occupied_vms: float
    used_millicores: float
    used_memory: float
    fragmentation: float


@dataclass(slots=True)
class DriverResult:
    """Events, samples and counters of a run.

    Parameters
    ----------
    events : list of HistoryEvent
        Starts and completions that the workers recorded.
    submitted_at_s, accepted_at_s : dict of str to float
        Times by job id: when the caller submitted the job, and when the core answered.
    outcomes_by_job : dict of str to str
        Outcomes of the submissions by job id.
    packing : list of PackingSample
        One sample per second.
    tick_durations_s : list of float
        Processor time of each tick in seconds.
    journal_records, journal_bytes, journal_commits : int
        Amount of journal data; there is one commit per tick with records.
    exchanges, request_bytes, report_bytes : int
        Number of exchanges with workers, and the sizes of their messages in MessagePack.
    decisions : int
        Number of lines in the decision log.
    now_s : float
        Time at the end of the run.
    """

    events: list[HistoryEvent]
    submitted_at_s: dict[str, float] = field(default_factory=dict)
    accepted_at_s: dict[str, float] = field(default_factory=dict)
    outcomes_by_job: dict[str, str] = field(default_factory=dict)
    packing: list[PackingSample] = field(default_factory=list)
    tick_durations_s: list[float] = field(default_factory=list)
    journal_records: int = 0
    journal_bytes: int = 0
    journal_commits: int = 0
    exchanges: int = 0
    request_bytes: int = 0
    report_bytes: int = 0
    decisions: int = 0
    now_s: float = 0.0


class Driver:
    """Runs one workload against one decision core.

    Parameters
    ----------
    workload : Workload
        Declarations, workers and arrivals of the run.
    make_scheduler : callable
        Returns a new decision core for declarations and the current time in seconds.
    tick_s : float
        Time between two ticks in seconds.
    counts_bytes : bool
        Whether messages and records are encoded to measure their size, which slows the run.
    """

    def __init__(
        self,
        workload: Workload,
        make_scheduler: MakeScheduler,
        *,
        tick_s: float = TICK_S,
        counts_bytes: bool = True,
    ) -> None:
        self.workload = workload
        self.clock = FakeClock()
        self.tick_s = tick_s
        self.counts_bytes = counts_bytes
        self.history = History()
        self.result = DriverResult(self.history.events)
        self.workers_by_name = {
            plan.name: StandinWorker(
                plan.name, plan.capacity, self.clock, self.history, speed=plan.speed
            )
            for plan in workload.workers
        }
        self.scheduler = make_scheduler(workload.declarations, 0.0)
        self._inbox: list[InboxMessage] = self._first_messages()
        self._steps = self._caller_steps()
        self._next_sample_s = 0.0

    def run(self, until_s: float) -> DriverResult:
        """Run ticks until the given time and return the result."""
        while self.clock.now_s() < until_s:
            self.tick()
            self.clock.advance(self.tick_s)
        for worker in self.workers_by_name.values():
            worker.advance()
        self.result.now_s = self.clock.now_s()
        return self.result

    def tick(self) -> Outbox:
        """Run one tick with all messages received since the previous one."""
        now_s = self.clock.now_s()
        inbox = self._inbox + self._due_caller_messages(now_s)
        started_s = time.process_time()
        outbox = self.scheduler.tick(now_s, inbox)
        self.result.tick_durations_s.append(time.process_time() - started_s)
        self._inbox = self._exchange(outbox)
        self._commit(outbox)
        self._answer(outbox, now_s)
        self.result.decisions += len(outbox.decisions)
        if now_s >= self._next_sample_s:
            self.result.packing.append(self._sample(now_s))
            self._next_sample_s += SAMPLE_EVERY_S
        return outbox

    def _first_messages(self) -> list[InboxMessage]:
        vms = {
            plan.name: ListedVm(
                plan.name,
                VmRole.WORKER,
                FAILURE_DOMAIN,
                plan.rack,
                f"127.0.0.1/{plan.name}",
                capacity=plan.capacity,
            )
            for plan in self.workload.workers
        }
        adopted = [
            WorkerAdopted(vms[name], worker.adopt(EPOCH, ADOPT_LEASE_S))
            for name, worker in self.workers_by_name.items()
        ]
        return [
            OwnershipChanged(OwnershipMode.OWNING, EPOCH, OWNER_VALID_S),
            VmsListed(tuple(vms.values())),
            *adopted,
        ]

    def _caller_steps(self) -> list[tuple[float, int, Arrival]]:
        steps = []
        for arrival in self.workload.arrivals:
            steps.append((arrival.at_s, 0, arrival))
            if arrival.cancel_at_s is not None:
                steps.append((arrival.cancel_at_s, 1, arrival))
        return sorted(steps, key=lambda step: step[:2], reverse=True)

    def _due_caller_messages(self, now_s: float) -> list[InboxMessage]:
        messages: list[InboxMessage] = []
        while self._steps and self._steps[-1][0] <= now_s:
            at_s, is_cancellation, arrival = self._steps.pop()
            call_id = len(self._steps) + 1
            if is_cancellation:
                messages.append(CancelJob(call_id, arrival.spec.job_id))
            else:
                self.result.submitted_at_s[arrival.spec.job_id] = at_s
                messages.append(SubmitJob(call_id, arrival.spec))
        return messages

    def _exchange(self, outbox: Outbox) -> list[InboxMessage]:
        reports: list[InboxMessage] = []
        for name, request in outbox.requests_by_worker.items():
            report = self.workers_by_name[name].exchange(request)
            reports.append(WorkerReported(report))
            self.result.exchanges += 1
            if self.counts_bytes:
                self.result.request_bytes += len(msgspec.msgpack.encode(request))
                self.result.report_bytes += len(msgspec.msgpack.encode(report))
        return reports

    def _commit(self, outbox: Outbox) -> None:
        if not outbox.records:
            return
        self.result.journal_commits += 1
        self.result.journal_records += len(outbox.records)
        if self.counts_bytes:
            self.result.journal_bytes += len(msgspec.msgpack.encode(outbox.records))
        self._inbox.append(JournalCommitted(outbox.records[-1].sequence))

    def _answer(self, outbox: Outbox, now_s: float) -> None:
        for message in outbox.messages:
            if isinstance(message, SubmitAnswer):
                self.result.outcomes_by_job[message.job_id] = str(message.outcome)
                self.result.accepted_at_s[message.job_id] = now_s

    def _sample(self, now_s: float) -> PackingSample:
        workers = list(self.workers_by_name.values())
        for worker in workers:
            worker.advance()
        total = sum_resources(worker.capacity for worker in workers)
        reserved_by_name = {worker.name: worker.reserved() for worker in workers}
        reserved = sum_resources(reserved_by_name.values())
        occupied = [worker for worker in workers if worker.attempts_by_task]
        occupied_capacity = sum_resources(worker.capacity for worker in occupied)
        used = sum_resources(worker.used() for worker in occupied)
        free_by_worker = [worker.capacity - reserved_by_name[worker.name] for worker in workers]
        return PackingSample(
            time_s=now_s,
            reserved_millicores=reserved.millicores / total.millicores,
            reserved_memory=reserved.memory_mib / total.memory_mib,
            occupied_vms=len(occupied) / len(workers),
            used_millicores=used.millicores / max(1, occupied_capacity.millicores),
            used_memory=used.memory_mib / max(1, occupied_capacity.memory_mib),
            fragmentation=_fragmentation(free_by_worker),
        )


def run_workload(
    workload: Workload, make_scheduler: MakeScheduler, *, drain_s: float = 0.0, **options
) -> DriverResult:
    """Run a workload to its end, followed by `drain_s` seconds without new arrivals."""
    return Driver(workload, make_scheduler, **options).run(workload.duration_s + drain_s)


def _fragmentation(free_by_worker: list[Resources]) -> float:
    total = sum(amount.millicores for amount in free_by_worker)
    if not total:
        return 0.0
    usable = sum(
        REFERENCE_TASK.millicores
        * min(
            amount.millicores // REFERENCE_TASK.millicores,
            amount.memory_mib // REFERENCE_TASK.memory_mib,
        )
        for amount in free_by_worker
    )
    return 1.0 - usable / total
