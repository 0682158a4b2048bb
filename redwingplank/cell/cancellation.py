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
from redwingplank.cell.stored_cancellation import (
    StoredCancellation,
    decode_cancellation,
    encode_cancellation,
)
from redwingplank.cell.submission import MIN_CALL_TIME_S
from redwingplank.platform.site.store import Item, Put, TransactionOutcome, TransactionResult
from redwingplank.rpc.cell_calls import CancelAnswer
from redwingplank.rpc.errors import RpcError

__all__ = ["Cancellation", "cancel_status"]

OWNER_TIMEOUT_S = 2.0
"""Longer than the time that the owner waits for the store (1.5 s)."""
STORE_TIMEOUT_S = 0.8
"""A DELETE is answered within 4 s, of which the owner may take the first 2 s."""
CANCEL_TIME_S = 3.7
"""Further writes get what is left of this time since the request."""
MAX_WRITES = 3
"""Writes of the cancellation of an unknown job, where others cancel or submit it meanwhile."""


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
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        find_owner: Callable[[], OwnerRuntime | None],
    ) -> None:
        self._context = context
        self._membership = membership
        self._find_owner = find_owner

    async def cancel(self, job_id: str, visible_to: str | None = None) -> CancelAnswer:
        """Cancel a job.

        A job that is not visible to the caller is answered as unknown. That the store does not have
        a job is answered only once its cancellation is stored in its place: a submission may still
        be under way, at the store or at any node.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        visible_to : str or None
            Organisation whose jobs are visible to the caller, None if all jobs are.
        """
        started_s = now_s()
        asked = self._owner_name()
        by_owner = await self._cancel_at_owner(job_id, visible_to)
        answer = by_owner
        if answer is None or not answer.is_known or not answer.is_stored:
            deadline_s = started_s + CANCEL_TIME_S
            answer = await self._cancel_in_store(job_id, visible_to, deadline_s)
        self._log(job_id, asked, by_owner, answer, now_s() - started_s)
        return answer

    def _owner_name(self) -> str | None:
        """Return the name of the owner that is asked, None if none is known."""
        if self._find_owner() is not None:
            return self._context.settings.name
        owner = self._membership.owner
        return owner.owner if owner is not None else None

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

    async def _cancel_in_store(
        self, job_id: str, visible_to: str | None, deadline_s: float
    ) -> CancelAnswer:
        try:
            job = await self._context.store.get(JOBS_PREFIX + job_id, STORE_TIMEOUT_S)
            if job is not None:
                return await self._cancel_stored(job, job_id, visible_to, deadline_s)
            return await self._cancel_absent(job_id, visible_to, deadline_s)
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            return CancelAnswer(is_known=True, is_stored=False)

    async def _cancel_stored(
        self, job: Item, job_id: str, visible_to: str | None, deadline_s: float
    ) -> CancelAnswer:
        """Cancel a job that the store has."""
        if not is_record_visible(job.value, visible_to):
            return CancelAnswer(is_known=False, is_stored=False)
        expected = {JOBS_PREFIX + job_id: job.revision}
        result = await self._write(job_id, StoredCancellation(), expected, deadline_s)
        answer = CancelAnswer(True, result.outcome is TransactionOutcome.DONE)
        return replace(answer, revision=result.revision)

    async def _cancel_absent(
        self, job_id: str, visible_to: str | None, deadline_s: float
    ) -> CancelAnswer:
        """Cancel a job that the store does not have, so that no copy of its submission stores it.

        A cancellation that is there already is written again, as it may be about to be removed.
        """
        key, job_key = CANCELS_PREFIX + job_id, JOBS_PREFIX + job_id
        earlier: Item | None = None
        for _ in range(MAX_WRITES):
            cancellation = _extend(earlier, visible_to)
            expected = {job_key: 0, key: earlier.revision if earlier is not None else 0}
            result = await self._write(job_id, cancellation, expected, deadline_s)
            job, found = result.find(job_key), result.find(key)
            if job is not None:
                return await self._cancel_stored(job, job_id, visible_to, deadline_s)
            if result.outcome is TransactionOutcome.DONE:
                return CancelAnswer(False, False, revision=result.revision)
            if earlier is not None and _is_by(found, visible_to):
                # Written since the last call, perhaps by an earlier copy of it.
                return CancelAnswer(False, False)
            earlier = found
        return CancelAnswer(is_known=True, is_stored=False)

    async def _write(
        self,
        job_id: str,
        cancellation: StoredCancellation,
        expected: dict[str, int],
        deadline_s: float,
    ) -> TransactionResult:
        put = Put(CANCELS_PREFIX + job_id, encode_cancellation(cancellation))
        timeout_s = min(STORE_TIMEOUT_S, max(MIN_CALL_TIME_S, deadline_s - now_s()))
        return await self._context.store.transact(expected, [put], [], timeout_s)

    def _log(
        self,
        job_id: str,
        asked: str | None,
        by_owner: CancelAnswer | None,
        answer: CancelAnswer,
        age_s: float,
    ) -> None:
        """Log what was answered, on whose word, and what was stored then."""
        self._context.log_job(
            "cancel",
            job=job_id,
            status=cancel_status(answer).value,
            decided_by="owner" if answer is by_owner else "store",
            owner=asked,
            term=by_owner.term if by_owner is not None else 0,
            state=(by_owner.state if by_owner is not None else "") or None,
            revision=answer.revision,
            age_s=age_s,
        )


def _is_by(found: Item | None, visible_to: str | None) -> bool:
    return found is not None and decode_cancellation(found.value).is_by(visible_to)


def _extend(earlier: Item | None, visible_to: str | None) -> StoredCancellation:
    """Return the cancellation by a caller, besides those by others that are stored."""
    if earlier is not None:
        return decode_cancellation(earlier.value).extend(visible_to)
    return StoredCancellation(frozenset()).extend(visible_to)


def cancel_status(answer: CancelAnswer) -> HTTPStatus:
    """Return the status with which a caller is told of a cancellation."""
    if answer.is_stored:
        return HTTPStatus.OK
    return HTTPStatus.SERVICE_UNAVAILABLE if answer.is_known else HTTPStatus.GONE
