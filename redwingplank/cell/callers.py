"""Requests of callers: submit a job, get its state, cancel it, and count the jobs that wait."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from redwingplank.batch.model import CellConfig, JobSpec, JobState
from redwingplank.batch.records import encode_submission
from redwingplank.cell.access import AccessControl
from redwingplank.cell.authentication import AccessRefusal, Credentials, is_record_visible
from redwingplank.cell.cancellation import Cancellation
from redwingplank.cell.circuit_breaker import CircuitBreaker
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.keys import JOBS_PREFIX, PROGRESS_PREFIX
from redwingplank.cell.membership import Membership
from redwingplank.cell.owner import OwnerRuntime
from redwingplank.cell.peer_submission import PeerSubmission
from redwingplank.cell.submission import MIN_CALL_TIME_S, SubmitOutcome
from redwingplank.cell.submission_lines import log_interrupted, log_submission
from redwingplank.cell.submission_store import SubmissionStore
from redwingplank.cell.submission_trace import DecidingCause, SubmissionTrace
from redwingplank.cell.tasks import TaskSet
from redwingplank.cell.unresolved_submissions import UnresolvedSubmissions
from redwingplank.core import InvalidValueError, decode_json
from redwingplank.rpc.cell_calls import CancelAnswer
from redwingplank.rpc.errors import RpcError

__all__ = ["Callers", "JobStateAnswer", "SubmitAnswer"]

SUBMIT_TIMEOUT_S = 0.7
"""Time-out of storing a job from this node. The store answers in 0.01 s, a slow one in 0.25 s;
callers wait 3 s, and peers are asked after this time-out."""
OWNER_TIMEOUT_S = 0.5
"""Time-out of asking the owner. A call to another node takes 0.005 s; after the time-out the state
is read from the store instead."""
KNOWN_TIMEOUT_S = 0.3
"""Time-out of asking the owner whether it has a job that would be refused."""
OWNER_OPEN_S = 0.5
"""Time for which an owner that did not answer is not asked whether it has a job."""
READ_TIMEOUT_S = 0.8
"""Two reads and a call of the owner fit into the 3 s that a caller waits."""


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Outcome of a submission; `refusal` tells why a job was not stored for its key."""

    outcome: SubmitOutcome
    refusal: AccessRefusal | None = None


@dataclass(frozen=True, slots=True)
class JobStateAnswer:
    """The state of a job, as far as it could be determined.

    With `is_determined`, a `state` of None means that the job does not exist; without it, neither
    the owner nor the store gave an answer, or a submission is unresolved that may yet store it.
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
    access : AccessControl
        Authenticates requests.
    tasks : TaskSet
        Runs calls of peers that no answer waits for.
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        find_owner: Callable[[], OwnerRuntime | None],
        find_config: Callable[[], CellConfig | None],
        access: AccessControl,
        tasks: TaskSet,
    ) -> None:
        self._context = context
        self._membership = membership
        self._submission_store = SubmissionStore(context)
        self._peer_submission = PeerSubmission(context, membership)
        self._unresolved = UnresolvedSubmissions()
        self._reports: set[asyncio.Task] = set()
        self._owner_breaker = CircuitBreaker(OWNER_OPEN_S)
        self._find_owner = find_owner
        self._cancellation = Cancellation(context, membership, find_owner)
        self.find_config = find_config
        self.access = access
        self._tasks = tasks

    def check_length(self, spec: JobSpec) -> None:
        """Check that the store can take a job.

        Raises
        ------
        InvalidValueError
            Its stored form is longer than a value may be.
        """
        size = len(encode_submission(spec))
        longest = self._context.settings.value_bytes
        if size > longest:
            raise InvalidValueError(f"the job takes {size} bytes in the store: at most {longest}")

    async def submit(
        self, spec: JobSpec, credentials: Credentials, deadline_s: float
    ) -> SubmitAnswer:
        """Store a job, through a peer if this node's own attempt does not succeed.

        Parameters
        ----------
        spec : JobSpec
            The job to store.
        credentials : Credentials
            Authenticated once more here: the request may have taken long to arrive.
        deadline_s : float
            Time until which the caller waits, on the clock of `now_s`.
        """
        trace = SubmissionTrace(now_s())
        try:
            return await self._submit(spec, credentials, deadline_s, trace)
        except BaseException as error:
            self._log_interrupted(spec, error, trace)
            raise

    async def _submit(
        self, spec: JobSpec, credentials: Credentials, deadline_s: float, trace: SubmissionTrace
    ) -> SubmitAnswer:
        decision = self.access.check(credentials, trace.started_s)
        if decision.refusal is not None:
            trace.decide(DecidingCause.KEY)
            outcome = self.settle_refusal(spec.job_id)
            self._log_submit(spec, outcome, decision.refusal.value, trace)
            return SubmitAnswer(outcome, decision.refusal)
        spec = replace(spec, organisation=decision.organisation)
        submission = encode_submission(spec)
        outcome, reason = SubmitOutcome.UNKNOWN, ""
        self._unresolved.begin(spec.job_id)
        try:
            outcome, reason = await self._store_anywhere(spec.job_id, submission, deadline_s, trace)
        finally:
            # Also where the handler fails or is cancelled, as the store may carry out its call.
            outcome = self._end(spec.job_id, outcome, trace)
            if outcome is SubmitOutcome.UNKNOWN:
                self._report_unresolved(spec.job_id)
        self._log_submit(spec, outcome, reason, trace)
        return SubmitAnswer(outcome)

    async def _store_anywhere(
        self, job_id: str, submission: bytes, deadline_s: float, trace: SubmissionTrace
    ) -> tuple[SubmitOutcome, str]:
        """Store a job from here or through a peer, unless the owner has it already."""
        timeout_s = max(MIN_CALL_TIME_S, min(SUBMIT_TIMEOUT_S, deadline_s - now_s()))
        outcome, reason = await self._submission_store.store(job_id, submission, timeout_s, trace)
        if outcome in (SubmitOutcome.NOT_RUN, SubmitOutcome.UNKNOWN):
            outcome, reason = await self._peer_submission.store(
                job_id, submission, deadline_s, outcome, trace
            )
        if outcome is SubmitOutcome.NOT_RUN and await self._is_known_to_owner(job_id, deadline_s):
            trace.decide(DecidingCause.KNOWN_TO_OWNER)
            return SubmitOutcome.ACCEPTED, "known_to_owner"
        return outcome, reason

    async def _is_known_to_owner(self, job_id: str, deadline_s: float) -> bool:
        """Return whether the owner has a job, which shows that an earlier attempt stored it."""
        owner = self._find_owner()
        if owner is not None:
            return owner.job_state(job_id) is not None
        address = self._membership.remote_owner_address
        timeout_s = min(KNOWN_TIMEOUT_S, deadline_s - now_s())
        if not address or timeout_s <= 0 or not self._owner_breaker.allow(now_s()):
            return False
        is_answered = False
        try:
            _, state = await self._context.calls.job_state(address, job_id, timeout_s)
            is_answered = True
            return state is not None
        except RpcError as error:
            self._context.log("owner_unreachable", address=address, error=error)
            return False
        finally:
            if is_answered:
                self._owner_breaker.record_success()
            else:
                self._owner_breaker.record_failure(now_s())

    def _report_unresolved(self, job_id: str) -> None:
        report = self._tasks.start(self._peer_submission.report_unresolved(job_id))
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)

    async def finish_reports(self) -> None:
        """Wait until the other nodes have been told of unresolved submissions."""
        await asyncio.gather(*self._reports, return_exceptions=True)

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether an earlier attempt to submit a job may have stored it."""
        return self._unresolved.may_be_stored(job_id, now_s())

    def settle_refusal(self, job_id: str) -> SubmitOutcome:
        """Return the outcome of all attempts to submit a job, the last of which is refused.

        An attempt that is under way may yet store the job.
        """
        self._unresolved.begin(job_id)
        return self._unresolved.end(job_id, SubmitOutcome.NOT_RUN, now_s())

    def note_unresolved(self, job_id: str) -> None:
        """Remember that a submission through another node has an unknown outcome."""
        self._unresolved.settle(job_id, SubmitOutcome.UNKNOWN, now_s())

    async def store_here(
        self,
        job_id: str,
        submission: bytes,
        timeout_s: float,
        trace: SubmissionTrace | None = None,
    ) -> tuple[SubmitOutcome, str]:
        """Store a job unless it is stored or cancelled; return the result and its reason.

        While the store is known to be unreachable, no call is made, so that `NOT_RUN` is certain:
        a call that fails midway may have been carried out. `NOT_RUN` also covers the earlier
        attempts that this node knows of. The course of the call is recorded in `trace`.
        """
        if trace is None:
            trace = SubmissionTrace(now_s())
        outcome = SubmitOutcome.UNKNOWN
        self._unresolved.begin(job_id)
        try:
            outcome, reason = await self._submission_store.store(
                job_id, submission, timeout_s, trace
            )
        finally:
            settled = self._end(job_id, outcome, trace)
        return settled, reason if settled is outcome.told else "earlier_attempt_unknown"

    def _end(self, job_id: str, outcome: SubmitOutcome, trace: SubmissionTrace) -> SubmitOutcome:
        settled = self._unresolved.end(job_id, outcome, now_s())
        if settled is not outcome.told:
            trace.decide(DecidingCause.EARLIER_ATTEMPT)
        return settled

    def _log_submit(
        self, spec: JobSpec, outcome: SubmitOutcome, reason: str, trace: SubmissionTrace
    ) -> None:
        fields = {"job": spec.job_id, "queue": spec.queue}
        name = outcome.name.lower()
        self._context.metrics.record_submission(name, trace.cause.name.lower())
        log_submission(self._context, "submit", fields, name, reason, trace)

    def _log_interrupted(self, spec: JobSpec, error: BaseException, trace: SubmissionTrace) -> None:
        fields = {"job": spec.job_id, "queue": spec.queue}
        outcome = log_interrupted(self._context, "submit", fields, error, trace)
        self._context.metrics.record_submission(outcome, trace.cause.name.lower())

    async def state(self, job_id: str, visible_to: str | None = None) -> JobStateAnswer:
        """Return the state of a job, from the owner or else from the store.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        visible_to : str or None
            Organisation whose jobs are visible to the caller, None if all jobs are; a job of
            another organisation is answered as unknown.
        """
        owner = self._find_owner()
        if owner is not None:
            state = owner.job_state(job_id, visible_to)
            if state is not None:
                return JobStateAnswer(True, state)
        else:
            answer = await self._ask_owner(job_id, visible_to)
            if answer.state is not None:
                return answer
        if visible_to is None:
            return await self._state_in_store(job_id)
        return await self._visible_state_in_store(job_id, visible_to)

    async def _ask_owner(self, job_id: str, visible_to: str | None) -> JobStateAnswer:
        address = self._membership.remote_owner_address
        if not address:
            return JobStateAnswer(False)
        try:
            is_owner, state = await self._context.calls.job_state(
                address, job_id, OWNER_TIMEOUT_S, visible_to
            )
        except RpcError as error:
            self._context.log("owner_unreachable", address=address, error=error)
            return JobStateAnswer(False)
        return JobStateAnswer(is_owner, state)

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
        if job is None:
            return self._state_of_absent(job_id)
        return JobStateAnswer(True, JobState.QUEUED)

    def _state_of_absent(self, job_id: str) -> JobStateAnswer:
        """Return what is known of a job that the store does not have."""
        return JobStateAnswer(not self._unresolved.is_known(job_id, now_s()))

    async def _visible_state_in_store(self, job_id: str, visible_to: str) -> JobStateAnswer:
        """Return the state of a job in the store if its record shows it to be visible."""
        store = self._context.store
        try:
            job = await store.get(JOBS_PREFIX + job_id, READ_TIMEOUT_S)
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            return JobStateAnswer(False)
        if job is None:
            return self._state_of_absent(job_id)
        if not is_record_visible(job.value, visible_to):
            return JobStateAnswer(True, None)
        return await self._state_in_store(job_id)

    async def cancel(self, job_id: str, visible_to: str | None = None) -> CancelAnswer:
        """Cancel a job, as described at `Cancellation.cancel`."""
        return await self._cancellation.cancel(job_id, visible_to)

    async def pending(self, queue: str) -> int | None:
        """Return the number of jobs of a queue that wait, None if the owner does not answer."""
        owner = self._find_owner()
        if owner is not None:
            return owner.pending(queue)
        address = self._membership.remote_owner_address
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
    record = decode_json(value, _ProgressState)
    if record.state:
        return JobState(record.state)
    return JobState.RUNNING if record.is_started else JobState.QUEUED
