"""Stand-in workers, which run tasks as timers under leases and epochs."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from redwingplank.core import Clock, Resources, make_resources, sum_resources
from redwingplank.platform import (
    RunningTask,
    StaleEpochError,
    StartTask,
    TaskCommand,
    TaskCommandKind,
    TaskCompletion,
    TaskCompletionReason,
    TaskUsage,
    UnavailableError,
    WorkerClient,
    WorkerInventory,
    WorkerReport,
    WorkerRequest,
)
from redwingplank.standin.faults import Faults
from redwingplank.standin.history import History, HistoryEvent, HistoryEventKind

__all__ = ["MemoryWorkerClient", "StandinWorker", "TaskProgram", "WorkerSwitches"]

USAGE_LAG_S = 2.0
SERVICE_TASK_MARKER = ".service:"
"""Part of the ids of standing services' tasks, which run until they are stopped."""


class TaskProgram(msgspec.Struct, frozen=True):
    """Behaviour of a stand-in task, read from the JSON payload of its job.

    Parameters
    ----------
    run_s : float
        Run time in seconds at speed 1; with 0 or less the task runs until it is stopped.
    is_failing : bool
        Whether the task ends as failed on every worker.
    used_millicores, used_memory_mib : int or None
        Actual usage; None for the reserved amount.
    """

    run_s: float = 1.0
    is_failing: bool = False
    used_millicores: int | None = None
    used_memory_mib: int | None = None


@dataclass(slots=True)
class WorkerSwitches:
    """Fault switches of one worker.

    Parameters
    ----------
    is_failing : bool
        Whether started tasks fail immediately, and running tasks at their end.
    is_paused : bool
        Whether the worker answers nothing and completes no task; leases still expire.
    is_dead : bool
        Whether the worker answers nothing.
    knows_epochs : bool
        Whether the worker refuses a request with a lower epoch than the highest one received.
    has_inventory : bool
        Whether the answer to an adoption lists running tasks and unacknowledged completions.
    is_leaving : bool
        Whether the worker refuses starts and reports that it is leaving.
    """

    is_failing: bool = False
    is_paused: bool = False
    is_dead: bool = False
    knows_epochs: bool = True
    has_inventory: bool = True
    is_leaving: bool = False


@dataclass(slots=True)
class _Attempt:
    start: StartTask
    program: TaskProgram
    started_at_s: float
    ends_at_s: float
    lease_ends_at_s: float
    speed: float
    limit: Resources | None = None


@dataclass(slots=True)
class StandinWorker:
    """State of one worker.

    Parameters
    ----------
    name : str
        Name of the VM.
    capacity : Resources
        Resources of the worker.
    clock : Clock
        Clock of the worker.
    history : History
        History that starts and ends of tasks are recorded in.
    speed : float
        Speed of the worker; a task takes its run time divided by this.
    """

    name: str
    capacity: Resources
    clock: Clock
    history: History
    speed: float = 1.0
    switches: WorkerSwitches = field(default_factory=WorkerSwitches)
    epoch: int = 0
    incarnation: int = 1
    sequence: int = 0
    attempts_by_task: dict[str, _Attempt] = field(default_factory=dict)
    unacknowledged: list[TaskCompletion] = field(default_factory=list)
    highest_attempt_by_task: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._record(HistoryEventKind.WORKER_STARTED, "", 0, self.capacity)

    def adopt(self, epoch: int, lease_s: float) -> WorkerInventory:
        """Accept an epoch, renew the leases and return the inventory."""
        self._check_reachable(epoch)
        self.epoch = max(self.epoch, epoch)
        self._renew(lease_s)
        now_s = self.clock.now_s()
        running = tuple(
            RunningTask(
                task_id, attempt.start.attempt, attempt.start.reserved, now_s - attempt.started_at_s
            )
            for task_id, attempt in self.attempts_by_task.items()
        )
        has_inventory = self.switches.has_inventory
        return WorkerInventory(
            worker=self.name,
            epoch=epoch,
            capacity=self.capacity,
            running=running if has_inventory else (),
            ended=tuple(self.unacknowledged) if has_inventory else (),
            incarnation=self.incarnation,
            is_leaving=self.switches.is_leaving,
        )

    def exchange(self, request: WorkerRequest) -> WorkerReport:
        """Apply the request's commands, then its starts, and return a report.

        The starts are left out if the request's deadline for them has passed.
        """
        self._check_reachable(request.epoch)
        self.epoch = max(self.epoch, request.epoch)
        self._renew(request.lease_s)
        self._acknowledge(request.acknowledged_sequence)
        for command in request.actions:
            self._apply_command(command)
        if not 0 < request.start_before_unix_s < self.clock.now_s():
            for start in request.starts:
                self._start(start, request.lease_s)
        self.advance()
        return WorkerReport(
            worker=self.name,
            epoch=request.epoch,
            ended=tuple(self.unacknowledged),
            usage=tuple(self._make_usage_reports()),
            running_count=len(self.attempts_by_task),
            incarnation=self.incarnation,
            is_leaving=self.switches.is_leaving,
        )

    def advance(self) -> None:
        """End the attempts whose run time or lease is over."""
        now_s = self.clock.now_s()
        for task_id, attempt in list(self.attempts_by_task.items()):
            ends_before_lease = (
                attempt.ends_at_s < attempt.lease_ends_at_s and not self.switches.is_paused
            )
            if attempt.lease_ends_at_s <= now_s and not ends_before_lease:
                self._end_attempt(
                    task_id, TaskCompletionReason.LEASE_LAPSED, at_s=attempt.lease_ends_at_s
                )
            elif attempt.ends_at_s <= now_s and not self.switches.is_paused:
                fails = attempt.program.is_failing or self.switches.is_failing
                reason = TaskCompletionReason.FAILED if fails else TaskCompletionReason.COMPLETED
                self._end_attempt(task_id, reason, at_s=attempt.ends_at_s)

    def reserved(self) -> Resources:
        """Return the total reservation of the running tasks."""
        return sum_resources(attempt.start.reserved for attempt in self.attempts_by_task.values())

    def used(self) -> Resources:
        """Return the actual total usage of the running tasks."""
        return sum_resources(_actual_usage(attempt) for attempt in self.attempts_by_task.values())

    def restart(self) -> None:
        """Stop all tasks and discard all state, as when the worker process is replaced."""
        self.advance()
        for task_id in list(self.attempts_by_task):
            self._end_attempt(task_id, TaskCompletionReason.STOPPED)
        self.unacknowledged.clear()
        self.highest_attempt_by_task.clear()
        self.epoch = 0
        self.sequence = 0
        self.incarnation += 1

    def _check_reachable(self, epoch: int) -> None:
        self.advance()
        if self.switches.is_dead or self.switches.is_paused:
            raise UnavailableError(f"worker {self.name} does not answer; try again later")
        if self.switches.knows_epochs and epoch < self.epoch:
            raise StaleEpochError(
                f"worker {self.name} has seen epoch {self.epoch}, not {epoch}: stop acting as owner"
            )

    def _renew(self, lease_s: float) -> None:
        if lease_s <= 0:
            return
        ends_at_s = self.clock.now_s() + lease_s
        for attempt in self.attempts_by_task.values():
            attempt.lease_ends_at_s = max(attempt.lease_ends_at_s, ends_at_s)

    def _acknowledge(self, sequence: int) -> None:
        self.unacknowledged = [
            completion for completion in self.unacknowledged if completion.sequence > sequence
        ]

    def _apply_command(self, command: TaskCommand) -> None:
        attempt = self.attempts_by_task.get(command.task_id)
        if attempt is None or attempt.start.attempt != command.attempt:
            return
        if command.kind is TaskCommandKind.STOP:
            self._end_attempt(command.task_id, TaskCompletionReason.STOPPED)
        elif command.kind is TaskCommandKind.CHECKPOINT:
            self._end_attempt(command.task_id, TaskCompletionReason.CHECKPOINTED)
        else:
            attempt.limit = command.limit

    def _start(self, start: StartTask, lease_s: float) -> None:
        if start.attempt <= self.highest_attempt_by_task.get(start.task_id, 0):
            return
        self.highest_attempt_by_task[start.task_id] = start.attempt
        fits = (self.reserved() + start.reserved).fits_in(self.capacity)
        if not fits or self.switches.is_leaving or start.task_id in self.attempts_by_task:
            self._add_completion(start, TaskCompletionReason.REFUSED, "no room", 0.0)
            return
        now_s = self.clock.now_s()
        program = _read_program(start)
        run_s = program.run_s / self.speed if program.run_s > 0 else float("inf")
        if self.switches.is_failing:
            run_s = 0.0
        self.attempts_by_task[start.task_id] = _Attempt(
            start, program, now_s, now_s + run_s, now_s + lease_s, self.speed
        )
        self._record(
            HistoryEventKind.TASK_STARTED, start.task_id, start.attempt, start.reserved, now_s
        )

    def _end_attempt(
        self, task_id: str, reason: TaskCompletionReason, at_s: float | None = None
    ) -> None:
        attempt = self.attempts_by_task.pop(task_id)
        ended_at_s = self.clock.now_s() if at_s is None else at_s
        start = attempt.start
        self._record(
            HistoryEventKind.TASK_ENDED,
            task_id,
            start.attempt,
            start.reserved,
            ended_at_s,
            str(reason),
        )
        detail = ""
        if reason is TaskCompletionReason.CHECKPOINTED:
            detail = f"checkpoint:{task_id}:{start.attempt}"
        elif reason is TaskCompletionReason.FAILED:
            detail = "the program failed"
        self._add_completion(start, reason, detail, ended_at_s - attempt.started_at_s)

    def _add_completion(
        self, start: StartTask, reason: TaskCompletionReason, detail: str, run_time_s: float
    ) -> None:
        self.sequence += 1
        result = b""
        if reason is TaskCompletionReason.COMPLETED:
            result = f"{start.task_id} on {self.name}".encode()
        self.unacknowledged.append(
            TaskCompletion(
                start.task_id, start.attempt, reason, self.sequence, result, detail, run_time_s
            )
        )

    def _make_usage_reports(self) -> list[TaskUsage]:
        return [
            TaskUsage(task_id, attempt.start.attempt, _actual_usage(attempt), USAGE_LAG_S)
            for task_id, attempt in self.attempts_by_task.items()
            if self.clock.now_s() - attempt.started_at_s >= USAGE_LAG_S
        ]

    def _record(
        self,
        kind: HistoryEventKind,
        subject: str,
        attempt: int,
        amount: Resources,
        time_s: float | None = None,
        detail: str = "",
    ) -> None:
        at_s = self.clock.now_s() if time_s is None else time_s
        self.history.add(
            HistoryEvent(at_s, kind, self.name, subject, attempt, amount, detail=detail)
        )


class MemoryWorkerClient(WorkerClient):
    """Calls stand-in workers in the same process.

    Parameters
    ----------
    workers_by_address : mapping of str to StandinWorker
        Workers by ``"IP:PORT"``.
    faults : Faults, optional
        Faults of this client's calls.
    """

    def __init__(
        self, workers_by_address: Mapping[str, StandinWorker], faults: Faults | None = None
    ) -> None:
        self.workers_by_address = workers_by_address
        self.faults = faults or Faults()

    async def adopt(self, address: str, epoch: int, lease_s: float) -> WorkerInventory:
        await self.faults.before_effect()
        inventory = self._find(address).adopt(epoch, lease_s)
        await self.faults.after_effect()
        return inventory

    async def exchange(self, address: str, request: WorkerRequest) -> WorkerReport:
        await self.faults.before_effect()
        report = self._find(address).exchange(request)
        await self.faults.after_effect()
        return report

    def _find(self, address: str) -> StandinWorker:
        worker = self.workers_by_address.get(address)
        if worker is None:
            raise UnavailableError(f"no worker listens at {address}")
        return worker


def _read_program(start: StartTask) -> TaskProgram:
    if not start.payload:
        is_standing = SERVICE_TASK_MARKER in start.task_id
        return TaskProgram(run_s=0.0) if is_standing else TaskProgram()
    try:
        return msgspec.json.decode(start.payload, type=TaskProgram)
    except msgspec.MsgspecError:
        return TaskProgram()


def _actual_usage(attempt: _Attempt) -> Resources:
    program = attempt.program
    reserved = attempt.start.reserved
    used = make_resources(
        reserved.millicores if program.used_millicores is None else program.used_millicores,
        reserved.memory_mib if program.used_memory_mib is None else program.used_memory_mib,
        reserved.accelerators_by_kind,
    )
    if attempt.limit is None:
        return used
    return make_resources(
        min(used.millicores, attempt.limit.millicores),
        used.memory_mib,
        used.accelerators_by_kind,
    )
