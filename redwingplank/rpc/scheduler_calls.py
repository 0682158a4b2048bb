"""Typed client of the calls to candidates and owners of shards."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from redwingplank.rpc.errors import CallOutcomeUnknownError, NotOwnerError
from redwingplank.rpc.peers import PeerConnections
from redwingplank.rpc.scheduler_messages import (
    read_job_status,
    read_submit_answer,
    read_summary,
    write_spec,
)
from redwingplank.rpc.schema import load_schema
from redwingplank.scheduling.messages import CancelAnswer, JobSpec, JobStatus, SubmitAnswer
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["SCHEDULER_SERVICE", "SchedulerCalls"]

SCHEDULER_SERVICE = "scheduler"

_interface: Any = load_schema("scheduler").Scheduler


class SchedulerCalls:
    """Typed client of the scheduler service of every scheduler process.

    Parameters
    ----------
    peers : PeerConnections
        Connections to the scheduler processes.

    Notes
    -----
    Every method raises the exceptions of `PeerConnections.call`: `PeerUnreachableError`,
    `CallOutcomeUnknownError` and `CallFailedError`. A call for a shard that the process does not
    own raises `NotOwnerError`.
    """

    def __init__(self, peers: PeerConnections) -> None:
        self._peers = peers

    async def submit(
        self, address: str, shard: str, spec: JobSpec, timeout_s: float
    ) -> SubmitAnswer:
        """Submit a job; the job is durable when the outcome is ACCEPTED."""
        message = write_spec(spec)
        answer = await self._call(address, timeout_s, lambda peer: peer.submit(shard, message))
        return read_submit_answer(answer.submit)

    async def cancel(self, address: str, shard: str, job_id: str, timeout_s: float) -> CancelAnswer:
        """Cancel a job; the cancellation is durable once this returns."""
        answer = await self._call(address, timeout_s, lambda peer: peer.cancel(shard, job_id))
        return CancelAnswer(0, job_id, answer.isKnown)

    async def status(
        self,
        address: str,
        shard: str,
        job_id: str,
        known_version: int,
        wait_s: float,
        timeout_s: float,
    ) -> tuple[JobStatus | None, int]:
        """Return a job and its version; wait up to `wait_s` while `known_version` is the newest.

        Returns
        -------
        tuple of (JobStatus or None, int)
            The job, None if the shard does not know it, and the version.
        """

        def call_status(peer: Any) -> Any:
            return peer.status(shard, job_id, known_version, wait_s)

        answer = (await self._call(address, timeout_s, call_status)).status
        return (read_job_status(answer.status) if answer.isKnown else None), answer.version

    async def explain(self, address: str, shard: str, id: str, timeout_s: float) -> tuple[str, ...]:
        """Return lines that explain why a job or task waits, or where it ran."""
        answer = await self._call(address, timeout_s, lambda peer: peer.explain(shard, id))
        return tuple(answer.lines)

    async def summary(self, address: str, shard: str, timeout_s: float) -> ShardSummary:
        """Return the summary of a shard's load and capacity."""
        answer = await self._call(address, timeout_s, lambda peer: peer.summary(shard))
        return read_summary(answer.summary)

    async def drain(self, address: str, vm: str, is_draining: bool, timeout_s: float) -> None:
        """Start or end draining a worker's VM; the command is durable once this returns.

        The owner of any shard in the VM's failure domain accepts this call.
        """
        await self._call(address, timeout_s, lambda peer: peer.drain(vm, is_draining))

    async def owners(self, address: str, timeout_s: float) -> Mapping[str, tuple[str, int]]:
        """Return address and epoch of the owner of each shard whose owner the process knows."""
        response = await self._peers.call(
            address, SCHEDULER_SERVICE, _interface, lambda peer: peer.owners(), timeout_s
        )
        return {owner.shard: (owner.address, owner.epoch) for owner in response.owners}

    async def _call(
        self, address: str, timeout_s: float, method: Callable[[Any], Awaitable[Any]]
    ) -> Any:
        response = await self._peers.call(address, SCHEDULER_SERVICE, _interface, method, timeout_s)
        answer = response.answer
        if answer.which() == "notOwner":
            owner = answer.notOwner
            raise NotOwnerError(owner.shard, owner.address, owner.epoch)
        if answer.which() == "outcomeUnknown":
            raise CallOutcomeUnknownError(answer.outcomeUnknown)
        return answer
