"""Stores submitted jobs from this node, unless they have been cancelled."""

from redwingplank.cell.authentication import read_organisation
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.keys import CANCELS_PREFIX, JOBS_PREFIX
from redwingplank.cell.stored_cancellation import decode_cancellation
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.submission_trace import DecidingCause, SubmissionTrace
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.platform.site.store import (
    Item,
    Put,
    StoreRefusedError,
    TransactionOutcome,
    TransactionResult,
)

__all__ = ["SubmissionStore"]

MAX_CALLS = 3
"""Calls of one attempt, where other organisations cancel a job with the same id meanwhile."""


class SubmissionStore:
    """Creates the keys of submitted jobs.

    A job is stored only if neither its key nor a cancellation of it exists. A cancellation without
    a job therefore keeps every copy of the job's submission from being stored, also those that the
    store carries out later.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    async def store(
        self, job_id: str, submission: bytes, timeout_s: float, trace: SubmissionTrace
    ) -> tuple[SubmitOutcome, str]:
        """Store a job unless it is stored or cancelled; return the result and its reason.

        While the store is known to be unreachable, no call is made.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        submission : bytes
            The job in its stored form.
        timeout_s : float
            Time limit in seconds.
        trace : SubmissionTrace
            Records the course of the last call.
        """
        if self._context.health.is_unreachable:
            trace.decide(DecidingCause.STORE_AWAY)
            return SubmitOutcome.NOT_RUN, "store_away"
        deadline_s = now_s() + timeout_s
        of_others: Item | None = None
        for number in range(MAX_CALLS):
            try:
                result = await self._create(
                    job_id, submission, of_others, deadline_s - now_s(), trace
                )
            except NoAnswerError as error:
                self._context.health.record_failure(error)
                return SubmitOutcome.UNKNOWN, "no_answer"
            except (NotSentError, StoreRefusedError) as error:
                self._context.health.record_failure(error)
                if number > 0:
                    # A copy of an earlier call may still be carried out.
                    return SubmitOutcome.UNKNOWN, "no_answer"
                return SubmitOutcome.NOT_RUN, "refused_by_store"
            self._context.health.record_success()
            if result.outcome is TransactionOutcome.DONE:
                return SubmitOutcome.ACCEPTED, "stored"
            if result.find(JOBS_PREFIX + job_id) is not None:
                return SubmitOutcome.ACCEPTED, "already_stored"
            of_others = result.find(CANCELS_PREFIX + job_id)
            if of_others is not None and _is_cancelled(submission, of_others):
                trace.decide(DecidingCause.CANCELLED_BEFORE)
                return SubmitOutcome.CANCELLED_BEFORE, "cancelled_before"
        return SubmitOutcome.UNKNOWN, "no_answer"

    async def _create(
        self,
        job_id: str,
        submission: bytes,
        of_others: Item | None,
        timeout_s: float,
        trace: SubmissionTrace,
    ) -> TransactionResult:
        """Create the key of a job in the place of a cancellation that does not count for it."""
        key, cancellation_key = JOBS_PREFIX + job_id, CANCELS_PREFIX + job_id
        expected = {key: 0, cancellation_key: of_others.revision if of_others else 0}
        removes = [cancellation_key] if of_others else []
        return await self._context.store.transact(
            expected, [Put(key, submission)], removes, timeout_s, trace.record_call
        )


def _is_cancelled(submission: bytes, cancellation: Item) -> bool:
    organisation = read_organisation(submission)
    return decode_cancellation(cancellation.value).counts_for(organisation)
