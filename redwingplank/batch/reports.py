"""Compares what a worker lists with what the owner believes."""

from redwingplank.batch.ends import Completions
from redwingplank.batch.entities import Run, RunState, Step, Task, Worker
from redwingplank.batch.model import PollReport, RunReport, WorkerEntry
from redwingplank.batch.state import OwnerState

__all__ = ["Reports"]

MAX_ENDS_LISTED = 500
"""A report with this many ends may leave out others (stated by the platform)."""


class Reports:
    """Takes workers' lists, reports and silences.

    Parameters
    ----------
    state : OwnerState
        The tables.
    ends : Ends
        Applies ends.
    """

    def __init__(self, state: OwnerState, ends: Completions) -> None:
        self._state = state
        self._ends = ends

    def list_workers(self, entries: list[WorkerEntry], now_s: float) -> None:
        """Take the list of workers as the platform publishes it."""
        state = self._state
        listed = set()
        for entry in entries:
            listed.add(entry.worker_id)
            worker = state.workers_by_id.get(entry.worker_id)
            if worker is None:
                unproven_until_s = state.unconfirmed_hosts.get(entry.worker_id, now_s)
                worker = Worker(entry, unproven_until_s)
                state.workers_by_id[entry.worker_id] = worker
                self._log_worker(worker, "worker_new")
                continue
            if entry.born_ms > worker.born_ms:
                self.handle_restart(worker, entry.born_ms, now_s)
            if entry.is_draining and not worker.entry.is_draining:
                self._log_worker(worker, "worker_draining")
            worker.update_entry(entry)
            if not worker.is_listed:
                self._log_worker(worker, "worker_back")
            worker.is_listed = True
        for worker in list(state.workers_by_id.values()):
            if worker.id in listed:
                continue
            if worker.is_listed:
                self._log_worker(worker, "worker_unlisted")
            worker.is_listed = False
            if worker.is_unreachable and not worker.runs_by_key:
                del state.workers_by_id[worker.id]
        state.needs_pass = True

    def handle_restart(self, worker: Worker, born_ms: int, now_s: float) -> None:
        """Take note that a worker's process began anew: what it had listed runs no more.

        An order that was sent since the last report may have reached the new process.
        """
        self._log_worker(worker, "worker_reborn")
        worker.born_ms = born_ms
        worker.clock_ms = None
        worker.lease_until_ms = 0
        worker.handled_completion_number = worker.acknowledged_completion_number = 0
        worker.pending_ends.clear()
        worker.failures_in_row = 0
        worker.avoided_until_s = 0.0
        for run in list(worker.runs_by_key.values()):
            if run.is_listed:
                self._release(run, now_s, "worker_reborn")
            else:
                self._doubt(run, now_s)
        self._prove(worker)

    def apply_report(self, worker: Worker, report: PollReport, sent_s: float, now_s: float) -> None:
        """Take a report.

        Parameters
        ----------
        worker : Worker
            Who reports.
        report : HoldReport
            What it lists.
        sent_s : float
            When the call was sent: what was settled before is in the report.
        now_s : float
            The present time.
        """
        if report.born_ms and report.born_ms != worker.born_ms:
            if report.born_ms < worker.born_ms:
                return
            self.handle_restart(worker, report.born_ms, now_s)
        if worker.clock_ms is None:
            # An earlier owner may have granted the longest lease just before.
            limit_ms = round(self._state.settings.lease_limit_s * 1000)
            worker.lease_until_ms = max(worker.lease_until_ms, report.clock_ms + limit_ms)
        worker.clock_ms = report.clock_ms
        worker.clock_at_s = now_s
        if worker.is_unreachable:
            self._log_worker(worker, "worker_answers")
            self._state.needs_pass = True
        worker.is_unreachable = False
        worker.answered_s = now_s
        for end in report.ends:
            self._ends.apply_completion(worker, end, now_s)
        self._note_running(worker, report, sent_s, now_s)
        self._prove(worker)
        worker.acknowledge_stored_completions()

    def _note_running(
        self, worker: Worker, report: PollReport, sent_s: float, now_s: float
    ) -> None:
        listed = set()
        for row in report.running:
            key = (row.task, row.attempt)
            listed.add(key)
            run = worker.runs_by_key.get(key)
            if run is None:
                self._adopt(worker, row, now_s)
            else:
                self._update(run, row, now_s)
        if len(report.ends) >= MAX_ENDS_LISTED:
            return
        for run in list(worker.runs_by_key.values()):
            if run.key not in listed:
                self._missing(run, sent_s, now_s)

    def _update(self, run: Run, row: RunReport, now_s: float) -> None:
        run.is_listed = True
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_s = now_s
        run.load = row.load
        if run.state in (RunState.UNCONFIRMED, RunState.STARTING):
            run.state = RunState.RUNNING
            run.resolved_s = now_s
        if row.saved:
            found = self._state.find_task(row.task)
            if found is not None:
                found[1].saved = row.saved

    def _missing(self, run: Run, sent_s: float, now_s: float) -> None:
        """Handle a run that the worker does not list, and has not listed the end of."""
        if run.resolved_s is None:
            if run.state is RunState.UNCONFIRMED and run.sent_s < sent_s:
                self._state.order_stop(run, now_s, "start_not_answered")
            return
        if run.resolved_s >= sent_s:
            return
        if run.state is RunState.STOPPING:
            self._state.remove_run(run, now_s)
        elif run.state is RunState.RUNNING:
            self._state.order_stop(run, now_s, "not_listed")

    def _adopt(self, worker: Worker, row: RunReport, now_s: float) -> None:
        state = self._state
        found = state.find_task(row.task)
        spec = None
        if found is not None:
            job, task = found
            step = job.steps_by_key[row.task.step_key]
            spec = step.spec
        run = Run(row.task, row.attempt, worker, spec, now_s, RunState.RUNNING)
        run.resolved_s = now_s
        run.is_listed = True
        run.percent, run.load = row.percent, row.load
        if found is None:
            worker.add(run)
            state.order_stop(run, now_s, "job_not_known")
            return
        state.add_run(task, run)
        if step.add_host(worker.id, row.task):
            state.mark_dirty(job)
        if row.saved:
            task.saved = row.saved
        reason = self._why_unwanted(step, task, run)
        state.log_decision(
            "run_adopted",
            job=job.spec.job_id,
            task=row.task,
            attempt=row.attempt,
            worker=worker.id,
            unwanted=reason,
        )
        if reason:
            state.order_stop(run, now_s, reason)

    def _why_unwanted(self, step: Step, task: Task, run: Run) -> str:
        if step.job.state.is_final:
            return "job_ended"
        if task.is_done:
            return "already_done"
        if not step.is_open:
            return "step_not_open"
        if len(task.runs) > 1 and not step.spec.may_copy:
            return "runs_elsewhere"
        return ""

    def mark_unreachable(self, worker: Worker, now_s: float) -> None:
        """Take note that a worker did not answer."""
        if not worker.is_unreachable:
            self._log_worker(worker, "worker_silent", age_s=now_s - worker.answered_s)
            worker.is_unreachable = True
            for task_id, _ in worker.runs_by_key:
                self._state.reopen(task_id.step_key)

    def release_expired_runs(self, worker: Worker, now_s: float) -> None:
        """Free what ran on a silent worker once its lease is certainly over."""
        settings = self._state.settings
        margin_ms = settings.lease_margin_s * 1000
        if not worker.is_unreachable or not worker.runs_by_key:
            return
        if not worker.is_confirmed and now_s < worker.unconfirmed_until_s:
            return
        if worker.is_lease_expired(now_s, settings.max_clock_drift, margin_ms):
            self._release_all(worker, now_s, "lease_over")

    def _release_all(self, worker: Worker, now_s: float, reason: str) -> None:
        for run in list(worker.runs_by_key.values()):
            self._release(run, now_s, reason)

    def _release(self, run: Run, now_s: float, reason: str) -> None:
        self._state.log_decision(
            "run_lost",
            job=run.task_id.job_id,
            task=run.task_id,
            attempt=run.attempt,
            worker=run.worker.id,
            reason=reason,
        )
        self._state.remove_run(run, now_s)

    def _doubt(self, run: Run, now_s: float) -> None:
        run.resolved_s = None
        if run.state is RunState.RUNNING:
            run.state = RunState.UNCONFIRMED
            run.sent_s = now_s

    def _prove(self, worker: Worker) -> None:
        if worker.is_confirmed:
            return
        worker.is_confirmed = True
        self._state.unconfirmed_hosts.pop(worker.id, None)
        self._state.needs_pass = True

    def _log_worker(self, worker: Worker, event: str, **fields: object) -> None:
        entry = worker.entry
        self._state.log_decision(
            event,
            worker=worker.id,
            address=entry.address,
            kind=entry.kind,
            born=worker.born_ms,
            runs=len(worker.runs_by_key),
            **fields,
        )
