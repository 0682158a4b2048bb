"""The scheduling decisions of the owner of a cell's jobs, without input or output."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from redwingplank.batch.accepted_jobs import AcceptedJobs
from redwingplank.batch.command_outcomes import CommandOutcomes
from redwingplank.batch.commands import AskAdvice, Commands
from redwingplank.batch.completions import Completions
from redwingplank.batch.crashes import Crashes
from redwingplank.batch.entities import Job
from redwingplank.batch.held_jobs import HeldJobs
from redwingplank.batch.late_starts import LateStarts
from redwingplank.batch.model import (
    CellConfig,
    JobSpec,
    JobState,
    PollReport,
    StartOutcome,
    WorkerEntry,
)
from redwingplank.batch.overload import Overload
from redwingplank.batch.pacing import Pacing
from redwingplank.batch.placement import Placement
from redwingplank.batch.ranking import set_objective
from redwingplank.batch.records import encode_bounded_progress
from redwingplank.batch.reports import Reports
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.starter import Starter
from redwingplank.batch.state import LogDecision, OwnerState
from redwingplank.batch.tickets import Tickets
from redwingplank.batch.watchdog import Watchdog
from redwingplank.batch.worker import Worker

__all__ = ["JobOwner", "PollRequest", "RecordToStore"]

CHECK_PERIOD_S = 0.05
"""Time between checks of all jobs and workers; what they find may be delayed by as much."""

MAX_PASS_INTERVAL_S = 0.25
"""Longest time between two passes if nothing changes, because ranks change with time."""


@dataclass(frozen=True, slots=True)
class PollRequest:
    """The next poll of a worker.

    `token` is the fencing token, and `acknowledged_number` the number of the last completion that
    is acknowledged.
    `lease_until_ms` is the end of the lease on the worker's clock, None to poll without renewing
    the lease.
    """

    token: int
    acknowledged_number: int
    lease_until_ms: int | None


@dataclass(frozen=True, slots=True)
class RecordToStore:
    """Progress of a job in its stored form, with the version that it contains."""

    job_id: str
    version: int
    value: bytes


class JobOwner:
    """Schedules the jobs of a cell in one epoch of ownership.

    Parameters
    ----------
    settings : BatchSettings
        Settings of the scheduling decisions.
    epoch : int
        First fencing token of the epoch of the ownership.
    config : CellConfig
        Current configuration.
    log_decision : callable
        Called with the name and the fields of each event that is written to the log.
    """

    def __init__(
        self, settings: BatchSettings, epoch: int, config: CellConfig, log_decision: LogDecision
    ) -> None:
        self.state = OwnerState(settings, epoch, config, log_decision)
        self._completions = Completions(self.state)
        self._crashes = Crashes(self.state)
        self._outcomes = CommandOutcomes(self.state)
        late_starts = LateStarts(self.state)
        self._reports = Reports(self.state, self._completions, self._crashes, late_starts)
        self._placement = Placement(self.state)
        self._tickets = Tickets(self.state, self._placement)
        self._overload = Overload(self.state)
        self._accepted = AcceptedJobs(self.state, self._completions, self._crashes, self._overload)
        self._starter = Starter(self.state, self._placement, self._tickets, self._overload)
        self._pacing = Pacing(self.state)
        self._watchdog = Watchdog(self.state, self._reports, late_starts)
        self._held = HeldJobs(self.state)
        self._last_check_s = float("-inf")
        self._last_pass_s = float("-inf")

    def rely_on_bounded_leases(self) -> None:
        """Wait for leases of earlier owners no longer than those that keep the bound may last.

        Call it before the jobs are restored.
        """
        self.state.are_leases_bounded = True

    # Jobs.

    def restore_job(
        self, spec: JobSpec, progress: bytes | None, now_s: float, now_unix_s: float
    ) -> None:
        """Restore a job that was accepted before this epoch.

        Raises
        ------
        UndecodableError, ValueError
            If the progress cannot be read; the job is unknown then, and nothing of it starts.
        """
        self._accepted.restore(spec, progress, now_s, now_unix_s)

    def submit(self, spec: JobSpec, now_s: float, now_unix_s: float) -> None:
        """Add a newly submitted job that is already stored; a known job is ignored."""
        self._accepted.add(spec, now_s, now_unix_s)

    def cancel(self, job_id: str, now_s: float, reason: str = "cancelled") -> int | None:
        """Cancel a job, for a reason that is written to the log; one that has ended stays so.

        Returns
        -------
        int or None
            Version of the job that has to be stored before the cancellation is confirmed, also if
            the job had ended otherwise; None for a job that is unknown.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return None
        if not job.state.is_final:
            self.state.finish_job(job, JobState.CANCELLED, now_s, reason)
        return job.final_version

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state to report to callers, None for an unknown job.

        A final state is reported only after it was stored.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return None
        if job.state.is_final and job.stored_version < job.final_version:
            return JobState.RUNNING if job.is_started else JobState.QUEUED
        return job.state

    def pending_count(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task is known to have begun."""
        return sum(
            1
            for job in self.state.jobs_by_id.values()
            if job.spec.queue == queue and not job.has_begun and not job.state.is_final
        )

    def waiting_by_organisation(self) -> Counter[str]:
        """Return the number of jobs of each organisation that have not begun yet."""
        return Counter(
            job.spec.organisation
            for job in self.state.jobs_by_id.values()
            if job.spec.organisation and not job.has_begun and not job.state.is_final
        )

    # Records of job progress.

    def pop_records(self, limit: int) -> list[RecordToStore]:
        """Remove changed jobs and return their records to store.

        They are at most `limit` records, and no more than `record_bytes` together. A job whose
        record alone is longer is held until it is shorter.
        """
        records: list[RecordToStore] = []
        room = self.state.settings.record_bytes
        for job_id, job in list(self.state.dirty_jobs.items())[:limit]:
            record = self._make_record(job)
            if len(record.value) > self.state.settings.record_bytes:
                del self.state.dirty_jobs[job_id]
                self.refuse_record(record)
                continue
            if len(record.value) > room:
                break
            del self.state.dirty_jobs[job_id]
            room -= len(record.value)
            records.append(record)
        return records

    def _make_record(self, job: Job) -> RecordToStore:
        progress = encode_bounded_progress(job)
        if progress.left_out and not job.is_record_cut:
            self.state.log_decision(
                "checkpoints_left_out",
                job=job.spec.job_id,
                checkpoints=progress.left_out,
                value_bytes=len(progress.value),
            )
        job.is_record_cut = bool(progress.left_out)
        return RecordToStore(job.spec.job_id, job.version, progress.value)

    def refuse_record(self, record: RecordToStore) -> None:
        """Hold a job whose record the store does not take, so that others go on."""
        self._held.refuse(record.job_id, len(record.value))

    def return_records(self, records: Iterable[RecordToStore]) -> None:
        """Mark the jobs of records that were not stored as changed again."""
        for record in records:
            job = self.state.jobs_by_id.get(record.job_id)
            if job is not None:
                self.state.dirty_jobs[record.job_id] = job

    def is_write_urgent(self) -> bool:
        """Return whether a start or a caller waits for a record to be stored."""
        return any(
            job.stored_version < job.final_version
            or any(run.state is RunState.PLANNED for run in job.runs())
            for job in self.state.dirty_jobs.values()
        )

    def confirm_stored_records(self, records: Iterable[RecordToStore], now_s: float) -> None:
        """Proceed with the starts and acknowledgements that waited for records to be stored."""
        for record in records:
            job = self.state.jobs_by_id.get(record.job_id)
            if job is None:
                continue
            job.stored_version = max(job.stored_version, record.version)
            for run in job.runs():
                if run.state is RunState.PLANNED and run.version <= job.stored_version:
                    self.state.queue_start(run)
            is_stored = job.state.is_final and job.stored_version == job.version
            if is_stored and not job.runs() and not self._may_run_unconfirmed(job):
                job.steps_by_key.clear()
            elif job.stored_version == job.version:
                job.remove_completed_occurrences()
        for worker in self.state.workers_by_id.values():
            worker.acknowledge_stored_completions()

    def _may_run_unconfirmed(self, job: Job) -> bool:
        """Return whether a worker that has not reported yet may run tasks of a final job."""
        unconfirmed = self.state.unconfirmed_hosts
        return any(host.worker_id in unconfirmed for host in job.hosts)

    # Workers.

    def list_workers(self, entries: list[WorkerEntry], now_s: float) -> None:
        """Apply the list of workers that the platform publishes."""
        self._reports.list_workers(entries, now_s)

    def log_unlisted_hosts(self, now_s: float) -> None:
        """Log the unconfirmed workers that the platform does not publish, which no poll reaches."""
        for worker_id in self.state.unconfirmed_hosts:
            if worker_id not in self.state.workers_by_id:
                self.state.log_awaited_host(worker_id, now_s)

    def next_poll(
        self, worker: Worker, now_s: float, *, leases_until_s: float | None
    ) -> PollRequest:
        """Return the next poll of a worker.

        Parameters
        ----------
        worker : Worker
            Worker to poll.
        now_s : float
            Current time in seconds.
        leases_until_s : float or None
            Time in seconds after which no lease may last, None to grant none.
        """
        token = self.state.token_of(worker)
        if worker.is_unreachable:
            # Acknowledge nothing: the worker may have restarted and may number its completions from
            # the beginning again.
            return PollRequest(token, 0, None)
        if worker.clock_ms is None or leases_until_s is None:
            return PollRequest(token, worker.acknowledged_completion_number, None)
        until_ms = self.grant_lease(worker, now_s, leases_until_s)
        return PollRequest(token, worker.acknowledged_completion_number, until_ms)

    def grant_lease(self, worker: Worker, now_s: float, leases_until_s: float) -> int:
        """Return the end of a lease that a command grants now, on the worker's clock.

        Parameters
        ----------
        worker : Worker
            Worker that has told its clock.
        now_s : float
            Current time in seconds.
        leases_until_s : float
            Time in seconds after which no lease may last.
        """
        lease_s = min(self.state.settings.lease_s, leases_until_s - now_s)
        until_ms = worker.clock_now_ms(now_s) + round(lease_s * 1000)
        worker.granted_until_ms = max(worker.granted_until_ms, until_ms)
        return until_ms

    def may_lease_outlast(self, worker: Worker, now_s: float, leases_until_s: float) -> bool:
        """Return whether a worker may keep a lease by itself for longer than a next owner waits."""
        left_s = worker.lease_left_s(worker.taken_until_ms, now_s)
        return left_s > leases_until_s - now_s

    def apply_report(self, worker: Worker, report: PollReport, sent_s: float, now_s: float) -> None:
        """Apply a worker's answer to a poll that was sent at `sent_s`."""
        self._reports.apply_report(worker, report, sent_s, now_s)
        self._watchdog.stop_stalled(worker, now_s)
        self._pacing.adjust(worker, now_s)

    def mark_worker_unreachable(
        self, worker: Worker, now_s: float, *, is_broken_off: bool = False
    ) -> None:
        """Mark a worker that did not answer a poll as unreachable.

        Parameters
        ----------
        worker : Worker
            Worker that was polled.
        now_s : float
            Current time in seconds.
        is_broken_off : bool, optional
            Whether the connection ended while the poll waited for its answer, as it does when the
            worker's process ends.
        """
        self._reports.mark_unreachable(worker, now_s, is_broken_off=is_broken_off)

    # Start and stop commands.

    def mark_start_sent(self, run: Run, now_s: float) -> bool:
        """Mark a planned run as starting; return False if its command is no longer to be sent."""
        return self._outcomes.mark_start_sent(run, now_s)

    def withdraw_start(self, run: Run, now_s: float) -> None:
        """Take back a start command that waited and is not to be sent any more."""
        if run.state is RunState.PLANNED:
            self._outcomes.handle_start(run, StartOutcome.NOT_SENT, now_s)

    def handle_start_outcome(
        self, run: Run, outcome: StartOutcome, now_s: float, clock_ms: int | None = None
    ) -> None:
        """Apply the outcome of a start command, and the worker's clock if its answer tells it."""
        self._outcomes.handle_start(run, outcome, now_s, clock_ms)

    def handle_stop_outcome(self, run: Run, *, is_taken: bool, now_s: float) -> None:
        """Apply the outcome of a stop command; `is_taken` is whether the worker accepted it."""
        self._outcomes.handle_stop(run, is_taken=is_taken, now_s=now_s)

    # Advice service.

    def handle_advice(
        self, call: AskAdvice, tickets_by_worker: dict[str, str] | None, now_s: float
    ) -> None:
        """Apply an answer of the advice service, None if the call got no answer."""
        self._tickets.apply_advice(call, tickets_by_worker, now_s)

    # Configuration, periodic decisions and cleanup.

    def set_config(self, config: CellConfig, now_s: float) -> None:
        """Apply a configuration if it is newer than the current one."""
        previous = self.state.config
        if config.version <= previous.version:
            return
        self.state.config = config
        self.state.organisations.set_config(config)
        self.state.needs_pass = True
        for job in list(self.state.jobs_by_id.values()):
            earlier_policy = previous.queues_by_name.get(job.spec.queue)
            if not job.state.is_final and self.state.queue_of(job) != earlier_policy:
                self._apply_queue_policy(job, now_s)

    def _apply_queue_policy(self, job: Job, now_s: float) -> None:
        """Apply a queue that is new or changed to a job; without a queue the job waits."""
        queue = self.state.queue_of(job)
        if queue is None:
            self.state.log_decision(
                "queue_not_configured", job=job.spec.job_id, queue=job.spec.queue
            )
            return
        set_objective(job, queue, self.state.speeds)
        self._completions.fail_if_attempts_used_up(job, now_s)

    def tick(self, now_s: float, now_unix_s: float) -> Commands:
        """Make all decisions that are due, and return the commands to carry out."""
        self.state.unix_offset_s = now_unix_s - now_s
        self._held.update(now_s)
        if now_s - self._last_check_s >= CHECK_PERIOD_S:
            self._last_check_s = now_s
            self._check(now_s, now_unix_s)
        self._overload.update(now_s)
        self.state.request_due_passes(now_s)
        if self.state.needs_pass or now_s - self._last_pass_s >= MAX_PASS_INTERVAL_S:
            self._last_pass_s = now_s
            self.state.needs_pass = False
            self._starter.plan_starts(now_s)
        commands = self.state.commands
        self.state.commands = Commands()
        return commands

    def _check(self, now_s: float, now_unix_s: float) -> None:
        """Run the time-driven checks of all workers and open the occurrences that are due."""
        self._watchdog.check(now_s)
        self._accepted.open_due_occurrences(now_s, now_unix_s)

    def find_removable_jobs(self, now_s: float) -> list[str]:
        """Return the ids of jobs that ended long ago, to be removed from the store.

        They stay known until `forget_ended_job` is called: what the store holds must not be taken
        for a new job.
        """
        kept_s = self.state.settings.state_kept_s
        return [
            job_id
            for job_id, job in self.state.jobs_by_id.items()
            if job.state.is_final
            and now_s - job.ended_s > kept_s
            and job.stored_version == job.version
            and not job.runs()
            and not self._may_run_unconfirmed(job)
        ]

    def forget_ended_job(self, job_id: str) -> bool:
        """Forget a job that is not in the store any more.

        Returns
        -------
        bool
            False for a job that has not ended, which stays known.
        """
        job = self.state.jobs_by_id.get(job_id)
        if job is None:
            return True
        if not job.state.is_final:
            return False
        del self.state.jobs_by_id[job_id]
        self.state.dirty_jobs.pop(job_id, None)
        self.state.organisations.remove_job(job)
        self._crashes.forget_ended_jobs()
        return True
