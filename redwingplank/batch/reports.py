"""Updates the owner's state from the list of workers and from the reports of each worker."""

from redwingplank.batch.completions import Completions
from redwingplank.batch.crashes import Crashes
from redwingplank.batch.entities import Step, Task
from redwingplank.batch.late_starts import LateStarts
from redwingplank.batch.model import Amounts, PollReport, RunReport, WorkerEntry
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import Worker

__all__ = ["Reports"]

MAX_LISTED_COMPLETIONS = 500
"""A report that lists this many completions may omit further ones, as stated by the platform."""


class Reports:
    """Handles the list of workers, their reports, and workers that do not answer.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    completions : Completions
        Applies the reported completions.
    crashes : Crashes
        Counts the crashes of workers against their tasks.
    late_starts : LateStarts
        Tells which starts without an answer may still be carried out.
    """

    def __init__(
        self,
        state: OwnerState,
        completions: Completions,
        crashes: Crashes,
        late_starts: LateStarts,
    ) -> None:
        self._state = state
        self._late_starts = late_starts
        self._crashes = crashes
        self._completions = completions

    def list_workers(self, entries: list[WorkerEntry], now_s: float) -> None:
        """Apply the list of workers that the platform publishes."""
        state = self._state
        state.first_listed_s = min(state.first_listed_s, now_s)
        state.last_listed_s = now_s
        listed = set()
        for entry in entries:
            listed.add(entry.worker_id)
            worker = state.workers_by_id.get(entry.worker_id)
            if worker is None:
                if state.has_restarted(entry.worker_id, entry.born_ms):
                    state.extend_wait_for_restarted(entry.worker_id, now_s)
                unconfirmed_until_s = state.unconfirmed_hosts.get(entry.worker_id, now_s)
                worker = state.add_worker(entry, unconfirmed_until_s)
                self._log_worker(worker, "worker_new")
                continue
            is_new = entry.born_ms != worker.entry.born_ms
            if is_new and entry.born_ms > worker.born_ms:
                self.handle_restart(worker, entry.born_ms, now_s, source="list")
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
            is_awaited = worker.id in state.unconfirmed_hosts
            if worker.is_unreachable and not worker.runs_by_key and not is_awaited:
                state.forget_worker(worker)
        state.organisations.set_capacity(
            worker.entry.capacity for worker in state.workers_by_id.values()
        )
        state.needs_pass = True

    def handle_restart(self, worker: Worker, born_ms: int, now_s: float, *, source: str) -> None:
        """Handle the restart of a worker's process, of which a list or a report tells.

        Runs that the old process had listed or answered no longer exist and are released. The start
        commands of others may reach the new process, so these runs have to be confirmed again.
        """
        self._log_worker(
            worker,
            "worker_reborn",
            source=source,
            reborn=born_ms,
            granted_until_ms=worker.granted_until_ms,
            is_silent=worker.is_unreachable,
        )
        self._state.needs_pass = True
        self._crashes.count_crash(worker, now_s)
        self._state.extend_wait_for_restarted(worker.id, now_s)
        self._state.note_restart(worker, born_ms, now_s)
        for run in list(worker.runs_by_key.values()):
            if run.is_listed or run.is_in_known_process:
                self._release_run(run, now_s, "worker_reborn")
            else:
                self._mark_run_unconfirmed(run, now_s)
        if worker.is_confirmed:
            self._crashes.settle(worker, now_s)
        # Otherwise an earlier owner may have started tasks in the new process already.

    def apply_report(self, worker: Worker, report: PollReport, sent_s: float, now_s: float) -> None:
        """Apply the report that a worker returned to a poll.

        Parameters
        ----------
        worker : Worker
            Worker that reported.
        report : PollReport
            Runs and completions that the worker listed.
        sent_s : float
            Time at which the poll was sent. Starts and stops that were confirmed before are
            reflected in the report.
        now_s : float
            Current time in seconds.
        """
        if report.born_ms and report.born_ms != worker.born_ms:
            is_earlier = report.born_ms < worker.born_ms
            if is_earlier and sent_s <= max(worker.answered_s, worker.restarted_s):
                return
            self.handle_restart(worker, report.born_ms, now_s, source="report")
        if sent_s <= worker.restarted_s:
            # The process may still carry out calls to the one before it, which change this answer.
            self._state.commands.polls.append(worker)
            return
        if worker.clock_ms is None:
            self._assume_lease(worker, report, now_s)
        worker.clock_ms = report.clock_ms
        worker.clock_at_s = now_s
        if worker.is_unreachable:
            self._log_worker(worker, "worker_answers")
            self._state.needs_pass = True
        worker.is_unreachable = False
        worker.answered_s = now_s
        handled_before = worker.handled_completion_number
        for completion in report.completions:
            self._completions.apply_completion(worker, completion, now_s)
        self._apply_listed_runs(worker, report, now_s)
        self._state.organisations.release_host(worker.id)
        if len(report.completions) < MAX_LISTED_COMPLETIONS:
            self._apply_whole_report(worker, report, sent_s, now_s)
        elif worker.awaits_whole_report and worker.handled_completion_number > handled_before:
            self._log_worker(worker, "report_cut", completions=len(report.completions))
        worker.acknowledge_stored_completions()

    def _assume_lease(self, worker: Worker, report: PollReport, now_s: float) -> None:
        """Assume the longest lease that a process may have which reports for the first time."""
        state = self._state
        is_restarted = state.may_have_restarted(worker, now_s)
        inherited_ms = state.inherited_lease_ms(is_restarted=is_restarted)
        worker.assumed_until_ms = report.clock_ms + inherited_ms
        state.needs_pass = True
        if is_restarted:
            worker.taken_until_ms = worker.assumed_until_ms
            excess_s = state.settings.unexpected_lease_s
            state.avoid_worker(worker, now_s + excess_s)
        self._log_worker(
            worker,
            "lease_assumed",
            clock_ms=report.clock_ms,
            lease_ms=inherited_ms,
            has_restarted=worker.has_restarted,
            is_restarted=is_restarted,
        )

    def _apply_listed_runs(self, worker: Worker, report: PollReport, now_s: float) -> None:
        for row in report.running:
            run = worker.runs_by_key.get((row.task, row.attempt))
            if run is None:
                self._adopt_run(worker, row, now_s)
            else:
                self._update_run(run, row, now_s)

    def _apply_whole_report(
        self, worker: Worker, report: PollReport, sent_s: float, now_s: float
    ) -> None:
        """Conclude from what a report does not list, which only one with all completions allows."""
        listed = {(row.task, row.attempt) for row in report.running}
        for run in list(worker.runs_by_key.values()):
            if run.key not in listed:
                self._handle_unlisted_run(run, sent_s, now_s)
        if worker.awaits_whole_report:
            worker.awaits_whole_report = False
            self._confirm_worker(worker, now_s)

    def _update_run(self, run: Run, row: RunReport, now_s: float) -> None:
        if not run.is_listed:
            run.is_listed = True
            self._state.note_begun(run)
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_s = now_s
        run.load = row.load
        is_begin = run.state in (RunState.UNCONFIRMED, RunState.STARTING)
        if is_begin:
            run.state = RunState.RUNNING
            run.resolved_s = now_s
        found = self._state.find_task(row.task) if is_begin or row.saved else None
        if found is not None:
            job, task = found
            job.has_begun = True
            task.saved = row.saved or task.saved

    def _handle_unlisted_run(self, run: Run, sent_s: float, now_s: float) -> None:
        """Handle a run that a report lists neither as running nor as completed."""
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

    def _adopt_run(self, worker: Worker, row: RunReport, now_s: float) -> None:
        state = self._state
        found = state.find_task(row.task)
        run = Run(row.task, row.attempt, worker, state.find_spec(row.task), now_s, RunState.RUNNING)
        run.resolved_s = now_s
        run.is_listed = True
        run.percent, run.load = row.percent, row.load
        if found is None:
            if run.spec is None:
                # It takes room until it has ended, and how much is not known.
                run.reserved = Amounts(*(max(0, free) for free in worker.free))
            state.add_run_without_task(run)
            state.order_stop(run, now_s, "job_not_known")
            return
        job, task = found
        job.has_begun = True
        step = job.steps_by_key[row.task.step_key]
        state.add_run(task, run)
        is_changed = step.add_host(worker.incarnation, row.task)
        is_changed |= step.note_answered(worker.incarnation, row.task)
        if worker.taken_until_ms and worker.incarnation not in step.restarted_hosts:
            step.restarted_hosts.add(worker.incarnation)
            is_changed = True
        if is_changed:
            state.mark_dirty(job)
        if row.saved:
            task.saved = row.saved
        reason = self._reason_to_stop(step, task, run)
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

    def _reason_to_stop(self, step: Step, task: Task, run: Run) -> str:
        if step.job.state.is_final:
            return "job_ended"
        if task.is_done:
            return "already_done"
        if not step.is_open:
            return "step_not_open"
        if len(task.runs) > 1 and not step.spec.may_copy:
            return "runs_elsewhere"
        return ""

    def mark_unreachable(
        self, worker: Worker, now_s: float, *, is_broken_off: bool = False
    ) -> None:
        """Mark a worker that did not answer, or broke off a poll, as unreachable."""
        if not worker.is_unreachable:
            self._log_worker(worker, "worker_silent", age_s=now_s - worker.answered_s)
            self._state.log_awaited_host(worker.id, now_s)
            worker.is_unreachable = True
            worker.awaits_whole_report = True
            worker.silent_s = now_s
            worker.is_broken_off = is_broken_off
            if is_broken_off:
                self._crashes.remember_broken_off(worker)
            for task_id, _ in worker.runs_by_key:
                self._state.reopen_step(task_id.step_key)

    def release_expired_runs(self, worker: Worker, now_s: float) -> None:
        """Release the runs on an unreachable worker once its lease has certainly expired.

        Those whose starts may still be carried out by a next process stay for longer.
        """
        settings = self._state.settings
        margin_ms = settings.lease_margin_s * 1000
        if not worker.is_unreachable or not worker.runs_by_key:
            return
        if not worker.is_confirmed and now_s < worker.unconfirmed_until_s:
            return
        if not worker.is_lease_expired(now_s, settings.max_clock_drift, margin_ms):
            return
        runs = list(worker.runs_by_key.values())
        over = [run for run in runs if not self._late_starts.may_begin(run, now_s)]
        self._crashes.remember_lost_runs(worker, over, now_s)
        for run in over:
            self._release_run(run, now_s, "lease_over")

    def _release_all_runs(self, worker: Worker, now_s: float, reason: str) -> None:
        for run in list(worker.runs_by_key.values()):
            self._release_run(run, now_s, reason)

    def _release_run(self, run: Run, now_s: float, reason: str) -> None:
        self._state.log_decision(
            "run_lost",
            job=run.task_id.job_id,
            task=run.task_id,
            attempt=run.attempt,
            worker=run.worker.id,
            reason=reason,
            ran_s=run.worker.silent_s - run.started_s if run.worker.is_unreachable else 0.0,
            **self._describe_lease(run.worker, now_s),
        )
        self._state.remove_run(run, now_s)

    def _describe_lease(self, worker: Worker, now_s: float) -> dict[str, float]:
        """Return the rest of what was granted to a worker, and of what it may have taken."""
        if worker.clock_ms is None:
            return {"waits_left_s": worker.unconfirmed_until_s - now_s}
        return {
            "granted_left_s": worker.lease_left_s(worker.granted_until_ms, now_s),
            "assumed_left_s": worker.lease_left_s(worker.assumed_until_ms, now_s),
        }

    def _mark_run_unconfirmed(self, run: Run, now_s: float) -> None:
        run.resolved_s = None
        run.is_accepted = False
        run.is_in_known_process = False
        self._state.move_run(run)
        if run.state is RunState.RUNNING:
            run.state = RunState.UNCONFIRMED
            run.sent_s = now_s

    def _confirm_worker(self, worker: Worker, now_s: float) -> None:
        """Settle what ran on a worker for earlier owners, and in earlier processes."""
        if not worker.is_confirmed:
            worker.is_confirmed = True
            self._release_replaced_workers(worker, now_s)
        self._crashes.settle(worker, now_s)
        self._state.unconfirmed_hosts.pop(worker.id, None)
        self._state.needs_pass = True

    def _release_replaced_workers(self, worker: Worker, now_s: float) -> None:
        """Release the runs of earlier workers at the address of one that has answered.

        Their processes have ended, so nothing waits for their leases.
        """
        for other in self._state.workers_by_id.values():
            if other is worker or not worker.has_replaced(other.incarnation):
                continue
            self._log_worker(other, "worker_replaced", successor=worker.id)
            self._crashes.count_crash(other, now_s)
            self._release_all_runs(other, now_s, "worker_replaced")
            self.mark_unreachable(other, now_s)

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
