"""Plans the starts of tasks in passes over the open steps, most urgent first."""

from dataclasses import dataclass
from typing import Any

from redwingplank.batch.candidates import Candidates
from redwingplank.batch.entities import Job, Step, Task
from redwingplank.batch.model import JobState, QueuePolicy, StepKey
from redwingplank.batch.overload import Overload
from redwingplank.batch.placement import EligibleWorkers, Placement
from redwingplank.batch.ranking import Rank
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.state import OwnerState
from redwingplank.batch.tickets import Tickets
from redwingplank.batch.worker import Worker

__all__ = ["Starter"]


@dataclass(frozen=True, slots=True)
class _OpenStep:
    """A step with tasks to start in the present pass.

    `may_fit` is whether any worker may have room for one of its tasks.
    """

    rank: Rank
    key: StepKey
    step: Step
    queue: QueuePolicy
    eligible: EligibleWorkers
    may_fit: bool


def _sort_key(open_step: _OpenStep) -> tuple[Rank, StepKey]:
    return open_step.rank, open_step.key


class Starter:
    """Plans the runs of tasks.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    placement : Placement
        Chooses workers for tasks.
    tickets : Tickets
        Determines the workers for which a step has tickets.
    overload : Overload
        Determines the order of the steps.
    """

    def __init__(
        self, state: OwnerState, placement: Placement, tickets: Tickets, overload: Overload
    ) -> None:
        self._overload = overload
        self._state = state
        self._placement = placement
        self._tickets = tickets

    def plan_starts(self, now_s: float) -> None:
        """Plan a run for each task that can start now, in one pass over the open steps."""
        self._placement.scores.begin_pass()
        self._overload.begin_pass()
        ranked = self._rank_open_steps(now_s)
        for open_step in self._state.organisations.take_turns(ranked):
            try:
                self._plan_step_or_ask_advice(open_step, now_s)
            except Exception as error:
                self._log_failed_step(open_step.step, error)

    def _rank_open_steps(self, now_s: float) -> list[_OpenStep]:
        """Return the steps with tasks to start, most urgent first.

        Steps for which a pass can do nothing, whichever others it plans before, are left out before
        their tasks are examined.
        """
        ranked = []
        eligible_by_service: dict[str, EligibleWorkers] = {}
        self._state.organisations.begin_pass(self._state.open_steps.values())
        for step in list(self._state.open_steps.values()):
            try:
                open_step = self._examine_step(step, eligible_by_service, now_s)
            except Exception as error:
                self._log_failed_step(step, error)
                continue
            if open_step is not None:
                ranked.append(open_step)
        ranked.sort(key=_sort_key)
        return ranked

    def _examine_step(
        self, step: Step, eligible_by_service: dict[str, EligibleWorkers], now_s: float
    ) -> _OpenStep | None:
        """Return a step with its rank, None if the pass can do nothing for it.

        The eligible workers of a service are added to `eligible_by_service` when first needed.
        """
        queue = self._state.queue_of(step.job)
        if queue is None or step.job.is_held or self._state.organisations.is_waiting(step):
            return None
        eligible = eligible_by_service.get(queue.service)
        if eligible is None:
            eligible = self._placement.find_eligible_workers(queue.service, now_s)
            eligible_by_service[queue.service] = eligible
        may_fit = eligible.most_free.holds(step.spec.reserved)
        if not self._can_progress(step, queue, eligible, now_s, may_fit=may_fit):
            self._note_capacity(step, queue, now_s, may_fit=may_fit)
            return None
        if step.has_startable_task(now_s):
            rank = self._rank(step, now_s)
            return _OpenStep(rank, step.key, step, queue, eligible, may_fit)
        if step.is_under_way:
            # The step is reopened when a run is removed or its worker becomes unreachable.
            del self._state.open_steps[step.key]
        return None

    def _log_failed_step(self, step: Step, error: Exception) -> None:
        """Log an error of one step: those of other jobs are planned, this one in the next pass."""
        self._state.needs_pass = True
        self._state.log_decision(
            "step_failed", job=step.key.job_id, step=step.key.step, error=repr(error)
        )

    def _can_progress(
        self,
        step: Step,
        queue: QueuePolicy,
        eligible: EligibleWorkers,
        now_s: float,
        *,
        may_fit: bool,
    ) -> bool:
        """Return whether a task of a step may fit on a worker, or tickets may be requested."""
        is_advised = queue.advice is not None
        if is_advised and self._tickets.may_request(step, eligible, now_s, may_fit=may_fit):
            return True
        if not may_fit:
            return False
        workers = eligible.select_with_free_cpu(step.spec.reserved)
        if is_advised:
            workers = self._tickets.select_workers_with_ticket(step, workers, now_s)
        reserved = step.spec.reserved
        return any(worker.free.holds(reserved) for worker in workers)

    def _rank(self, step: Step, now_s: float) -> Rank:
        rank = self._overload.rank(step, now_s)
        return self._state.organisations.order(step.job, rank)

    def _find_awaited(self, step: Step) -> int:
        """Return the bit set of the tasks that an unconfirmed worker may run."""
        unconfirmed = self._state.unconfirmed_hosts
        awaited = 0
        if not unconfirmed:
            return awaited
        for host, hosted in step.hosts.items():
            if host.worker_id in unconfirmed:
                awaited |= hosted
        return awaited & ~step.tasks.done_bits()

    def _note_capacity(
        self, step: Step, queue: QueuePolicy, now_s: float, *, may_fit: bool
    ) -> None:
        """Record that capacity is short if an organisation's tasks wait for more than a ticket."""
        organisations = self._state.organisations
        if organisations.is_capacity_short or not step.job.spec.organisation:
            return
        if may_fit and queue.advice is not None and not step.tickets_by_worker:
            return
        organisations.is_capacity_short = step.has_startable_task(now_s)

    def _plan_step_or_ask_advice(self, open_step: _OpenStep, now_s: float) -> None:
        step, advice = open_step.step, open_step.queue.advice
        is_complete = open_step.may_fit and self._plan_step(open_step, now_s)
        if not is_complete:
            self._note_capacity(step, open_step.queue, now_s, may_fit=open_step.may_fit)
        if not is_complete and advice is not None:
            self._tickets.request_tickets(
                step, open_step.eligible, advice, now_s, may_fit=open_step.may_fit
            )

    def _plan_step(self, open_step: _OpenStep, now_s: float) -> bool:
        """Plan the runs of one step; return False if a startable task found no worker."""
        step = open_step.step
        awaited = self._find_awaited(step)
        if awaited:
            # Once no worker has room, the step may request tickets although its tasks wait.
            self._state.needs_pass = True
        workers = open_step.eligible.select_with_free_cpu(step.spec.reserved)
        if open_step.queue.advice is not None:
            workers = self._tickets.select_workers_with_ticket(step, workers, now_s)
        if step.spec.is_gang:
            return self._plan_gang(step, awaited, workers, now_s)
        return self._plan_tasks(step, awaited, workers, now_s)

    def _plan_tasks(self, step: Step, awaited: int, workers: list[Worker], now_s: float) -> bool:
        if not step.count_startable_tasks(now_s, awaited):
            return True
        if not self._state.organisations.may_start(step):
            return True
        candidates = Candidates(self._placement, workers, step, now_s)
        for task in step.find_startable_tasks(now_s, awaited):
            worker = candidates.pop_best(task)
            if worker is None and candidates.are_left:
                # The task waits for a worker without other starts, at most for a fixed time.
                self._state.needs_pass = True
                continue
            if worker is None:
                return False
            if not self._state.organisations.may_start(step):
                return True
            self._plan_run(step, task, worker, self._state.next_attempt(task), now_s)
            if self._state.organisations.reaches_share(step):
                return True
            candidates.reinsert(worker)
        return True

    def _plan_gang(self, step: Step, awaited: int, workers: list[Worker], now_s: float) -> bool:
        if step.count_startable_tasks(now_s, awaited) < step.spec.count:
            self._state.needs_pass = True
            return True
        if not self._state.organisations.may_start(step, step.spec.count):
            return True
        chosen = self._placement.choose_gang(workers, step, now_s)
        if chosen is None:
            return False
        attempt = max(self._state.next_attempt(task) for task in step.tasks)
        saved = next((task.saved for task in step.tasks.used() if task.saved), "")
        for task, worker in zip(step.tasks, chosen, strict=True):
            # The checkpoint of any member is valid for all, and all have to carry the same one.
            task.saved = saved
            self._plan_run(step, task, worker, attempt, now_s)
        return True

    def _plan_run(self, step: Step, task: Task, worker: Worker, attempt: int, now_s: float) -> None:
        state = self._state
        run = Run(task.id, attempt, worker, step.spec, now_s, RunState.PLANNED)
        state.record_start(worker, task, now_s)
        state.add_run(task, run)
        self._placement.scores.forget_worker(worker)
        job = step.job
        is_changed = step.add_host(worker.incarnation, task.id)
        is_changed |= step.add_unanswered(worker.incarnation, task.id)
        if is_changed or not job.is_started:
            job.is_started = True
            if not job.state.is_final:
                job.state = JobState.RUNNING
            state.mark_dirty(job)
        run.version = job.version
        self._log_planned_run(run, job, now_s - step.opened_s)
        if job.stored_version >= run.version:
            state.queue_start(run)

    def _log_planned_run(self, run: Run, job: Job, waited_s: float) -> None:
        worker = run.worker
        fields: dict[str, Any] = {
            "job": job.spec.job_id,
            "task": run.task_id,
            "attempt": run.attempt,
            "worker": worker.id,
        }
        if not job.has_planned_start:
            job.has_planned_start = True
            self._state.log_decision("job_started", **fields)
        self._state.log_decision(
            "start_planned",
            **fields,
            free_millicores=worker.free.cpu_millicores,
            waited_s=waited_s,
        )
