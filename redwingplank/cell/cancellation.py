"""Cancels jobs: through the owner, or in the store if the owner did not store that."""

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from redwingplank.cell.authentication import is_record_visible
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.keys import CANCELS_PREFIX, JOBS_PREFIX
from redwingplank.cell.membership import Membership
from redwingplank.cell.owner import OwnerRuntime
from redwingplank.cell.unresolved_submissions import UnresolvedSubmissions
from redwingplank.platform.site.store import Put, TransactionOutcome
from redwingplank.rpc.cell_calls import CancelAnswer
from redwingplank.rpc.errors import RpcError

__all__ = ["Cancellation", "cancel_status"]

OWNER_TIMEOUT_S = 2.0
"""Longer than the time that the owner waits for the store (1.5 s)."""
STORE_TIMEOUT_S = 0.8
"""A read and a write fit into what is left of the 4 s after the call of the owner."""


class Cancellation:
    """Cancels jobs for callers of this node.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the current owner.
    find_owner : callable
        Returns the owner that runs in this process, or None if there is none or it has not yet
        read the stored jobs.
    unresolved : UnresolvedSubmissions
        Submissions that may yet store their jobs.
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        find_owner: Callable[[], OwnerRuntime | None],
        unresolved: UnresolvedSubmissions,
    ) -> None:
        self._context = context
        self._membership = membership
        self._find_owner = find_owner
        self._unresolved = unresolved

    async def cancel(self, job_id: str, visible_to: str | None = None) -> CancelAnswer:
        """Cancel a job.

        A job that is not visible to the caller is answered as unknown. One that the store does not
        have is known while a submission of it is unresolved.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        visible_to : str or None
            Organisation whose jobs are visible to the caller, None if all jobs are.
        """
        started_s = now_s()
        by_owner = await self._cancel_at_owner(job_id, visible_to)
        answer = by_owner
        if answer is None or not answer.is_known or not answer.is_stored:
            answer = await self._cancel_in_store(job_id, visible_to)
        self._log(job_id, by_owner, answer, now_s() - started_s)
        return answer

    async def _cancel_at_owner(self, job_id: str, visible_to: str | None) -> CancelAnswer | None:
        """Cancel a job at the owner; return None if no owner answers."""
        owner = self._find_owner()
        if owner is not None:
            return await owner.cancel(job_id, visible_to)
        address = self._membership.remote_owner_address
        if not address:
            return None
        try:
            return await self._context.calls.cancel(address, job_id, OWNER_TIMEOUT_S, visible_to)
        except RpcError as error:
            self._context.log("owner_unreachable", address=address, error=error)
            return None

    async def _cancel_in_store(self, job_id: str, visible_to: str | None) -> CancelAnswer:
        store = self._context.store
        try:
            job = await store.get(JOBS_PREFIX + job_id, STORE_TIMEOUT_S)
            if job is None:
                return CancelAnswer(self._unresolved.is_known(job_id, now_s()), is_stored=False)
            if not is_record_visible(job.value, visible_to):
                return CancelAnswer(is_known=False, is_stored=False)
            puts = [Put(CANCELS_PREFIX + job_id, b"1")]
            expected = {JOBS_PREFIX + job_id: job.revision}
            result = await store.transact(expected, puts, [], STORE_TIMEOUT_S)
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            return CancelAnswer(is_known=True, is_stored=False)
        answer = CancelAnswer(True, result.outcome is TransactionOutcome.DONE)
        return replace(answer, revision=result.revision)

    def _log(
        self, job_id: str, by_owner: CancelAnswer | None, answer: CancelAnswer, age_s: float
    ) -> None:
        """Log what was answered, on whose word, and what was stored then."""
        owner = self._membership.owner
        self._context.log_job(
            "cancel",
            job=job_id,
            status=cancel_status(answer).value,
            decided_by="owner" if answer is by_owner else "store",
            owner=owner.owner if owner is not None else None,
            term=by_owner.term if by_owner is not None else 0,
            state=(by_owner.state if by_owner is not None else "") or None,
            revision=answer.revision,
            age_s=age_s,
        )


def cancel_status(answer: CancelAnswer) -> HTTPStatus:
    """Return the status with which a caller is told of a cancellation."""
    if answer.is_stored:
        return HTTPStatus.OK
    return HTTPStatus.SERVICE_UNAVAILABLE if answer.is_known else HTTPStatus.GONE
