"""Plans the starts of tasks in passes over the open steps, most urgent first."""

from redwingplank.batch.candidates import Candidates
from redwingplank.batch.entities import Run, RunState, Step, Task, Worker
from redwingplank.batch.model import JobState, QueuePolicy
from redwingplank.batch.placement import EligibleWorkers, Placement
from redwingplank.batch.ranking import Rank, chain_s, rank_step
from redwingplank.batch.state import OwnerState
from redwingplank.batch.tickets import Tickets

__all__ = ["Starter"]


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
    """

    def __init__(self, state: OwnerState, placement: Placement, tickets: Tickets) -> None:
        self._state = state
        self._placement = placement
        self._tickets = tickets

    def plan_starts(self, now_s: float) -> None:
        """Plan a run for each task that can start now, in one pass over the open steps."""
        eligible_by_service: dict[str, EligibleWorkers] = {}
        ranked = self._rank_open_steps(now_s)
        for step in self._state.organisations.take_turns(ranked):
            queue = self._state.queue_of(step.job)
            if queue is None:
                continue
            service = queue.service
            if service not in eligible_by_service:
                eligible_by_service[service] = self._placement.find_eligible_workers(service, now_s)
            try:
                self._plan_step_or_ask_advice(step, queue, eligible_by_service[service], now_s)
            except Exception as error:
                # The steps of other jobs are planned; this one is tried again in the next pass.
                self._state.log_decision(
                    "step_failed", job=step.key.job_id, step=step.key.step, error=repr(error)
                )

    def _rank_open_steps(self, now_s: float) -> list[tuple[Rank, Step]]:
        ranked = []
        speeds = self._state.speeds
        organisations = self._state.organisations
        organisations.begin_pass(self._state.open_steps.values())
        for step in list(self._state.open_steps.values()):
            if organisations.is_waiting(step):
                continue
            if not step.find_startable_tasks(now_s):
                if all(task.is_done or task.runs for task in step.tasks):
                    # The step is reopened when a run is removed or its worker becomes unreachable.
                    del self._state.open_steps[step.key]
                continue
            spec = step.job.spec
            remaining_s = chain_s(spec, speeds, spec.queue)[step.key.step]
            rank = rank_step(step, remaining_s, now_s)
            ranked.append((organisations.order(step.job, rank), step))
        ranked.sort(key=lambda pair: (pair[0], pair[1].key))
        return ranked

    def _confirmed_startable(self, step: Step, now_s: float) -> list[Task]:
        """Return the startable tasks that certainly do not run for an earlier owner.

        A task is left out if a worker that this owner has not confirmed yet may run it, unless the
        step allows copies and the task is not suspected of having crashed that worker.
        """
        startable = step.find_startable_tasks(now_s)
        unconfirmed = self._state.unconfirmed_hosts
        if not unconfirmed:
            return startable
        unconfirmed_tasks = 0
        for host, hosted in step.hosts.items():
            if host.worker_id in unconfirmed:
                unconfirmed_tasks |= hosted
        return [
            task
            for task in startable
            if (step.spec.may_copy and not task.is_suspect)
            or not unconfirmed_tasks >> task.id.position & 1
        ]

    def _plan_step_or_ask_advice(
        self, step: Step, queue: QueuePolicy, eligible: EligibleWorkers, now_s: float
    ) -> None:
        may_fit = eligible.most_free.holds(step.spec.reserved)
        is_complete = may_fit and self._plan_step(step, queue, eligible.workers, now_s)
        if not is_complete and (not may_fit or queue.advice is None or step.tickets_by_worker):
            self._state.organisations.is_capacity_short = True
        if not is_complete and queue.advice is not None:
            self._tickets.request_tickets(
                step, eligible.workers, queue.advice, now_s, may_fit=may_fit
            )

    def _plan_step(
        self, step: Step, queue: QueuePolicy, eligible: list[Worker], now_s: float
    ) -> bool:
        """Plan the runs of one step; return False if a startable task found no worker."""
        workers = eligible
        if queue.advice is not None:
            workers = self._tickets.select_workers_with_ticket(step, eligible, now_s)
        if step.spec.is_gang:
            return self._plan_gang(step, workers, now_s)
        return self._plan_tasks(step, workers, now_s)

    def _plan_tasks(self, step: Step, workers: list[Worker], now_s: float) -> bool:
        startable = self._confirmed_startable(step, now_s)
        if not startable or not self._state.organisations.may_start(step):
            return True
        candidates = Candidates(self._placement, workers, step, now_s)
        for task in startable:
            worker = candidates.pop_best(task)
            if worker is None and candidates.are_left:
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

    def _plan_gang(self, step: Step, workers: list[Worker], now_s: float) -> bool:
        if len(self._confirmed_startable(step, now_s)) < step.spec.count:
            return True
        if not self._state.organisations.may_start(step, step.spec.count):
            return True
        chosen = self._placement.choose_gang(workers, step, now_s)
        if chosen is None:
            return False
        attempt = max(self._state.next_attempt(task) for task in step.tasks)
        for task, worker in zip(step.tasks, chosen, strict=True):
            self._plan_run(step, task, worker, attempt, now_s)
        return True

    def _plan_run(self, step: Step, task: Task, worker: Worker, attempt: int, now_s: float) -> None:
        state = self._state
        run = Run(task.id, attempt, worker, step.spec, now_s, RunState.PLANNED)
        worker.record_start(task, now_s)
        state.add_run(task, run)
        job = step.job
        if step.add_host(worker.incarnation, task.id) or not job.is_started:
            job.is_started = True
            if not job.state.is_final:
                job.state = JobState.RUNNING
            state.mark_dirty(job)
        run.version = job.version
        state.log_decision(
            "start_planned",
            job=job.spec.job_id,
            task=task.id,
            attempt=attempt,
            worker=worker.id,
            free_millicores=worker.free.cpu_millicores,
            waited_s=now_s - step.opened_s,
        )
        if job.stored_version >= run.version:
            state.commands.starts.append(run)
