"""Workers in memory that keep the rules of real ones, driven by a clock that is only told.

Used by the tests and the benchmarks: they run the real decisions against these workers.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from redwingplank.batch.commands import AskAdvice, PaceRun
from redwingplank.batch.emulated_worker import EmulatedRun, EmulatedWorker, Fault
from redwingplank.batch.entities import Run
from redwingplank.batch.model import (
    CellConfig,
    CompletionKind,
    JobSpec,
    JobState,
    PollReport,
    RunReport,
    StartOutcome,
    StepSpec,
    TaskId,
    WorkerEntry,
)
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.settings import BatchSettings

__all__ = ["EmulatedCell"]

TICK_S = 0.02
LOOK_S = 0.3
ORDER_S = 0.004
STORE_S = 0.008


class EmulatedCell:
    """Workers, a store of records and one owner at a time.

    Parameters
    ----------
    config : CellConfig
        The queues.
    workers : list of EmulatedWorker
        The workers.
    seed : int
        For lost and late orders.
    work_s : callable
        Returns how long a task really works on a worker of slowness 1.
    settings : BatchSettings, optional
        Of the decisions.

    Notes
    -----
    `violations` collects every broken promise: room exceeded, a task twice at a time, a start
    after its end was acknowledged, a start before its turn.
    """

    def __init__(
        self,
        config: CellConfig,
        workers: list[EmulatedWorker],
        seed: int = 0,
        work_s: Callable[[TaskId, StepSpec], float] | None = None,
        settings: BatchSettings | None = None,
    ) -> None:
        self.config = config
        self.workers = {worker.entry.worker_id: worker for worker in workers}
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.settings = settings or BatchSettings()
        self._work_s = work_s or (lambda _, spec: spec.estimate_s)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.specs_by_id: dict[str, JobSpec] = {}
        self.records_by_id: dict[str, bytes] = {}
        self.learned = b""
        """What the last owner that wrote had learned of speeds."""
        self.noted_done: set[TaskId] = set()
        self.completed_s_by_id: dict[str, float] = {}
        self.violations: list[str] = []
        self.starts = 0
        self.lost_share = 0.0
        """Share of orders that get no answer; half of them are carried out late."""
        self.is_store_away = False
        self.term = 0
        self.owner = self._make_owner()
        self._writing = False
        self._schedule_looks()

    def _make_owner(self) -> JobOwner:
        self.term += 1
        owner = JobOwner(self.settings, self.term, self.config, _ignore)
        if self.learned:
            owner.state.speeds.restore(self.learned)
        for job_id, spec in self.specs_by_id.items():
            owner.restore_job(spec, self.records_by_id.get(job_id), self.now_s, self.now_s)
        owner.list_workers(self._entries(), self.now_s)
        return owner

    def replace_owner(self) -> None:
        """Let another node win the ownership; orders of the old one may still be under way."""
        self._writing = False
        self.owner = self._make_owner()

    def crash(self, worker_id: str) -> None:
        """Restart a worker's process; the look that was open breaks at once."""
        worker = self.workers[worker_id]
        worker.crash(worker.entry.born_ms + 1)
        known = self.owner.state.workers_by_id.get(worker_id)
        if known is not None:
            self.owner.mark_worker_unreachable(known, self.now_s)

    def submit(self, spec: JobSpec) -> None:
        """Store a job and tell the owner."""
        self.specs_by_id[spec.job_id] = spec
        self.owner.submit(spec, self.now_s, self.now_s)

    def state(self, job_id: str) -> JobState | None:
        """Return what a caller is told."""
        return self.owner.job_state(job_id)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), action))

    def run_for(self, duration_s: float) -> None:
        """Let time pass."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + TICK_S)
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            self._work()
            self._tick()

    def _entries(self) -> list[WorkerEntry]:
        return [worker.entry for worker in self.workers.values()]

    def _schedule_looks(self) -> None:
        for worker_id in self.workers:
            self.after(self.rng.random() * LOOK_S, functools.partial(self._look, worker_id))
        self.after(0.5, self._list)

    def _list(self) -> None:
        self.owner.list_workers(self._entries(), self.now_s)
        self.after(0.5, self._list)

    # Work.

    def _work(self) -> None:
        for worker in self.workers.values():
            for run in list(worker.runs.values()):
                self._advance(worker, run)

    def _advance(self, worker: EmulatedWorker, run: EmulatedRun) -> None:
        if self.now_s > worker.lease_until_s:
            worker.end(run, CompletionKind.LAPSED)
            return
        if run.stopping_at_s is not None:
            if self.now_s >= run.stopping_at_s:
                worker.end(run, CompletionKind.STOPPED)
            return
        if Fault.FAIL_ALL in worker.faults:
            worker.end(run, CompletionKind.FAILED)
            return
        if Fault.HANG in worker.faults:
            return
        slow = worker.slowness * (6.0 if Fault.SLOW in worker.faults else 1.0)
        run.done_s += TICK_S / slow * run.pace
        if not run.spec.is_lasting and run.done_s >= run.work_s:
            worker.end(run, CompletionKind.DONE)

    # What the runtime does for the owner.

    def _tick(self) -> None:
        commands = self.owner.tick(self.now_s, self.now_s)
        for run in commands.starts:
            self._send_start(self.owner, run)
        for run in commands.stops:
            self._send_stop(self.owner, run)
        for pace in commands.paces:
            self._pace(pace)
        for call in commands.advice:
            self._advise(self.owner, call)
        self._store()

    def _store(self) -> None:
        if self._writing or self.is_store_away:
            return
        records = self.owner.take_records(28)
        if not records:
            return
        self._writing = True
        owner = self.owner

        def stored() -> None:
            if owner is not self.owner:
                return
            self._writing = False
            self.learned = owner.state.speeds.encode()
            for record in records:
                self.records_by_id[record.job_id] = record.value
            owner.confirm_stored_records(records, self.now_s)
            for record in records:
                if owner.job_state(record.job_id) is JobState.COMPLETED:
                    self.completed_s_by_id.setdefault(record.job_id, self.now_s)

        self.after(STORE_S, stored)

    def _is_lost(self) -> bool:
        return self.lost_share > 0 and self.rng.random() < self.lost_share

    def _send_start(self, owner: JobOwner, run: Run) -> None:
        if not owner.mark_start_sent(run, self.now_s):
            return
        worker = self.workers[run.worker.id]
        assert run.spec is not None
        lease_ms = owner.start_lease_ms(run.worker, self.now_s)
        token, spec = owner.state.epoch, run.spec
        born_ms = worker.entry.born_ms

        def carry_out() -> StartOutcome:
            if worker.entry.born_ms != born_ms:
                # The order was on its way to a process that is gone.
                return StartOutcome.UNKNOWN
            return self._start(worker, run.task_id, run.attempt, spec, lease_ms, token)

        if Fault.CUT in worker.faults:
            self.after(
                0.8, lambda: owner.handle_start_outcome(run, StartOutcome.UNKNOWN, self.now_s)
            )
        elif self._is_lost():
            if self.rng.random() < 0.5:
                self.after(2 + 10 * self.rng.random(), lambda: _discard(carry_out()))
            self.after(
                0.8, lambda: owner.handle_start_outcome(run, StartOutcome.UNKNOWN, self.now_s)
            )
        else:
            self.after(ORDER_S, lambda: owner.handle_start_outcome(run, carry_out(), self.now_s))

    def _start(
        self,
        worker: EmulatedWorker,
        task: TaskId,
        attempt: int,
        spec: StepSpec,
        lease_ms: int,
        token: int,
    ) -> StartOutcome:
        if token < worker.token:
            return StartOutcome.FENCED
        worker.token = token
        if lease_ms / 1000 < self.now_s:
            return StartOutcome.TOO_LATE
        worker.lease_until_s = max(worker.lease_until_s, lease_ms / 1000)
        if (task, attempt) in worker.runs:
            return StartOutcome.STARTED
        if attempt <= worker.blocked.get(task, 0):
            return StartOutcome.OLD_ATTEMPT
        worker.runs[(task, attempt)] = EmulatedRun(task, attempt, spec, self._work_s(task, spec))
        self.starts += 1
        self._check_start(worker, task, spec)
        return StartOutcome.STARTED

    def _check_start(self, worker: EmulatedWorker, task: TaskId, spec: StepSpec) -> None:
        if not worker.entry.capacity.holds(worker.used):
            self.violations.append(f"{worker.entry.worker_id} over its capacity by {task}")
        places = sum(
            1 for other in self.workers.values() for run in other.runs.values() if run.task == task
        )
        if places > 1 and not spec.may_copy:
            self.violations.append(f"{task} runs in {places} places at {self.now_s:.2f}")
        if task in self.noted_done and not spec.may_copy:
            self.violations.append(f"{task} started after its end was acknowledged")
        steps = self.specs_by_id[task.job_id].steps
        for earlier in steps[task.step].after:
            for position in range(steps[earlier].count):
                if not self._has_ended(task._replace(step=earlier, position=position)):
                    self.violations.append(f"{task} started before step {earlier} was done")
                    return

    def _has_ended(self, task: TaskId) -> bool:
        return any(task in worker.ended_done for worker in self.workers.values())

    def _send_stop(self, owner: JobOwner, run: Run) -> None:
        worker = self.workers[run.worker.id]
        token = owner.state.epoch
        if Fault.CUT in worker.faults or self._is_lost():
            self.after(
                0.8, lambda: owner.handle_stop_outcome(run, is_taken=False, now_s=self.now_s)
            )
            return

        def carry_out() -> None:
            is_taken = token >= worker.token
            if is_taken:
                worker.token = token
                worker.blocked[run.task_id] = max(worker.blocked.get(run.task_id, 0), run.attempt)
                found = worker.runs.get(run.key)
                if found is not None and found.stopping_at_s is None:
                    found.stopping_at_s = self.now_s + 0.2
            owner.handle_stop_outcome(run, is_taken=is_taken, now_s=self.now_s)

        self.after(ORDER_S, carry_out)

    def _pace(self, pace: PaceRun) -> None:
        found = self.workers[pace.run.worker.id].runs.get(pace.run.key)
        if found is not None:
            found.pace = pace.percent / 100

    def _advise(self, owner: JobOwner, call: AskAdvice) -> None:
        tickets = dict.fromkeys(call.workers, "ticket")
        self.after(call.work_s, lambda: owner.advice_ended(call, tickets, self.now_s))

    def _look(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        self.after(LOOK_S, lambda: self._look(worker_id))
        known = self.owner.state.workers_by_id.get(worker_id)
        if known is None:
            return
        owner, sent_s, token = self.owner, self.now_s, self.owner.state.epoch
        order = owner.next_poll(known, sent_s, may_renew=True)
        if Fault.CUT in worker.faults:
            self.after(0.6, lambda: owner.mark_worker_unreachable(known, self.now_s))
            return
        if token < worker.token:
            return
        worker.token = token
        self._acknowledge(worker, order.noted)
        if order.lease_until_ms is not None:
            worker.lease_until_s = max(worker.lease_until_s, order.lease_until_ms / 1000)
        running = tuple(
            RunReport(run.task, run.attempt, "", round(100 * run.done_s / run.work_s), 0.0)
            for run in worker.runs.values()
        )
        report = PollReport(
            round(self.now_s * 1000), worker.entry.born_ms, running, tuple(worker.ends)
        )

        def answer() -> None:
            if worker.entry.born_ms == report.born_ms:
                owner.worker_reported(known, report, sent_s, self.now_s)

        self.after(ORDER_S, answer)

    def _acknowledge(self, worker: EmulatedWorker, noted: int) -> None:
        for end in worker.ends:
            if end.number <= noted and end.kind is CompletionKind.DONE:
                self.noted_done.add(end.task)
        worker.ends = [end for end in worker.ends if end.number > noted]


def _ignore(event: str, **fields: Any) -> None:
    """Decisions are not logged here."""


def _discard(outcome: StartOutcome) -> None:
    """The answer of an order that is carried out late reaches nobody."""
