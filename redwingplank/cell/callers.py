"""Requests of callers: submit a job, get its state, cancel it, and count the jobs that wait."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from redwingplank.batch.model import CellConfig, JobSpec, JobState
from redwingplank.batch.records import encode_submission
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.keys import CANCELS_PREFIX, JOBS_PREFIX, PROGRESS_PREFIX
from redwingplank.cell.membership import Membership
from redwingplank.cell.owner import OwnerRuntime
from redwingplank.cell.peer_submission import PeerSubmission
from redwingplank.cell.submission import MIN_CALL_TIME_S, SubmitOutcome
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.platform.site.store import Put, StoreRefusedError, TransactionOutcome
from redwingplank.rpc.cell_calls import CancelAnswer
from redwingplank.rpc.errors import RpcError

__all__ = ["Callers", "JobStateAnswer"]

SUBMIT_TIMEOUT_S = 0.7
"""Time-out of storing a job from this node. The store answers in 0.01 s, a slow one in 0.25 s;
callers wait 3 s, and peers are asked after this time-out."""
OWNER_TIMEOUT_S = 0.5
"""Time-out of asking the owner. A call to another node takes 0.005 s; after the time-out the state
is read from the store instead."""
CANCEL_TIMEOUT_S = 2.0
"""Longer than the time that the owner waits for the store (1.5 s)."""
READ_TIMEOUT_S = 0.8
"""Two reads and a call of the owner fit into the 3 s that a caller waits."""


@dataclass(frozen=True, slots=True)
class JobStateAnswer:
    """The state of a job, as far as it could be determined.

    With `is_determined`, a `state` of None means that the job does not exist; without it, neither
    the owner nor the store gave an answer.
    """

    is_determined: bool
    state: JobState | None = None


class Callers:
    """Handles the requests of callers that arrive at this node.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the current owner and the live nodes.
    find_owner : callable
        Returns the owner that runs in this process, or None if there is none or it has not yet
        read the stored jobs.
    find_config : callable
        Returns the configuration in force, or None before one has been received.
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        find_owner: Callable[[], OwnerRuntime | None],
        find_config: Callable[[], CellConfig | None],
    ) -> None:
        self._context = context
        self._membership = membership
        self._peer_submission = PeerSubmission(context, membership)
        self._find_owner = find_owner
        self.find_config = find_config

    async def submit(self, spec: JobSpec, deadline_s: float) -> SubmitOutcome:
        """Store a job, through a peer if this node's own attempt does not succeed.

        Parameters
        ----------
        spec : JobSpec
            The job to store.
        deadline_s : float
            Time until which the caller waits, on the clock of `now_s`.
        """
        started_s = now_s()
        submission = encode_submission(spec)
        timeout_s = max(MIN_CALL_TIME_S, min(SUBMIT_TIMEOUT_S, deadline_s - now_s()))
        outcome, reason = await self.store_here(spec.job_id, submission, timeout_s)
        if outcome is not SubmitOutcome.ACCEPTED:
            outcome, reason = await self._peer_submission.store(
                spec.job_id, submission, deadline_s, outcome
            )
        self._log_submit(spec, outcome, reason, now_s() - started_s)
        return outcome

    async def store_here(
        self, job_id: str, submission: bytes, timeout_s: float
    ) -> tuple[SubmitOutcome, str]:
        """Store a job unless it is stored already; return the result and its reason.

        While the store is known to be unreachable, no call is made, so that `NOT_RUN` is certain:
        a call that fails midway may have been carried out.
        """
        if self._context.health.is_unreachable:
            return SubmitOutcome.NOT_RUN, "store_away"
        key = JOBS_PREFIX + job_id
        puts = [Put(key, submission)]
        try:
            result = await self._context.store.transact({key: 0}, puts, [], timeout_s)
        except NoAnswerError as error:
            self._context.health.record_failure(error)
            return SubmitOutcome.UNKNOWN, "no_answer"
        except (NotSentError, StoreRefusedError) as error:
            self._context.health.record_failure(error)
            return SubmitOutcome.NOT_RUN, "refused_by_store"
        self._context.health.record_success()
        is_new = result.outcome is TransactionOutcome.DONE
        return SubmitOutcome.ACCEPTED, "stored" if is_new else "already_stored"

    def _log_submit(self, spec: JobSpec, outcome: SubmitOutcome, reason: str, age_s: float) -> None:
        name = outcome.name.lower()
        self._context.log(
            "submit", job=spec.job_id, queue=spec.queue, outcome=name, reason=reason, age_s=age_s
        )

    async def state(self, job_id: str) -> JobStateAnswer:
        """Return the state of a job, from the owner or else from the store."""
        owner = self._find_owner()
        if owner is not None:
            state = owner.job_state(job_id)
            if state is not None:
                return JobStateAnswer(True, state)
        else:
            answer = await self._ask_owner(job_id)
            if answer.state is not None:
                return answer
        return await self._state_in_store(job_id)

    async def _ask_owner(self, job_id: str) -> JobStateAnswer:
        address = self._owner_address()
        if not address:
            return JobStateAnswer(False)
        try:
            is_owner, state = await self._context.calls.job_state(address, job_id, OWNER_TIMEOUT_S)
        except RpcError as error:
            self._context.log("owner_unreachable", address=address, error=error)
            return JobStateAnswer(False)
        return JobStateAnswer(is_owner, state)

    def _owner_address(self) -> str:
        owner = self._membership.owner
        if owner is None or owner.incarnation == self._membership.incarnation:
            return ""
        return owner.address

    async def _state_in_store(self, job_id: str) -> JobStateAnswer:
        store = self._context.store
        try:
            progress = await store.get(PROGRESS_PREFIX + job_id, READ_TIMEOUT_S)
            if progress is not None and progress.value is not None:
                return JobStateAnswer(True, _read_state(progress.value))
            job = await store.get(JOBS_PREFIX + job_id, READ_TIMEOUT_S)
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            return JobStateAnswer(False)
        return JobStateAnswer(True, JobState.QUEUED if job is not None else None)

    async def cancel(self, job_id: str) -> CancelAnswer:
        """Cancel a job through the owner, or in the store if the owner did not store that."""
        owner = self._find_owner()
        if owner is not None:
            answer: CancelAnswer | None = await owner.cancel(job_id)
        else:
            answer = await self._cancel_at_owner(job_id)
        if answer is None or not answer.is_known or not answer.is_stored:
            answer = await self._cancel_in_store(job_id)
        self._context.log(
            "cancel", job=job_id, is_known=answer.is_known, is_stored=answer.is_stored
        )
        return answer

    async def _cancel_at_owner(self, job_id: str) -> CancelAnswer | None:
        address = self._owner_address()
        if not address:
            return None
        try:
            return await self._context.calls.cancel(address, job_id, CANCEL_TIMEOUT_S)
        except RpcError as error:
            self._context.log("owner_unreachable", address=address, error=error)
            return None

    async def _cancel_in_store(self, job_id: str) -> CancelAnswer:
        store = self._context.store
        try:
            job = await store.get(JOBS_PREFIX + job_id, READ_TIMEOUT_S)
            if job is None:
                return CancelAnswer(is_known=False, is_stored=False)
            puts = [Put(CANCELS_PREFIX + job_id, b"1")]
            expected = {JOBS_PREFIX + job_id: job.revision}
            result = await store.transact(expected, puts, [], READ_TIMEOUT_S)
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            return CancelAnswer(is_known=True, is_stored=False)
        return CancelAnswer(True, result.outcome is TransactionOutcome.DONE)

    async def pending(self, queue: str) -> int | None:
        """Return the number of jobs of a queue that wait, None if the owner does not answer."""
        owner = self._find_owner()
        if owner is not None:
            return owner.pending(queue)
        address = self._owner_address()
        count: int | None = None
        if address:
            try:
                count = await self._context.calls.pending(address, queue, OWNER_TIMEOUT_S)
            except RpcError as error:
                self._context.log("owner_unreachable", address=address, error=error)
        return count


class _ProgressState(msgspec.Struct):
    state: str = ""
    is_started: bool = False


def _read_state(value: bytes) -> JobState:
    record = msgspec.json.decode(value, type=_ProgressState)
    if record.state:
        return JobState(record.state)
    return JobState.RUNNING if record.is_started else JobState.QUEUED
