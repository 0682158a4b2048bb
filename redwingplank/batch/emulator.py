"""Emulation of a cell with in-memory workers and a simulated clock.

The tests run the real decisions of an owner against these workers.
"""

import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from redwingplank.batch.commands import AskAdvice
from redwingplank.batch.emulated_calls import EmulatedCalls
from redwingplank.batch.emulated_cancellations import EmulatedCancellations
from redwingplank.batch.emulated_checks import Disruption, PromiseChecks, UnaskedChecks
from redwingplank.batch.emulated_worker import (
    EmulatedRun,
    EmulatedWorker,
    Fault,
    StartOrder,
    make_restarted_entry,
)
from redwingplank.batch.fencing import TOKENS_PER_EPOCH, first_token
from redwingplank.batch.model import (
    CellConfig,
    CompletionKind,
    JobSpec,
    JobState,
    OrganisationPolicy,
    QueuePolicy,
    StartOutcome,
    StepKey,
    StepSpec,
    TaskId,
    WorkerEntry,
)
from redwingplank.batch.owner import JobOwner, RecordToStore
from redwingplank.batch.settings import BatchSettings

__all__ = ["EmulatedCell"]

TICK_S = 0.02
POLL_INTERVAL_S = 0.3
"""Time between two polls of a worker."""
STORE_LATENCY_S = 0.008
"""Time until a write to the store is confirmed."""
WRITE_RETRY_S = 0.12
"""Time after which a write without an answer is sent again."""
LATE_WRITE_S = (1.0, 6.0)
"""Shortest and longest time after which the store may carry out a write that it did not answer."""


class EmulatedCell:
    """An emulated cell: workers, a store of job records, and one owner at a time.

    Parameters
    ----------
    config : CellConfig
        Configuration with the queues.
    workers : list of EmulatedWorker
        Workers of the cell.
    seed : int
        Seed of the random choices, such as lost and late commands.
    work_s : callable
        Returns the true run time of a task on a worker of slowness 1; by default its estimate.
    settings : BatchSettings, optional
        Settings of the scheduling decisions.
    is_allowed : callable, optional
        Whether the advice service allows a worker, by its id, for a step; by default it allows all.
    slowdown : callable, optional
        Factor by which what else runs on a worker slows down a run; by default nothing does.

    Notes
    -----
    `report_errors` collects the unexpected errors of applied reports.
    `violations` collects every broken guarantee: a worker over its capacity, two runs of a task at
    the same time, a start of a task after its completion was acknowledged, a start of a task whose
    earlier completion is acknowledged later, a start before the steps that it depends on are done,
    a start that brings an organisation above its quota, and a start or a run that nobody has asked
    for or whose job was cancelled.
    """

    def __init__(
        self,
        config: CellConfig,
        workers: list[EmulatedWorker],
        seed: int = 0,
        work_s: Callable[[TaskId, StepSpec], float] | None = None,
        settings: BatchSettings | None = None,
        is_allowed: Callable[[StepKey, str], bool] | None = None,
        slowdown: Callable[[EmulatedWorker, EmulatedRun], float] | None = None,
    ) -> None:
        self.config = config
        self.workers = {worker.entry.worker_id: worker for worker in workers}
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.settings = settings or BatchSettings()
        self.work_s = work_s or (lambda _, spec: spec.estimate_s)
        self._is_allowed = is_allowed or (lambda _key, _worker_id: True)
        self._slowdown = slowdown or (lambda _worker, _run: 1.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.specs_by_id: dict[str, JobSpec] = {}
        self.records_by_id: dict[str, bytes] = {}
        self.cancellations = EmulatedCancellations(self)
        self.calls = EmulatedCalls(self)
        self.stored_speeds = b""
        """Stored run time statistics of the last owner that wrote to the store."""
        self.completed_s_by_id: dict[str, float] = {}
        self.checks = PromiseChecks(self.workers, self.specs_by_id)
        self.unasked = UnaskedChecks(self.checks.violations)
        self.report_errors: list[Exception] = []
        self.starts = 0
        self.start_listeners: list[Callable[[EmulatedWorker, TaskId], None]] = []
        """Called with each start that a worker carries out."""
        self.crash_counts: Counter[TaskId] = Counter()
        """Number of workers that crashed while they ran a task, as far as any owner can know."""
        self.lost_end_counts: Counter[TaskId] = Counter()
        """Number of ends of a task that a worker lost in a crash before they were acknowledged.

        To an owner that was told of none of them, such a task crashed with its worker.
        """
        self.failure_counts: Counter[TaskId] = Counter()
        """Number of runs of a task that have ended as failed."""
        self.lost_command_fraction = 0.0
        """Fraction of commands and polls that get no answer, carried out or not."""
        self.longest_answer_delay_s = 0.0
        """Longest time that an answer takes beyond the usual; below the time between two polls."""
        self.is_store_unavailable = False
        self.is_store_refusing_owner = False
        """Whether the store refuses the present owner and serves all other nodes."""
        self.watch_delays_s = (0.01, 1.5)
        """Shortest and longest time until the owner learns of a stored cancellation."""
        self.longest_submission_delay_s = 0.0
        """Longest time until the owner learns of a stored job."""
        self._unseen: list[Callable[[JobOwner], object]] = []
        """Stored changes that the owner has not seen yet, in the order of their writes."""
        self.lost_write_fraction = 0.0
        """Fraction of writes that get no answer; half of them are carried out late."""
        self.is_store_conditional = True
        """Whether the store checks the conditions of writes; False only to test the checks."""
        self.are_leases_bounded = True
        """Whether the next owner relies on the bound of its predecessors' leases."""
        self._proven_s_by_epoch: dict[int, float] = {}
        """Time at which the owner of each epoch last proved its ownership."""
        self._replaced_owners: list[JobOwner] = []
        """Replaced owners that still send commands, also to workers that are cut off."""
        self._sequence: tuple[int, int] = (0, 0)
        """Epoch and number of the last write of records that was carried out."""
        self.epoch = first_token(0)
        """First fencing token of the present owner."""
        self.owner = self._make_owner()
        self._is_writing = False
        self._schedule_polls()

    def _make_owner(self) -> JobOwner:
        self.epoch += TOKENS_PER_EPOCH
        self._sequence = (self.epoch, 0)
        self._proven_s_by_epoch[self.epoch] = self.now_s
        owner = JobOwner(self.settings, self.epoch, self.config, _ignore)
        if self.are_leases_bounded:
            owner.rely_on_bounded_leases()
        if self.stored_speeds:
            owner.state.speeds.restore(self.stored_speeds)
        for job_id, spec in self.specs_by_id.items():
            owner.restore_job(spec, self.records_by_id.get(job_id), self.now_s, self.now_s)
        for job_id in self.cancellations.stored_ids:
            owner.cancel(job_id, self.now_s, "cancellation_stored")
        owner.list_workers(self._entries(), self.now_s)
        return owner

    def replace_owner(self, *, keeps_sending: bool = False) -> None:
        """Replace the owner by one with a new epoch; commands of the old one may still arrive.

        Parameters
        ----------
        keeps_sending : bool
            Whether the old one does not learn of it, and goes on polling for as long as it may. It
            reaches the workers that are cut off from the new one.
        """
        if keeps_sending:
            self._replaced_owners.append(self.owner)
        self._is_writing = False
        self.is_store_refusing_owner = False
        self._unseen.clear()
        self.owner = self._make_owner()
        self.unasked.note_disruption(Disruption.OWNER_REPLACED, self.now_s)

    def stop_replaced_owners(self) -> None:
        """End the replaced owners that still send commands."""
        self._replaced_owners.clear()

    def crash(self, worker_id: str) -> None:
        """Restart a worker's process; the poll that was open fails immediately."""
        worker = self.workers[worker_id]
        self.crash_counts.update(worker.unsettled_tasks())
        self.lost_end_counts.update(end.task for end in worker.ends)
        worker.crash(max(worker.entry.born_ms + 1, round(self.now_s * 1000)))
        self._restart_clock(worker)
        known = self.owner.state.workers_by_id.get(worker_id)
        if known is not None:
            is_broken_off = Fault.CUT not in worker.faults
            self.owner.mark_worker_unreachable(known, self.now_s, is_broken_off=is_broken_off)

    def take_down(self, worker: EmulatedWorker) -> None:
        """End a worker's process; the poll that was open fails immediately."""
        self.crash_counts.update(worker.unsettled_tasks())
        worker.lose_memory()
        worker.is_down = True
        known = self.owner.state.workers_by_id.get(worker.entry.worker_id)
        if known is not None:
            is_broken_off = Fault.CUT not in worker.faults
            self.owner.mark_worker_unreachable(known, self.now_s, is_broken_off=is_broken_off)

    def _restart_clock(self, worker: EmulatedWorker) -> None:
        worker.clock_offset_s = -worker.clock_rate * self.now_s

    def bring_back(self, worker: EmulatedWorker, *, keeps_id: bool) -> None:
        """Start a new process at the address of one that has ended."""
        entry = make_restarted_entry(worker.entry, round(self.now_s * 1000))
        if keeps_id:
            worker.entry = entry
            worker.is_down = False
            self._restart_clock(worker)
            return
        entry = replace(entry, worker_id=f"{entry.address}/{entry.born_ms}")
        self.workers[entry.worker_id] = EmulatedWorker(entry, worker.slowness)
        self._poll(entry.worker_id)

    def submit(self, spec: JobSpec) -> None:
        """Store a job; the owner learns of it, at once or after a delay, as by a watch."""
        self.specs_by_id[spec.job_id] = spec
        self.unasked.note_submission(spec)
        delay_s = self.longest_submission_delay_s and self.rng.uniform(
            0.0, self.longest_submission_delay_s
        )
        self.notify_owner(lambda owner: owner.submit(spec, self.now_s, self.now_s), delay_s)

    def cancel(self, job_id: str) -> None:
        """Send the cancellation of a job; what is not stored is forgotten with the owner."""
        self.cancellations.send(job_id)

    def notify_owner(self, change: Callable[[JobOwner], object], delay_s: float) -> None:
        """Apply a stored change to the owner after a delay, and before it all earlier ones."""
        self._unseen.append(change)
        if delay_s:
            self.after(delay_s, self._deliver_changes)
        else:
            self._deliver_changes()

    def _deliver_changes(self) -> None:
        if self._is_owner_refused():
            self.after(TICK_S, self._deliver_changes)
            return
        changes, self._unseen = self._unseen, []
        for change in changes:
            change(self.owner)

    def leases_until_s(self, owner: JobOwner) -> float | None:
        """Return the time after which no lease of an owner may last, None if it grants none."""
        proven_s = self._proven_s_by_epoch[owner.state.epoch]
        if self.now_s - proven_s >= self.settings.command_silence_s:
            return None
        return proven_s + self.settings.proof_lease_s

    def _is_owner_refused(self) -> bool:
        return self.is_store_unavailable or self.is_store_refusing_owner

    def set_organisations(self, *policies: OrganisationPolicy) -> None:
        """Put a new version of the configuration in force, with these organisations."""
        by_name = {policy.name: policy for policy in policies}
        self._set_config(replace(self.config, organisations_by_name=by_name))

    def set_queues(self, *queues: QueuePolicy) -> None:
        """Put a new version of the configuration in force, with these queues."""
        by_name = {queue.name: queue for queue in queues}
        self._set_config(replace(self.config, queues_by_name=by_name))

    def _set_config(self, config: CellConfig) -> None:
        self.config = replace(config, version=self.config.version + 1)
        self.owner.set_config(self.config, self.now_s)

    @property
    def violations(self) -> list[str]:
        """All broken promises so far."""
        return self.checks.violations

    def state(self, job_id: str) -> JobState | None:
        """Return the state of a job as it is reported to callers."""
        return self.owner.job_state(job_id)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay_s` of simulated time."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._event_numbers), action))

    def run_for(self, duration_s: float) -> None:
        """Advance the simulated time."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + TICK_S)
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            self._advance_all_runs()
            if not self._is_owner_refused():
                self._proven_s_by_epoch[self.epoch] = self.now_s
            self._tick_owner()
            self._note_disruptions()

    def _note_disruptions(self) -> None:
        is_present = {
            Disruption.STORE: self.is_store_unavailable,
            Disruption.COMMANDS: self.lost_command_fraction > 0,
        }
        for kind in (kind for kind, is_disrupted in is_present.items() if is_disrupted):
            self.unasked.note_disruption(kind, self.now_s)
        if self.is_store_refusing_owner:
            self.unasked.note_refused_owner(self.owner.state.epoch, self.now_s)
        if not self.unasked.cancelled_s_by_id:
            return
        for worker in self.workers.values():
            if not worker.is_reachable:
                self.unasked.note_disruption(worker.entry.worker_id, self.now_s)
            for run in worker.runs.values():
                self.unasked.check_run(worker, run, self.now_s)

    def _entries(self) -> list[WorkerEntry]:
        return [
            worker.entry
            for worker in self.workers.values()
            if worker.is_listed and not worker.is_down
        ]

    def _schedule_polls(self) -> None:
        for worker_id in self.workers:
            self.after(
                self.rng.random() * POLL_INTERVAL_S, functools.partial(self._poll, worker_id)
            )
        self.after(0.5, self._publish_workers)

    def _publish_workers(self) -> None:
        if not self._is_owner_refused():
            self.owner.list_workers(self._entries(), self.now_s)
        self.after(0.5, self._publish_workers)

    # Progress of the runs.

    def _advance_all_runs(self) -> None:
        for worker in self.workers.values():
            for run in list(worker.runs.values()):
                self._advance_run(worker, run)
            if worker.clock_s(self.now_s) > worker.lease_until_s:
                worker.lapsed_count = worker.end_count

    def _advance_run(self, worker: EmulatedWorker, run: EmulatedRun) -> None:
        if worker.clock_s(self.now_s) > worker.lease_until_s:
            worker.end(run, CompletionKind.LAPSED)
            return
        if run.stopping_at_s is not None:
            if self.now_s >= run.stopping_at_s:
                if run.spec.saves:
                    run.save()
                    self.unasked.note_checkpoint(run)
                worker.end(run, CompletionKind.STOPPED)
            return
        if Fault.FAIL_ALL in worker.faults:
            worker.end(run, CompletionKind.FAILED)
            self.failure_counts[run.task] += 1
            return
        if Fault.HANG in worker.faults:
            return
        slowness = worker.slowness * (6.0 if Fault.SLOW in worker.faults else 1.0)
        if run.advance(TICK_S / slowness / self._slowdown(worker, run) * run.pace):
            self.unasked.note_checkpoint(run)
        if not run.spec.is_lasting and run.done_s >= run.work_s:
            worker.end(run, CompletionKind.DONE)

    # Commands, polls and writes that the runtime carries out for the owner.

    def _tick_owner(self) -> None:
        commands = self.owner.tick(self.now_s, self.now_s)
        for run in commands.starts:
            self.calls.send_start(self.owner, run)
        for run in commands.stops:
            self.calls.send_stop(self.owner, run)
        for pace in commands.paces:
            self.calls.set_pace(pace)
        for call in commands.advice:
            self._answer_advice(self.owner, call)
        self._write_records()

    def _write_records(self) -> None:
        if self._is_writing or self._is_owner_refused():
            return
        records = self.owner.pop_records(28)
        if not records:
            return
        self._is_writing = True
        self._send_write(self.owner, records, self._sequence)

    def _send_write(
        self, owner: JobOwner, records: list[RecordToStore], previous: tuple[int, int]
    ) -> None:
        """Send a write that requires `previous` to be the last one; repeat it until answered."""
        if self._is_owner_refused():
            self.after(WRITE_RETRY_S, lambda: self._repeat_write(owner, records, previous))
            return

        def carry_out() -> bool:
            written = (owner.state.epoch, previous[1] + 1)
            if self.is_store_conditional and self._sequence != previous:
                return self._sequence == written
            self._sequence = written
            self.checks.check_records(records, self.settings.record_bytes)
            self.records_by_id.update((record.job_id, record.value) for record in records)
            return True

        def answer() -> None:
            is_stored = carry_out()
            if owner is not self.owner:
                return
            assert is_stored, "only a newer owner may write between two writes of an owner"
            self._is_writing = False
            self._confirm_write(records)

        if self.rng.random() >= self.lost_write_fraction:
            self.after(STORE_LATENCY_S, answer)
            return
        is_late = self.rng.random() < 0.5
        delay_s = self.rng.uniform(*LATE_WRITE_S) if is_late else STORE_LATENCY_S
        self.after(delay_s, lambda: _discard(carry_out()))
        self.after(WRITE_RETRY_S, lambda: self._repeat_write(owner, records, previous))

    def _repeat_write(
        self, owner: JobOwner, records: list[RecordToStore], previous: tuple[int, int]
    ) -> None:
        if owner is self.owner:
            self._send_write(owner, records, previous)

    def _confirm_write(self, records: list[RecordToStore]) -> None:
        self.stored_speeds = self.owner.state.speeds.encode()
        self.owner.confirm_stored_records(records, self.now_s)
        for record in records:
            if self.owner.job_state(record.job_id) is JobState.COMPLETED:
                self.completed_s_by_id.setdefault(record.job_id, self.now_s)

    def record_start(self, worker: EmulatedWorker, order: StartOrder, *, is_late: bool) -> None:
        """Check a run that a worker has just begun, and tell of it."""
        self.starts += 1
        self.unasked.check_start(order, self.now_s, is_late=is_late)
        self.checks.check_start(worker, order.task, order.spec, self.now_s)
        for listener in self.start_listeners:
            listener(worker, order.task)

    def is_command_lost(self) -> bool:
        """Draw whether a command gets no answer."""
        return self.lost_command_fraction > 0 and self.rng.random() < self.lost_command_fraction

    def _answer_advice(self, owner: JobOwner, call: AskAdvice) -> None:
        allowed = [name for name in call.workers if self._is_allowed(call.step.key, name)]
        tickets = dict.fromkeys(allowed, "ticket")
        self.after(call.work_s, lambda: owner.handle_advice(call, tickets, self.now_s))

    def _poll(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        self.after(POLL_INTERVAL_S, lambda: self._poll(worker_id))
        self.calls.poll(self.owner, worker, is_reachable=worker.is_reachable)
        for owner in self._replaced_owners:
            self.calls.poll(owner, worker, is_reachable=not worker.is_down)


def _ignore(event: str, **fields: Any) -> None:
    """Discard the log of decisions."""


def _discard(outcome: StartOutcome | bool) -> None:
    """Discard the answer to a command or write that is carried out after its time-out."""
