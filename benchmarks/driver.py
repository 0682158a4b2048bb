"""Drives the decision core with a fake clock, a list of arrivals and fake workers.

It models no network, no processes and no failures: every message arrives one tick later.
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
"""The task whose places are counted to tell how usable the free room is."""


class TickingScheduler(Protocol):
    """What the driver needs of a decision core."""

    def tick(self, now_s: float, inbox: Iterable[InboxMessage]) -> Outbox:
        """Take what happened and return what is to be done."""


MakeScheduler = Callable[[Declarations, float], TickingScheduler]


@dataclass(frozen=True, slots=True)
class PackingSample:
    """How full the workers were at one moment, as parts of the whole.

    Parameters
    ----------
    time_s : float
        The moment.
    reserved_millicores, reserved_memory : float
        Reserved, over what all workers have.
    occupied_vms : float
        Workers that run at least one task.
    used_millicores, used_memory : float
        Really used, over what the occupied workers have.
    fragmentation : float
        Free processors that no reference task can use, over all free ones.
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
    """What came of a run.

    Parameters
    ----------
    events : list of HistoryEvent
        What the workers did.
    submitted_at_s, accepted_at_s : dict of str to float
        By job id.
    outcomes_by_job : dict of str to str
        Answers to submissions.
    packing : list of PackingSample
        One a second.
    tick_durations_s : list of float
        Processor time of each tick.
    journal_records, journal_bytes, journal_commits : int
        What was to be made durable; one commit for each tick that had records.
    exchanges, request_bytes, report_bytes : int
        Messages with workers, encoded as MessagePack.
    decisions : int
        Lines of the decision log.
    now_s : float
        The time at the end.
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
        What arrives, and where it can run.
    make_scheduler : callable
        From declarations and a time to a new decision core.
    tick_s : float
        Time between two ticks.
    counts_bytes : bool
        Whether messages and records are encoded to count their bytes, which takes time.
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
        """Tick until a time and return what came of it."""
        while self.clock.now_s() < until_s:
            self.tick()
            self.clock.advance(self.tick_s)
        for worker in self.workers_by_name.values():
            worker.advance()
        self.result.now_s = self.clock.now_s()
        return self.result

    def tick(self) -> Outbox:
        """Run one tick with everything that has happened since the last one."""
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
        bought = sum_resources(worker.capacity for worker in workers)
        reserved_by_name = {worker.name: worker.reserved() for worker in workers}
        reserved = sum_resources(reserved_by_name.values())
        occupied = [worker for worker in workers if worker.attempts_by_task]
        opened = sum_resources(worker.capacity for worker in occupied)
        used = sum_resources(worker.used() for worker in occupied)
        free = [worker.capacity - reserved_by_name[worker.name] for worker in workers]
        return PackingSample(
            time_s=now_s,
            reserved_millicores=reserved.millicores / bought.millicores,
            reserved_memory=reserved.memory_mib / bought.memory_mib,
            occupied_vms=len(occupied) / len(workers),
            used_millicores=used.millicores / max(1, opened.millicores),
            used_memory=used.memory_mib / max(1, opened.memory_mib),
            fragmentation=_fragmentation(free),
        )


def run_workload(
    workload: Workload, make_scheduler: MakeScheduler, *, drain_s: float = 0.0, **options
) -> DriverResult:
    """Run a whole workload, and `drain_s` seconds more."""
    return Driver(workload, make_scheduler, **options).run(workload.duration_s + drain_s)


def _fragmentation(free: list[Resources]) -> float:
    total = sum(amount.millicores for amount in free)
    if not total:
        return 0.0
    usable = sum(
        REFERENCE_TASK.millicores
        * min(
            amount.millicores // REFERENCE_TASK.millicores,
            amount.memory_mib // REFERENCE_TASK.memory_mib,
        )
        for amount in free
    )
    return 1.0 - usable / total
