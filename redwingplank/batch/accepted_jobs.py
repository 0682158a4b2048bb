"""Adds accepted jobs to an owner's state: newly submitted ones, and those of earlier owners."""

from redwingplank.batch.completions import Completions
from redwingplank.batch.crashes import Crashes
from redwingplank.batch.entities import InheritedStarts, Job, Step
from redwingplank.batch.model import Incarnation, JobSpec, JobState
from redwingplank.batch.occurrences import add_due_steps
from redwingplank.batch.overload import Overload
from redwingplank.batch.ranking import set_objective
from redwingplank.batch.records import restore_occurrences, restore_progress
from redwingplank.batch.state import OwnerState

__all__ = ["AcceptedJobs"]


class AcceptedJobs:
    """Adds accepted jobs to the state of an owner, and opens their steps.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    completions : Completions
        Opens steps, and fails jobs whose attempts are used up.
    crashes : Crashes
        Remembers the tasks that hosts of earlier owners may run.
    overload : Overload
        Records the work that jobs bring.
    """

    def __init__(
        self, state: OwnerState, completions: Completions, crashes: Crashes, overload: Overload
    ) -> None:
        self._state = state
        self._completions = completions
        self._crashes = crashes
        self._overload = overload

    def restore(
        self, spec: JobSpec, progress: bytes | None, now_s: float, now_unix_s: float
    ) -> None:
        """Restore a job that was accepted before this epoch.

        Raises
        ------
        UndecodableError, ValueError
            If the progress cannot be read; the job is unknown then, and nothing of it starts.
        """
        job = self._make_job(spec, now_s, now_unix_s)
        if progress is not None:
            self._restore_progress(job, progress)
        add_due_steps(job, now_unix_s, self._state.count_steps())
        if job.state.is_final:
            job.ended_s = now_s
            if not job.hosts:
                job.steps_by_key.clear()
                return
        for step in job.steps_by_key.values():
            for host in step.hosts:
                self._restore_host(step, host, now_s)
        self._completions.fail_if_attempts_used_up(job, now_s)
        if not job.state.is_final:
            self._log_restored(job, has_record=progress is not None)
            self._open_ready_steps(job, now_s)

    def _restore_host(self, step: Step, host: Incarnation, now_s: float) -> None:
        """Let the tasks that a host may run for earlier owners wait for it."""
        state, worker_id = self._state, host.worker_id
        until_s = state.inherited_leases_end_s(now_s)
        if host in step.restarted_hosts:
            state.restarted_hosts.add(host)
            until_s = now_s + state.settings.restarted_wait_s
        state.unconfirmed_hosts[worker_id] = max(
            until_s, state.unconfirmed_hosts.get(worker_id, until_s)
        )
        charged_until_s = until_s
        if host in step.unanswered:
            charged_until_s = max(until_s, self._inherit_starts(InheritedStarts(step, host), now_s))
        task_count = step.hosts[host].bit_count()
        state.inherited_tasks_by_host[worker_id] += task_count
        state.organisations.charge_host(worker_id, step, task_count, charged_until_s)
        task_ids = [task.id for task in step.hosted_tasks(host)]
        self._crashes.remember_inherited_tasks(host, task_ids)

    def _inherit_starts(self, starts: InheritedStarts, now_s: float) -> float:
        """Remember unanswered starts; return the time after which nothing of them runs."""
        state = self._state
        state.inherited_starts_by_host.setdefault(starts.host.worker_id, []).append(starts)
        sent_s = now_s + state.settings.command_silence_s
        state.latest_inherited_start_s = max(state.latest_inherited_start_s, sent_s)
        return sent_s + state.settings.restarted_wait_s

    def _restore_progress(self, job: Job, progress: bytes) -> None:
        try:
            restore_occurrences(job, progress)
            restore_progress(job, progress)
        except Exception:
            # Without its progress the job would run from the beginning.
            del self._state.jobs_by_id[job.spec.job_id]
            self._state.organisations.remove_job(job)
            raise

    def _log_restored(self, job: Job, *, has_record: bool) -> None:
        self._state.log_decision(
            "job_restored",
            job=job.spec.job_id,
            state=job.state,
            has_record=has_record,
            done=sum(step.spec.count - step.undone_count for step in job.steps_by_key.values()),
            hosts=len(set(job.hosts)),
        )

    def _open_ready_steps(self, job: Job, now_s: float) -> None:
        for step in job.steps_by_key.values():
            if step.undone_count:
                self._completions.open_step_if_ready(job, step, now_s)
        is_done = all(step.undone_count == 0 for step in job.steps_by_key.values())
        if is_done and job.due_count == job.occurrence_count:
            self._state.finish_job(job, JobState.COMPLETED, now_s, "all_done")

    def add(self, spec: JobSpec, now_s: float, now_unix_s: float) -> None:
        """Add a newly submitted job that is already stored; a known job is ignored."""
        if spec.job_id in self._state.jobs_by_id:
            return
        job = self._make_job(spec, now_s, now_unix_s)
        self._open_due_steps(job, now_s, now_unix_s)
        self._state.log_decision(
            "job_taken",
            job=spec.job_id,
            queue=spec.queue,
            steps=len(spec.steps),
            tasks=sum(step.count for step in spec.steps),
            age_s=now_s - job.submitted_s,
        )
        if self._state.queue_of(job) is None:
            self._state.log_decision("queue_not_configured", job=spec.job_id, queue=spec.queue)

    def _make_job(self, spec: JobSpec, now_s: float, now_unix_s: float) -> Job:
        age_s = max(0.0, now_unix_s - spec.submitted_unix_s) if spec.submitted_unix_s else 0.0
        job = Job(spec, now_s - age_s)
        set_objective(job, self._state.queue_of(job), self._state.speeds)
        self._overload.record_job(job)
        self._state.jobs_by_id[spec.job_id] = job
        self._state.organisations.add_job(job)
        return job

    def open_due_occurrences(self, now_s: float, now_unix_s: float) -> None:
        """Open the occurrences of all jobs that are due, as far as there is room for them."""
        for job in list(self._state.jobs_by_id.values()):
            if job.due_count < job.occurrence_count and not job.state.is_final:
                self._open_due_steps(job, now_s, now_unix_s)

    def _open_due_steps(self, job: Job, now_s: float, now_unix_s: float) -> None:
        """Add the steps of occurrences that are due, and open those that are ready."""
        for step in add_due_steps(job, now_unix_s, self._state.count_steps()):
            self._completions.open_step_if_ready(job, step, now_s)
