"""Typed client of the calls between the nodes of a cell."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from redwingplank.batch.model import JobState, StepKey
from redwingplank.rpc.peers import PeerConnections
from redwingplank.rpc.schema import load_schema

__all__ = ["CELL_SERVICE", "CancelAnswer", "CellCalls"]

CELL_SERVICE = "cell"
# Seconds by which a call may exceed the time limit that the peer itself applies.
ADVICE_SLACK_S = 0.3
SUBMIT_SLACK_S = 0.1

_interface: Any = load_schema("cell").Cell


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """Whether the job is known, and whether the cancellation is stored.

    Attributes
    ----------
    is_known, is_stored : bool
        What the caller is told.
    term : int
        Epoch of the owner that answered, 0 if none did.
    state : str
        State of the job at that owner after the cancellation, empty if it does not know the job.
    revision : int
        Revision of the store at which a cancellation was written without the owner, else 0.
    """

    is_known: bool
    is_stored: bool
    term: int = 0
    state: str = ""
    revision: int = 0


class CellCalls:
    """Typed client of the cell service of every node.

    Parameters
    ----------
    peers : PeerConnections
        Connections to the nodes.

    Notes
    -----
    Every method raises the exceptions of `PeerConnections.call`.
    """

    def __init__(self, peers: PeerConnections) -> None:
        self._peers = peers

    async def job_state(
        self, address: str, job_id: str, timeout_s: float, visible_to: str | None = None
    ) -> tuple[bool, JobState | None]:
        """Return whether the peer owns the jobs, and the state of the job.

        The state is None if the owner does not know the job, or if `visible_to` names an
        organisation and the job belongs to another one.
        """

        def call_job_state(peer: Any) -> Any:
            if visible_to is None:
                return peer.jobState(job_id)
            return peer.jobStateFor(job_id, visible_to)

        answer = await self._call(address, call_job_state, timeout_s)
        return answer.isOwner, JobState(answer.state) if answer.state else None

    async def cancel(
        self, address: str, job_id: str, timeout_s: float, visible_to: str | None = None
    ) -> CancelAnswer | None:
        """Cancel a job; return None if the peer does not own the jobs.

        If `visible_to` names an organisation, a job of another one is answered as unknown.
        """

        def call_cancel(peer: Any) -> Any:
            if visible_to is None:
                return peer.cancel(job_id)
            return peer.cancelFor(job_id, visible_to)

        answer = await self._call(address, call_cancel, timeout_s)
        if not answer.isOwner:
            return None
        return CancelAnswer(answer.isKnown, answer.isStored, answer.term, answer.state)

    async def pending(self, address: str, queue: str, timeout_s: float) -> int | None:
        """Return how many jobs of a queue wait; None if the peer does not own the jobs."""
        answer = await self._call(address, lambda peer: peer.pending(queue), timeout_s)
        return answer.count if answer.isOwner else None

    async def advise(
        self, address: str, step: StepKey, workers: Sequence[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Query the advice service through a peer; return None if the peer got no answer.

        Returns
        -------
        dict of str to str, or None
            The text of the ticket for each worker.
        """

        def call_advise(peer: Any) -> Any:
            return peer.advise(*step, list(workers), timeout_s)

        answer = await self._call(address, call_advise, timeout_s + ADVICE_SLACK_S)
        if not answer.isAnswered:
            return None
        return {ticket.worker: ticket.text for ticket in answer.tickets}

    async def submit(self, address: str, job_id: str, submission: bytes, timeout_s: float) -> str:
        """Store a job through a peer and return the name of the outcome."""

        def call_submit(peer: Any) -> Any:
            return peer.submit(job_id, submission, timeout_s)

        answer = await self._call(address, call_submit, timeout_s + SUBMIT_SLACK_S)
        return answer.end

    async def note_unresolved(self, address: str, job_id: str, timeout_s: float) -> None:
        """Tell a node that the submission of a job through this one has an unknown outcome."""
        await self._call(address, lambda peer: peer.noteUnresolved(job_id), timeout_s)

    async def is_refused(self, address: str, of_address: str, timeout_s: float) -> bool:
        """Return whether `of_address` refuses connections from the peer at `address`."""
        answer = await self._call(address, lambda peer: peer.isRefused(of_address), timeout_s)
        return answer.isRefused

    async def _call(self, address: str, method: Any, timeout_s: float) -> Any:
        return await self._peers.call(address, CELL_SERVICE, _interface, method, timeout_s)
