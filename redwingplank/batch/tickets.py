"""Manages the tickets of the advice service that starts in advised queues need."""

from redwingplank.batch.commands import AskAdvice
from redwingplank.batch.entities import Step, Ticket
from redwingplank.batch.model import AdvicePolicy
from redwingplank.batch.placement import EligibleWorkers, Placement
from redwingplank.batch.state import OwnerState
from redwingplank.batch.worker import Worker

__all__ = ["Tickets"]

MAX_NAMED = 30
"""Largest number of workers that one call names."""
MAX_OPEN_CALLS = 40
"""Largest number of concurrent calls to the advice service."""


class Tickets:
    """Requests tickets and determines the workers for which a step has one.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    placement : Placement
        Determines the workers that could run a step.
    """

    def __init__(self, state: OwnerState, placement: Placement) -> None:
        self._state = state
        self._placement = placement
        self._open_calls = 0

    def select_workers_with_ticket(
        self, step: Step, workers: list[Worker], now_s: float
    ) -> list[Worker]:
        """Return those of the given workers for which the step has a valid ticket."""
        limit_s = now_s + self._state.settings.ticket_margin_s
        tickets = step.tickets_by_worker
        if not tickets:
            return []
        return [
            worker
            for worker in workers
            if worker.id in tickets and tickets[worker.id].valid_until_s > limit_s
        ]

    def may_request(
        self, step: Step, eligible: EligibleWorkers, now_s: float, *, may_fit: bool
    ) -> bool:
        """Return whether a call for a step with tasks to start may be made and be of use.

        Parameters
        ----------
        step : Step
            Step with tasks to start.
        eligible : EligibleWorkers
            Workers that are eligible for tasks of the queue.
        now_s : float
            Current time in seconds.
        may_fit : bool
            Whether any of the workers may have enough free capacity.
        """
        if step.is_advice_open or self._open_calls >= MAX_OPEN_CALLS:
            return False
        if not step.tickets_by_worker:
            return True
        return may_fit and self._has_use_for_tickets(step, eligible, now_s)

    def request_tickets(
        self,
        step: Step,
        eligible: EligibleWorkers,
        policy: AdvicePolicy,
        now_s: float,
        *,
        may_fit: bool,
    ) -> None:
        """Request tickets, unless a call for the step is open or no new ticket could be used.

        Parameters
        ----------
        step : Step
            Step with tasks to start.
        eligible : EligibleWorkers
            Workers that are eligible for tasks of the queue.
        policy : AdvicePolicy
            Advice policy of the queue.
        now_s : float
            Current time in seconds.
        may_fit : bool
            Whether any of the workers may have enough free capacity.
        """
        if not self.may_request(step, eligible, now_s, may_fit=may_fit):
            return
        named = self._placement.select_for_advice(eligible, step, MAX_NAMED, now_s)
        if not named:
            return
        step.is_advice_open = True
        step.advice_sent_s = now_s
        self._open_calls += 1
        work_s = policy.decision_s + policy.per_worker_s * len(named)
        self._state.commands.advice.append(AskAdvice(step, named, work_s, policy.valid_s))

    def _has_use_for_tickets(self, step: Step, eligible: EligibleWorkers, now_s: float) -> bool:
        return any(
            self._placement.fits(worker, step, now_s)
            for worker in eligible.select_with_free_cpu(step.spec.reserved)
            if worker.id not in step.refused_workers
        )

    def apply_advice(
        self, call: AskAdvice, tickets_by_worker: dict[str, str] | None, now_s: float
    ) -> None:
        """Apply an answer of the advice service, None if the call got no answer."""
        step = call.step
        step.is_advice_open = False
        self._open_calls -= 1
        self._state.needs_pass = True
        if tickets_by_worker is None:
            return
        valid_until_s = now_s + call.valid_s
        for worker_id in call.workers:
            if worker_id in tickets_by_worker:
                step.tickets_by_worker[worker_id] = Ticket(
                    tickets_by_worker[worker_id], valid_until_s
                )
            else:
                step.refused_workers.add(worker_id)
        self._state.log_decision(
            "advice",
            job=step.key.job_id,
            step=step.key.step,
            named=len(call.workers),
            allowed=len(tickets_by_worker),
            took_s=now_s - step.advice_sent_s,
        )
