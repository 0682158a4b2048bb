"""Stores a job through a peer, for a node that cannot store it itself."""

import asyncio

from redwingplank.cell.circuit_breaker import CircuitBreaker
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.cell.submission import MIN_CALL_TIME_S, SubmitOutcome
from redwingplank.cell.submission_trace import PeerRecord, PeerResult, SubmissionTrace
from redwingplank.cell.system_entries import NodeEntry
from redwingplank.core import choose_by_rendezvous
from redwingplank.rpc.errors import PeerUnreachableError, RpcError

__all__ = ["PeerSubmission"]

PEER_TIMEOUT_S = 0.7
"""Equal to the time-out of this node's own attempt, because the peer makes the same call."""
REPORT_TIMEOUT_S = 0.3
"""Nodes answer each other within milliseconds; callers come back no sooner."""
DOMAIN_OPEN_S = 0.5
"""Time for which the nodes of a failure domain are not asked after one of them has failed. A store
that comes back is used again after at most this time."""


class PeerSubmission:
    """Asks peers to store jobs, and skips failure domains whose nodes failed a short time ago.

    A call to a node that was cut off ends without an answer, and the job may then be stored.
    Without the call, the refusal is certain and the caller may come back at once.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the current owner and the live nodes.
    """

    def __init__(self, context: NodeContext, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._breakers_by_domain: dict[str, CircuitBreaker] = {}

    async def store(
        self,
        job_id: str,
        submission: bytes,
        deadline_s: float,
        outcome: SubmitOutcome,
        trace: SubmissionTrace | None = None,
    ) -> tuple[SubmitOutcome, str]:
        """Ask peers to store a job; return the result and its reason.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        submission : bytes
            The job in its stored form.
        deadline_s : float
            Time until which the caller waits, on the clock of `now_s`.
        outcome : SubmitOutcome
            Result of this node's own attempt. Unless a peer stores the job, an unknown result
            stays unknown.
        trace : SubmissionTrace, optional
            Records what each peer was asked and answered.
        """
        if trace is None:
            trace = SubmissionTrace(now_s())
        reason = "no_peer_to_ask"
        for peer in self._peers_to_try(job_id):
            timeout_s = min(PEER_TIMEOUT_S, deadline_s - now_s() - MIN_CALL_TIME_S)
            if timeout_s <= 0:
                trace.record_peer(_make_unasked(peer, PeerResult.NO_TIME_LEFT))
                break
            breaker = self._breakers_by_domain.setdefault(
                peer.failure_domain, CircuitBreaker(DOMAIN_OPEN_S)
            )
            if not breaker.allow(now_s()):
                trace.record_peer(_make_unasked(peer, PeerResult.BREAKER_OPEN))
                continue
            reason = "no_peer_stored_it"
            peer_outcome = await self._ask(peer, breaker, job_id, submission, timeout_s, trace)
            if peer_outcome is SubmitOutcome.ACCEPTED:
                trace.decide_by_peer()
                return SubmitOutcome.ACCEPTED, "stored_by_peer"
            if peer_outcome is SubmitOutcome.UNKNOWN:
                if outcome is not SubmitOutcome.UNKNOWN:
                    trace.decide_by_peer()
                outcome = SubmitOutcome.UNKNOWN
        return outcome, reason

    async def report_unresolved(self, job_id: str) -> None:
        """Tell all live nodes that the outcome of a submission is unknown.

        The caller may come to any of them next, and a refusal would tell it that the job never
        runs. Nodes that do not answer are not told.
        """
        own_address = self._context.settings.peer_address
        addresses = {entry.address for entry in self._membership.nodes_by_name.values()}
        await asyncio.gather(
            *(self._report_to(address, job_id) for address in addresses - {own_address})
        )

    async def _report_to(self, address: str, job_id: str) -> None:
        try:
            await self._context.calls.note_unresolved(address, job_id, REPORT_TIMEOUT_S)
        except RpcError as error:
            self._context.log("peer_unreachable", address=address, error=error)

    async def _ask(
        self,
        peer: NodeEntry,
        breaker: CircuitBreaker,
        job_id: str,
        submission: bytes,
        timeout_s: float,
        trace: SubmissionTrace,
    ) -> SubmitOutcome:
        outcome = SubmitOutcome.UNKNOWN
        result, detail, asked_s = PeerResult.CANCELLED, "", now_s()
        try:
            name = await self._context.calls.submit(peer.address, job_id, submission, timeout_s)
            outcome = SubmitOutcome[name]
            result = PeerResult[name]
        except PeerUnreachableError as error:
            self._context.log("peer_unreachable", address=peer.address, error=error)
            outcome = SubmitOutcome.NOT_RUN
            result, detail = PeerResult.UNREACHABLE, type(error).__name__
        except RpcError as error:
            self._context.log("peer_unreachable", address=peer.address, error=error)
            result, detail = PeerResult.NO_ANSWER, type(error).__name__
        finally:
            trace.record_peer(PeerRecord(peer.address, asked_s, now_s(), result, detail))
            if outcome is SubmitOutcome.ACCEPTED:
                breaker.record_success()
            else:
                breaker.record_failure(now_s())
        return outcome

    def _peers_to_try(self, job_id: str) -> list[NodeEntry]:
        """Return the owner, which reached the store recently, and a node of another domain."""
        owner = self._membership.owner
        own_address = self._context.settings.peer_address
        by_address = {
            entry.address: entry
            for entry in self._membership.nodes_by_name.values()
            if entry.address != own_address
        }
        chosen = []
        if owner is not None and owner.address in by_address:
            chosen.append(by_address.pop(owner.address))
        tried_domains = {entry.failure_domain for entry in chosen}
        others = [
            address
            for address, entry in by_address.items()
            if entry.failure_domain not in tried_domains
        ]
        other = choose_by_rendezvous(job_id, others or by_address)
        if other is not None:
            chosen.append(by_address[other])
        return chosen


def _make_unasked(peer: NodeEntry, result: PeerResult) -> PeerRecord:
    return PeerRecord(peer.address, now_s(), now_s(), result)
