"""Finds the tasks that crash the workers that start them, and gives them up.

A worker that crashes takes all its runs with it, and nothing says which of them was the cause.
Those that had started just before are suspected. They start again on workers where nothing else
has just started, so that the next crash has only one suspect.
"""

from redwingplank.batch.entities import Task
from redwingplank.batch.model import Incarnation, JobState, StepKey, TaskId
from redwingplank.batch.runs import PROBATION_S, LostRun, Run, RunState
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import Worker

__all__ = ["Crashes"]

CRASH_LIMIT = 5
"""Number of crashed workers after which a task is given up even if others may be the cause."""
PROVEN_LIMIT = 2
"""Number of them under which the task certainly ran, if it may have ended before some of them."""
GROUP_SIZE = 3
"""This many workers that end at the same time have a cause in common, such as a rack."""
SAME_TIME_S = 0.1
"""Workers that become unreachable within this time of each other ended at the same time."""
UNHEARD_S = 0.1
"""A run that was known to exist within this time before the end of its worker has not ended before:
longer than an owner pauses between two polls."""
PROVEN_S = 10.0
"""A run of a lasting task that is older than this did not crash its worker by starting there."""


class Crashes:
    """Counts crashes of workers against the tasks that ran there.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.

    Notes
    -----
    The counts are stored with the progress of a job, as are the incarnations that may run its
    tasks, so that a new owner also counts crashes that happened around the change of owners.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def count_crash(self, worker: Worker, now_s: float) -> None:
        """Count the unplanned end of a worker's process against the tasks that ran there.

        Call it while the runs of that incarnation are still known. Workers that leave as planned
        do not count.
        """
        if worker.entry.is_draining:
            return
        for lost in self._judge_runs(worker, now_s):
            self._count(lost, worker.id, now_s)

    def remember_lost_runs(self, worker: Worker, runs: list[Run], now_s: float) -> None:
        """Remember runs of an unreachable worker, in case that its process has crashed.

        Call it before these runs are released.
        """
        if worker.entry.is_draining or not runs:
            return
        task_ids = {run.task_id for run in runs}
        judged = self._judge_runs(worker, now_s)
        lost_runs = self._lost_runs_of(worker.incarnation)
        lost_runs.extend(lost for lost in judged if lost.task_id in task_ids)

    def remember_broken_off(self, worker: Worker) -> None:
        """Let a next owner know what had just begun on a worker that broke off a poll.

        Should its process prove to have ended, it crashed under these tasks: the poll would have
        told of an end before.
        """
        if worker.entry.is_draining:
            return
        for run in worker.runs_by_key.values():
            if _is_certain(run) and run.is_lost_at_start:
                self._record_begun(run)

    def _record_begun(self, run: Run) -> None:
        found = self._state.find_task(run.task_id)
        if found is None or found[0].state.is_final:
            return
        job = found[0]
        if job.steps_by_key[run.task_id.step_key].add_begun(run.incarnation, run.task_id):
            self._state.mark_dirty(job)

    def _forget_broken_off(self, worker: Worker) -> None:
        """Forget what had begun on a worker that broke off a poll, as its process goes on."""
        for run in worker.runs_by_key.values():
            found = self._state.find_task(run.task_id)
            if found is None:
                continue
            job = found[0]
            step = job.steps_by_key[run.task_id.step_key]
            if step.begun_by_broken_host.pop(worker.incarnation, 0):
                self._state.mark_dirty(job)

    def remember_inherited_tasks(self, host: Incarnation, task_ids: list[TaskId]) -> None:
        """Remember tasks that a host may have started for an earlier owner."""
        lost_runs = self._lost_runs_of(host)
        for task_id in task_ids:
            had_begun = self._had_begun(host, task_id)
            lost_runs.append(LostRun(task_id, is_certain=had_begun, is_unseen=not had_begun))

    def _had_begun(self, host: Incarnation, task_id: TaskId) -> bool:
        found = self._state.find_task(task_id)
        return found is not None and found[0].steps_by_key[task_id.step_key].had_begun(
            host, task_id
        )

    def _lost_runs_of(self, incarnation: Incarnation) -> list[LostRun]:
        return self._state.lost_runs_by_incarnation.setdefault(incarnation, [])

    def settle(self, worker: Worker, now_s: float) -> None:
        """Settle what became of earlier incarnations with the id or the address of a worker.

        Call it when the present incarnation of the worker is known to run.
        """
        by_incarnation = self._state.lost_runs_by_incarnation
        self._forget_broken_off(worker)
        self._forget_hosts(worker.incarnation, by_incarnation.pop(worker.incarnation, []))
        for earlier in [other for other in by_incarnation if worker.has_replaced(other)]:
            lost_runs = by_incarnation.pop(earlier)
            for lost in self._judge_inherited(lost_runs):
                self._count(lost, earlier.worker_id, now_s)
            self._forget_hosts(earlier, lost_runs)
            self._state.unconfirmed_hosts.pop(earlier.worker_id, None)
            if earlier.worker_id != worker.id:
                self._state.organisations.release_host(earlier.worker_id)

    def _forget_hosts(self, host: Incarnation, lost_runs: list[LostRun]) -> None:
        """Let a next owner know that a host does not run these tasks, except those it listed."""
        for lost in lost_runs:
            found = self._state.find_task(lost.task_id)
            if found is not None:
                self._state.forget_host(*found, host)

    def _judge_runs(self, worker: Worker, now_s: float) -> list[LostRun]:
        """Return the runs of a worker whose process ended, with those that may have caused it.

        No task is the only suspect if several workers ended at once, as those of a rack do.
        """
        ended_s = worker.silent_s if worker.is_unreachable else now_s
        runs = [run for run in worker.runs_by_key.values() if run.state is not RunState.PLANNED]
        suspects = {_subject(run) for run in runs if ended_s - run.begun_s < PROBATION_S}
        is_alone = len(suspects) == 1 and self._count_silent_at(ended_s) < GROUP_SIZE
        lost_runs = []
        for run in runs:
            is_unseen = _is_end_unheard(run, ended_s)
            lost_runs.append(
                LostRun(
                    run.task_id,
                    max(0.0, ended_s - run.begun_s),
                    is_certain=_is_certain(run) and not is_unseen,
                    is_unseen=is_unseen,
                    is_suspect=_subject(run) in suspects,
                    is_alone=is_alone,
                )
            )
        return lost_runs

    def _count_silent_at(self, ended_s: float) -> int:
        return sum(
            abs(worker.silent_s - ended_s) < SAME_TIME_S
            for worker in self._state.workers_by_id.values()
        )

    def _judge_inherited(self, lost_runs: list[LostRun]) -> list[LostRun]:
        """Suspect, among runs of unknown age, those whose tasks were suspected before, or all.

        Those that had just begun come first. None of them is the only suspect: others may have
        begun unseen.
        """
        inherited = [lost for lost in lost_runs if lost.run_s is None]
        begun = [lost for lost in inherited if lost.is_certain]
        suspected = [lost for lost in inherited if self._is_suspected(lost.task_id)]
        suspects = begun or suspected or inherited
        judged = [lost._replace(is_suspect=lost in suspects) for lost in inherited]
        return judged + [lost for lost in lost_runs if lost.run_s is not None]

    def _is_suspected(self, task_id: TaskId) -> bool:
        found = self._state.find_task(task_id)
        return found is not None and found[1].suspicions > 0

    def forget_ended_jobs(self) -> None:
        """Forget the incarnations whose tasks all belong to jobs that are not known any more."""
        by_incarnation = self._state.lost_runs_by_incarnation
        for incarnation, lost_runs in list(by_incarnation.items()):
            if not any(lost.task_id.job_id in self._state.jobs_by_id for lost in lost_runs):
                del by_incarnation[incarnation]

    def _count(self, lost: LostRun, worker_id: str, now_s: float) -> None:
        found = self._state.find_task(lost.task_id)
        if found is None or found[1].is_done or found[0].state.is_final:
            return
        job, task = found
        run_s = lost.run_s or 0.0
        if job.steps_by_key[lost.task_id.step_key].spec.is_lasting and run_s >= PROVEN_S:
            task.crashes = task.proven_crashes = task.unseen_crashes = task.suspicions = 0
        task.crashes += 1
        task.proven_crashes += lost.is_certain
        task.unseen_crashes += lost.is_unseen
        task.suspicions += lost.is_suspect
        self._state.mark_dirty(job)
        self._state.log_decision(
            "task_crash",
            job=lost.task_id.job_id,
            task=lost.task_id,
            worker=worker_id,
            crashes=task.crashes,
            proven=task.proven_crashes,
            unseen=task.unseen_crashes,
            suspicions=task.suspicions,
            ran_s=run_s,
            is_suspect=lost.is_suspect,
            is_alone=lost.is_alone,
        )
        is_only_suspect = lost.is_suspect and lost.is_alone and task.suspicions > 1
        is_cause = is_only_suspect and task.proven_crashes >= PROVEN_LIMIT
        if is_cause or _has_reached_limit(task):
            self._state.finish_job(job, JobState.FAILED, now_s, "crashes_workers")


def _is_certain(run: Run) -> bool:
    """Return whether the worker is known to have begun with a run."""
    return run.is_accepted or run.is_listed


def _is_end_unheard(run: Run, ended_s: float) -> bool:
    """Return whether a run may have ended before its worker's process did, as nobody heard."""
    worker = run.worker
    if worker.is_unreachable and worker.is_broken_off:
        return False
    return ended_s - max(worker.answered_s, run.started_s) >= UNHEARD_S


def _has_reached_limit(task: Task) -> bool:
    """Return whether a task is given up although others may be the cause of the crashes.

    Crashes that nobody saw, before which it may have ended, do not suffice.
    """
    if task.crashes - task.unseen_crashes >= CRASH_LIMIT:
        return True
    return task.crashes >= CRASH_LIMIT and task.proven_crashes >= PROVEN_LIMIT


def _subject(run: Run) -> TaskId | StepKey:
    """Return what is suspected as one: a whole gang, or a task."""
    is_gang = run.spec is not None and run.spec.is_gang
    return run.task_id.step_key if is_gang else run.task_id
