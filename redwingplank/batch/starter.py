"""One pass over the steps with tasks to start, most urgent first."""

from redwingplank.batch.candidates import Candidates
from redwingplank.batch.entities import Run, RunState, Step, Task, Worker
from redwingplank.batch.model import JobState, QueuePolicy
from redwingplank.batch.placement import Placement, Usable
from redwingplank.batch.ranking import Rank, chain_s, rank_step
from redwingplank.batch.state import OwnerState
from redwingplank.batch.tickets import Tickets

__all__ = ["Starter"]


class Starter:
    """Plans runs.

    Parameters
    ----------
    state : OwnerState
        The tables.
    placement : Placement
        Chooses workers.
    tickets : Tickets
        Tells which workers a step may use.
    """

    def __init__(self, state: OwnerState, placement: Placement, tickets: Tickets) -> None:
        self._state = state
        self._placement = placement
        self._tickets = tickets

    def plan_starts(self, now_s: float) -> None:
        """Start what can start."""
        usable_by_service: dict[str, Usable] = {}
        for _, step in self._ranked(now_s):
            queue = self._state.queue_of(step.job)
            if queue is None:
                continue
            if queue.service not in usable_by_service:
                usable_by_service[queue.service] = self._placement.find_eligible_workers(
                    queue.service, now_s
                )
            self._run_step(step, queue, usable_by_service[queue.service], now_s)

    def _ranked(self, now_s: float) -> list[tuple[Rank, Step]]:
        ranked = []
        speeds = self._state.speeds
        for step in list(self._state.open_steps.values()):
            if not step.find_startable_tasks(now_s):
                if all(task.is_done or task.runs for task in step.tasks):
                    # Put back when a run ends, or falls out of sight.
                    del self._state.open_steps[step.key]
                continue
            spec = step.job.spec
            remaining_s = chain_s(spec, speeds, spec.queue)[step.key.step]
            ranked.append((rank_step(step, remaining_s, now_s), step))
        ranked.sort(key=lambda pair: (pair[0], pair[1].key))
        return ranked

    def _startable(self, step: Step, now_s: float) -> list[Task]:
        """Return the waiting tasks that cannot still run, unseen, for an earlier owner."""
        waiting = step.find_startable_tasks(now_s)
        unproven = self._state.unconfirmed_hosts
        if not unproven or step.spec.may_copy:
            return waiting
        bits = 0
        for host, hosted in step.hosts.items():
            if host in unproven:
                bits |= hosted
        return [task for task in waiting if not bits >> task.id.position & 1]

    def _run_step(self, step: Step, queue: QueuePolicy, usable: Usable, now_s: float) -> None:
        has_room = usable.most_free.holds(step.spec.reserved)
        is_complete = has_room and self._start_step(step, queue, usable.workers, now_s)
        if not is_complete and queue.advice is not None:
            self._tickets.request_tickets(
                step, usable.workers, queue.advice, now_s, has_room=has_room
            )

    def _start_step(
        self, step: Step, queue: QueuePolicy, usable: list[Worker], now_s: float
    ) -> bool:
        """Return whether no task is left that only lacks a worker."""
        workers = usable
        if queue.advice is not None:
            workers = self._tickets.allowed(step, usable, now_s)
        if step.spec.is_gang:
            return self._start_gang(step, workers, now_s)
        return self._start_tasks(step, workers, now_s)

    def _start_tasks(self, step: Step, workers: list[Worker], now_s: float) -> bool:
        waiting = self._startable(step, now_s)
        if not waiting:
            return True
        candidates = Candidates(self._placement, workers, step, now_s)
        for task in waiting:
            worker = candidates.pop_best(task)
            if worker is None:
                return False
            self._plan(step, task, worker, self._state.next_attempt(task), now_s)
            candidates.reinsert(worker)
        return True

    def _start_gang(self, step: Step, workers: list[Worker], now_s: float) -> bool:
        if len(self._startable(step, now_s)) < step.spec.count:
            return True
        chosen = self._placement.choose_gang(workers, step, now_s)
        if chosen is None:
            return False
        attempt = max(self._state.next_attempt(task) for task in step.tasks)
        for task, worker in zip(step.tasks, chosen, strict=True):
            self._plan(step, task, worker, attempt, now_s)
        return True

    def _plan(self, step: Step, task: Task, worker: Worker, attempt: int, now_s: float) -> None:
        state = self._state
        run = Run(task.id, attempt, worker, step.spec, now_s, RunState.PLANNED)
        state.add_run(task, run)
        job = step.job
        if step.add_host(worker.id, task.id) or not job.is_started:
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
