"""Time-driven checks of workers and their runs."""

from redwingplank.batch.entities import HostedTasks
from redwingplank.batch.late_starts import LateStarts
from redwingplank.batch.reports import Reports
from redwingplank.batch.runs import RunState
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import Worker

__all__ = ["Watchdog"]


class Watchdog:
    """Finds expired leases, draining workers, unconfirmed stop commands and stalled runs.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    reports : Reports
        Releases the runs of workers whose leases have expired.
    late_starts : LateStarts
        Tells which workers may still carry out starts of earlier owners.
    """

    def __init__(self, state: OwnerState, reports: Reports, late_starts: LateStarts) -> None:
        self._state = state
        self._reports = reports
        self._late_starts = late_starts
        self._awaited_by_host: dict[str, HostedTasks] = {}
        """Tasks that wait for late starts on an unconfirmed worker, by its id."""

    def check(self, now_s: float) -> None:
        """Check all workers."""
        self._release_expired(now_s)
        self._evacuate_draining_workers(now_s)
        self._repeat_stops(now_s)

    def _release_expired(self, now_s: float) -> None:
        state = self._state
        for worker in list(state.workers_by_id.values()):
            self._reports.release_expired_runs(worker, now_s)
            if worker.taken_until_ms and worker.lease_left_s(worker.taken_until_ms, now_s) < 0:
                state.settle_taken_lease(worker)
        state.organisations.release_expired_hosts(now_s)
        expired_ids = {
            host
            for host, until_s in state.unconfirmed_hosts.items()
            if now_s >= until_s and not self._is_lease_renewed(host, now_s)
        }
        awaited_by_id = {
            host: tasks
            for host in expired_ids
            if (tasks := self._late_starts.find_inherited(host, now_s))
        }
        for host, tasks in awaited_by_id.items():
            self._free_answered_tasks(host, tasks)
        free_ids = expired_ids - awaited_by_id.keys()
        if free_ids:
            self._free_hosts(free_ids)

    def _free_answered_tasks(self, worker_id: str, awaited: HostedTasks) -> None:
        """Let all tasks but the awaited ones no longer wait for a worker."""
        if self._awaited_by_host.get(worker_id) != awaited:
            self._awaited_by_host[worker_id] = awaited
            self._state.forget_free_hosts({worker_id}, awaited)
            self._state.needs_pass = True

    def _free_hosts(self, worker_ids: set[str]) -> None:
        state = self._state
        for worker_id in sorted(worker_ids):
            del state.unconfirmed_hosts[worker_id]
            state.inherited_starts_by_host.pop(worker_id, None)
            self._awaited_by_host.pop(worker_id, None)
            state.organisations.release_host(worker_id)
            tasks = state.inherited_tasks_by_host.pop(worker_id, 0)
            state.log_decision(
                "host_free", worker=worker_id, reason="every_lease_over", tasks=tasks
            )
        state.forget_free_hosts(worker_ids)
        state.needs_pass = True

    def _is_lease_renewed(self, worker_id: str, now_s: float) -> bool:
        """Return whether this owner has granted a lease that may not have expired yet."""
        worker = self._state.workers_by_id.get(worker_id)
        if worker is None or worker.clock_ms is None:
            return False
        settings = self._state.settings
        margin_ms = settings.lease_margin_s * 1000
        return not worker.is_lease_expired(now_s, settings.max_clock_drift, margin_ms)

    def _evacuate_draining_workers(self, now_s: float) -> None:
        """Stop tasks that may not complete before a draining worker leaves.

        These are lasting tasks, and tasks with checkpoints that belong to no gang.
        """
        for worker in self._state.workers_by_id.values():
            if not worker.entry.is_draining or worker.is_unreachable:
                continue
            for run in list(worker.runs_by_key.values()):
                spec = run.spec
                if run.state is not RunState.RUNNING or spec is None:
                    continue
                if spec.is_lasting or (spec.saves and not spec.is_gang):
                    self._state.order_stop(run, now_s, "worker_leaves")

    def _repeat_stops(self, now_s: float) -> None:
        retry_s = self._state.settings.stop_retry_s
        for worker in self._state.workers_by_id.values():
            if worker.is_unreachable:
                continue
            for run in worker.runs_by_key.values():
                is_stopping = run.state is RunState.STOPPING and run.resolved_s is None
                if is_stopping and now_s - (run.stop_sent_s or 0.0) > retry_s:
                    run.stop_sent_s = now_s
                    self._state.commands.stops.append(run)

    def stop_stalled(self, worker: Worker, now_s: float) -> None:
        """Stop the runs that make no progress on a worker that has just reported.

        Workers whose filler tasks are slowed down are skipped, because slow progress is expected
        there.
        """
        settings = self._state.settings
        if worker.filler_percent < 100:
            return
        for run in list(worker.runs_by_key.values()):
            spec = run.spec
            if spec is None or spec.is_lasting or run.state is not RunState.RUNNING:
                continue
            found = self._state.find_task(run.task_id)
            if found is None or spec.is_gang:
                continue
            job, task = found
            expected_s = self._state.speeds.expected_s(spec, job.spec.queue, worker.entry)
            is_overdue = now_s - run.started_s > 2 * expected_s + settings.stall_s
            if is_overdue and now_s - run.progressed_s > settings.stall_s:
                task.bad_workers.add(worker.id)
                self._state.avoid_worker(worker, now_s + settings.avoid_s)
                self._state.order_stop(run, now_s, "no_progress")
