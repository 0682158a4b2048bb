"""Shard for tests: the scheduler with stand-in workers and a journal in memory."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from redwingplank.config import Declarations, Organisation, Service, WorkloadKind
from redwingplank.core import FakeClock, Resources, make_resources
from redwingplank.platform import (
    ListedVm,
    StaleEpochError,
    UnavailableError,
    VmRole,
    VmState,
    WorkerRequest,
)
from redwingplank.scheduling import Scheduler, SchedulerSettings, make_scheduler
from redwingplank.scheduling.messages import (
    CancelJob,
    InboxMessage,
    JobSpec,
    JournalCommitted,
    JournalRecord,
    Outbox,
    OwnershipChanged,
    OwnershipMode,
    RecoveredState,
    SubmitAnswer,
    SubmitJob,
    VmsListed,
    WorkerAdopted,
    WorkerReported,
    WorkerUnreachable,
)
from redwingplank.scheduling.tests.recovered import recover
from redwingplank.standin.history import History, HistoryEventKind
from redwingplank.standin.workers import StandinWorker, TaskProgram

SMALL = make_resources(1000, 1024)
WORKER = make_resources(8000, 16384)
NO_STATE = RecoveredState(epoch=1, last_sequence=0, jobs=(), fence_at_s=0.0)


def make_service(name: str = "work", **fields) -> Service:
    """Return a batch service with a small need; `fields` override its parameters."""
    values = {"kind": WorkloadKind.BATCH, "resources": SMALL, "run_time_s": 1.0, **fields}
    return Service(name, "template", **values)


def make_declarations(*services: Service, revision: int = 1, **organisation) -> Declarations:
    """Return declarations of the organisation ``bureau`` with the given services."""
    by_name = {service.name: service for service in services or (make_service(),)}
    bureau = Organisation("bureau", services_by_name=by_name, **organisation)
    return Declarations(revision, {"bureau": bureau})


def payload(**fields) -> bytes:
    """Return a task payload that the stand-in worker interprets."""
    return msgspec.json.encode(TaskProgram(**fields))


@dataclass
class Shard:
    """An owner with its workers and its journal.

    The report of every exchange arrives in the next tick. `fault` chooses a fault for each
    request: ``lost_request``, ``refused_connection``, ``lost_answer``, ``doubled_answer`` or an
    empty string for none.
    """

    declarations: Declarations = field(default_factory=make_declarations)
    settings: SchedulerSettings = field(default_factory=lambda: SchedulerSettings("s"))
    recovered: RecoveredState = NO_STATE
    clock: FakeClock = field(default_factory=lambda: FakeClock(100.0))
    history: History = field(default_factory=History)
    workers_by_name: dict[str, StandinWorker] = field(default_factory=dict)
    vms_by_name: dict[str, ListedVm] = field(default_factory=dict)
    records: list[JournalRecord] = field(default_factory=list)
    messages: list = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)
    inbox: list[InboxMessage] = field(default_factory=list)
    is_committing: bool = True
    fault: Callable[[str, WorkerRequest], str] = lambda worker, request: ""

    def __post_init__(self) -> None:
        self.scheduler: Scheduler = self.make()
        self.own()

    def make(self) -> Scheduler:
        """Return a new scheduler with the same recovered state."""
        return make_scheduler(self.settings, self.recovered, self.declarations, self.clock.now_s())

    def take_over(self, fence_after_s: float = 10.0) -> "Shard":
        """Return a new owner of the next epoch with the same workers and journal records."""
        epoch = self.recovered.epoch + 1
        fence_at_s = self.clock.now_s() + fence_after_s
        return Shard(
            self.declarations,
            self.settings,
            recover(self.records, epoch, fence_at_s),
            self.clock,
            self.history,
            self.workers_by_name,
            self.vms_by_name,
            self.records,
        )

    def own(self, mode: OwnershipMode = OwnershipMode.OWNING, for_s: float = 1e9) -> None:
        """Change the ownership mode and how long it is valid."""
        valid_until_s = self.clock.now_s() + for_s
        self.inbox.append(OwnershipChanged(mode, self.recovered.epoch, valid_until_s))

    def add_workers(
        self, count: int, capacity: Resources = WORKER, per_rack: int = 4, speed: float = 1.0
    ) -> None:
        """Add, list and adopt workers."""
        for _ in range(count):
            number = len(self.workers_by_name)
            name = f"w{number}"
            worker = StandinWorker(name, capacity, self.clock, self.history, speed)
            self.workers_by_name[name] = worker
            rack = f"rack-{number // per_rack}"
            self.vms_by_name[name] = ListedVm(
                name, VmRole.WORKER, "d", rack, name, capacity=capacity
            )
        self.list_vms()
        for name in list(self.workers_by_name)[-count:]:
            self.adopt(name)

    def list_vms(self, leaving: tuple[str, ...] = (), gone: tuple[str, ...] = ()) -> None:
        """Send the list of VMs, with some of them leaving or gone, to the scheduler."""
        for name in gone:
            self.vms_by_name.pop(name, None)
        for name in leaving:
            self.vms_by_name[name] = _make_leaving(self.vms_by_name[name])
        self.inbox.append(VmsListed(tuple(self.vms_by_name.values())))

    def adopt(self, name: str) -> None:
        """Adopt a worker and send its inventory to the scheduler."""
        inventory = self.workers_by_name[name].adopt(
            self.recovered.epoch, self.settings.task_lease_s
        )
        self.inbox.append(WorkerAdopted(self.vms_by_name[name], inventory))

    def join_all(self, but: str = "") -> None:
        """List all VMs and adopt their workers, except the unreachable worker `but`."""
        self.list_vms()
        for name in self.workers_by_name:
            if name != but:
                self.adopt(name)

    def submit(self, job_id: str = "job", service: str = "work", **fields) -> None:
        """Submit a job, of the organisation ``bureau`` by default."""
        call_id = len(self.messages) + len(self.inbox) + 1
        organisation = fields.pop("organisation", "bureau")
        self.inbox.append(SubmitJob(call_id, JobSpec(job_id, organisation, service, **fields)))

    def cancel(self, job_id: str = "job") -> None:
        """Cancel a job."""
        self.inbox.append(CancelJob(999, job_id))

    def tick(self, by_s: float = 0.05) -> Outbox:
        """Advance the clock, run one tick and carry out its outbox."""
        now_s = self.clock.advance(by_s)
        inbox, self.inbox = self.inbox, []
        outbox = self.scheduler.tick(now_s, inbox)
        self.records.extend(outbox.records)
        self.messages.extend(outbox.messages)
        self.decisions.extend(outbox.decisions)
        if self.is_committing and outbox.records:
            self.inbox.append(JournalCommitted(outbox.records[-1].sequence))
        for name in outbox.inventories_wanted:
            self._adopt_again(name)
        for name, request in outbox.requests_by_worker.items():
            self._exchange(name, request)
        return outbox

    def run(self, for_s: float, step_s: float = 0.05) -> None:
        """Run ticks of `step_s` for `for_s` seconds."""
        end_s = self.clock.now_s() + for_s
        while self.clock.now_s() < end_s:
            self.tick(step_s)

    def _adopt_again(self, name: str) -> None:
        try:
            self.adopt(name)
        except UnavailableError:
            return

    def _exchange(self, name: str, request: WorkerRequest) -> None:
        fault = self.fault(name, request)
        if fault == "lost_request":
            self.inbox.append(WorkerUnreachable(name, True))
            return
        if fault == "refused_connection":
            self.inbox.append(WorkerUnreachable(name, False))
            return
        try:
            report = self.workers_by_name[name].exchange(request)
        except UnavailableError:
            self.inbox.append(WorkerUnreachable(name, True))
            return
        except StaleEpochError:
            self.inbox.append(WorkerUnreachable(name, False))
            return
        if fault == "lost_answer":
            self.inbox.append(WorkerUnreachable(name, True))
        else:
            self.inbox.append(WorkerReported(report))
            if fault == "doubled_answer":
                self.inbox.append(WorkerReported(report))

    def state_of(self, job_id: str = "job") -> str:
        """Return the state of a job as its caller sees it, or an empty string if it is unknown."""
        status = self.scheduler.job_status(job_id, self.clock.now_s())
        return str(status.state) if status else ""

    def task_states(self, job_id: str = "job") -> list[str]:
        """Return the states of the tasks of a job."""
        status = self.scheduler.job_status(job_id, self.clock.now_s())
        return [str(task.state) for task in status.tasks] if status else []

    def answers(self) -> list[SubmitAnswer]:
        """Return all answers to submissions so far."""
        return [message for message in self.messages if isinstance(message, SubmitAnswer)]

    def entries(self, kind: type) -> list:
        """Return the journal entries of one type."""
        return [record.entry for record in self.records if isinstance(record.entry, kind)]

    def starts_by_task(self) -> Mapping[str, int]:
        """Return how often each task started, as recorded by the workers."""
        starts: dict[str, int] = {}
        for event in self.history.events:
            if event.kind is HistoryEventKind.TASK_STARTED:
                starts[event.subject] = starts.get(event.subject, 0) + 1
        return starts

    def running_on(self) -> dict[str, list[str]]:
        """Return the names of the workers that run each task now."""
        places: dict[str, list[str]] = {}
        for worker in self.workers_by_name.values():
            worker.advance()
            for task_id in worker.attempts_by_task:
                places.setdefault(task_id, []).append(worker.name)
        return places


def _make_leaving(vm: ListedVm) -> ListedVm:
    return ListedVm(
        vm.name, vm.role, vm.failure_domain, vm.rack, vm.address, VmState.LEAVING, vm.capacity
    )
