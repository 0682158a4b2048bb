"""Routes callers' jobs to the owners of their shards."""

import uuid
from dataclasses import dataclass

import xxhash

from redwingplank.core import RedwingError, Resources, choose_by_rendezvous, log_event, make_logger
from redwingplank.rpc import CallFailedError, CallOutcomeUnknownError, RpcError
from redwingplank.rpc.scheduler_calls import SchedulerCalls
from redwingplank.runtime.shards import ShardDirectory
from redwingplank.scheduling.messages import (
    JobSpec,
    JobState,
    JobStatus,
    SubmitAnswer,
    SubmitOutcome,
)

__all__ = [
    "JobGateway",
    "JobRefusedError",
    "JobRequest",
    "JobUnknownError",
    "JobUnsettledError",
    "shard_of_job",
]

SHARD_SEPARATOR = "."
CALL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 2.0

_logger = make_logger("jobs")


class JobRefusedError(RedwingError):
    """The call had no effect; `retry_after_s` is 0 if a repeat cannot succeed."""

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class JobUnknownError(RedwingError):
    """The organisation has no job with this id; check the id."""


class JobUnsettledError(RedwingError):
    """The call, or an earlier one with its key, may have taken effect.

    Read the job's state before repeating the call. If `retry_after_s` is positive, this call itself
    had no effect, and a repeat with the same key after that time settles the outcome.
    """

    def __init__(self, message: str, job_id: str, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.job_id = job_id
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as a caller submits it; see `JobSpec` for the fields."""

    organisation: str
    service: str
    task_count: int = 1
    resources: Resources | None = None
    run_time_s: float | None = None
    payload: bytes = b""
    idempotency_key: str | None = None


def shard_of_job(job_id: str) -> str:
    """Return the shard named in a job or task id, empty if it names none.

    Examples
    --------
    >>> shard_of_job("ankara-1.0f3c")
    'ankara-1'
    """
    return job_id.rpartition(SHARD_SEPARATOR)[0]


class JobGateway:
    """Finds the owner of a job's shard and calls it.

    Parameters
    ----------
    calls : SchedulerCalls
        Calls to schedulers.
    directory : ShardDirectory
        Knows the shards of the cell and their owners.
    """

    def __init__(self, calls: SchedulerCalls, directory: ShardDirectory) -> None:
        self._calls = calls
        self._directory = directory

    async def submit(self, request: JobRequest) -> str:
        """Submit a job and return its id once it is durable.

        Raises
        ------
        JobRefusedError
            If the job was certainly not accepted.
        JobUnsettledError
            If the job may have been accepted. With a key this includes calls that no owner took,
            because they do not settle an earlier call with the key, at any entry.
        """
        if request.idempotency_key is not None:
            return await self._submit_with_key(request, request.idempotency_key)
        key = uuid.uuid4().hex
        shards = self._directory.shards_by_preference()
        for shard in shards:
            answer = await self._try_submit(request, f"{shard}{SHARD_SEPARATOR}{key}")
            if answer is not None and answer.outcome is not SubmitOutcome.NOT_NOW:
                return _job_id_or_raise(answer)
        raise JobRefusedError("no shard takes jobs now; try again later", RETRY_AFTER_S)

    async def status(
        self, organisation: str, job_id: str, version: int, wait_s: float
    ) -> tuple[JobStatus, int]:
        """Return a job's state and version once newer than `version`, or after `wait_s` seconds.

        Raises
        ------
        JobUnknownError
            If the organisation has no such job.
        JobRefusedError
            If the shard has no known owner or its owner does not answer.
        """
        shard = shard_of_job(job_id)
        address = self._find_owner(shard, job_id)
        try:
            status, found_version = await self._calls.status(
                address, shard, job_id, version, wait_s, wait_s + CALL_TIMEOUT_S
            )
        except RpcError as error:
            self._directory.discard_owner(shard)
            message = f"the owner of shard {shard} does not answer: {error}"
            raise JobRefusedError(message, RETRY_AFTER_S) from error
        if status is None or status.organisation != organisation:
            raise JobUnknownError(f"organisation {organisation} has no job {job_id}")
        return status, found_version

    async def cancel(self, organisation: str, job_id: str) -> JobState | None:
        """Cancel a job; returns once the cancellation, or the end of the job, is durable.

        Returns
        -------
        JobState or None
            The state in which the job ended, CANCELLED while its tasks are being stopped; None if
            the state cannot be read.

        Raises
        ------
        JobUnknownError
            If the organisation has no such job.
        JobRefusedError
            If the job was certainly not cancelled.
        JobUnsettledError
            If the job may have been cancelled.
        """
        await self.status(organisation, job_id, 0, 0.0)
        shard = shard_of_job(job_id)
        address = self._find_owner(shard, job_id)
        try:
            answer = await self._calls.cancel(address, shard, job_id, CALL_TIMEOUT_S)
        except (CallOutcomeUnknownError, CallFailedError) as error:
            raise JobUnsettledError(str(error), job_id) from error
        except RpcError as error:
            self._directory.discard_owner(shard)
            raise JobRefusedError(str(error), RETRY_AFTER_S) from error
        if not answer.is_known:
            raise JobUnknownError(f"organisation {organisation} has no job {job_id}")
        return await self._state_after_cancellation(organisation, job_id)

    async def _state_after_cancellation(self, organisation: str, job_id: str) -> JobState | None:
        try:
            status, _ = await self.status(organisation, job_id, 0, 0.0)
        except (JobRefusedError, JobUnknownError):
            return None
        is_open = status.state in (JobState.ACCEPTED, JobState.RUNNING)
        return JobState.CANCELLED if is_open else status.state

    async def _submit_with_key(self, request: JobRequest, key: str) -> str:
        shard_key = f"{request.organisation}\0{request.service}\0{key}"
        shard = choose_by_rendezvous(shard_key, self._directory.all_shards())
        if shard is None:
            raise JobRefusedError("there is no shard: name the failure domains in the settings")
        job_id = f"{shard}{SHARD_SEPARATOR}k{xxhash.xxh3_128_hexdigest(shard_key.encode())}"
        answer = await self._try_submit(request, job_id)
        if answer is None or answer.outcome is SubmitOutcome.NOT_NOW:
            message = (
                f"shard {shard}, which keeps this key, takes no jobs now, and an earlier call with "
                "the key may have been accepted: repeat the call with the same key"
            )
            raise JobUnsettledError(message, job_id, RETRY_AFTER_S)
        return _job_id_or_raise(answer)

    async def _try_submit(self, request: JobRequest, job_id: str) -> SubmitAnswer | None:
        shard = shard_of_job(job_id)
        address = self._directory.find_owner(shard)
        if address is None:
            return None
        try:
            answer = await self._calls.submit(
                address, shard, _make_spec(request, job_id), CALL_TIMEOUT_S
            )
        except (CallOutcomeUnknownError, CallFailedError) as error:
            # An owner that failed while it handled the call may have accepted the job before.
            self._directory.discard_owner(shard)
            message = f"shard {shard} gave no answer; read the job's state before repeating"
            raise JobUnsettledError(message, job_id) from error
        except RpcError as error:
            log_event(_logger, "submit_failed", shard=shard, address=address, error=str(error))
            self._directory.discard_owner(shard)
            return None
        log_event(
            _logger, "job_routed", job=job_id, shard=shard, address=address, outcome=answer.outcome
        )
        return answer

    def _find_owner(self, shard: str, job_id: str) -> str:
        if shard not in self._directory.all_shards():
            raise JobUnknownError(f"there is no job {job_id}")
        address = self._directory.find_owner(shard)
        if address is None:
            raise JobRefusedError(f"shard {shard} has no known owner now", RETRY_AFTER_S)
        return address


def _make_spec(request: JobRequest, job_id: str) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        organisation=request.organisation,
        service=request.service,
        task_count=request.task_count,
        resources=request.resources,
        run_time_s=request.run_time_s,
        payload=request.payload,
    )


def _job_id_or_raise(answer: SubmitAnswer) -> str:
    if answer.outcome in (SubmitOutcome.ACCEPTED, SubmitOutcome.DUPLICATE):
        return answer.job_id
    raise JobRefusedError(answer.detail, answer.retry_after_s)
