"""Log lines of submissions, with their course where that is not the usual one."""

import asyncio

from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.copy_record import CopyRecord
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.submission_trace import (
    DecidingCause,
    PeerRecord,
    PeerResult,
    SubmissionTrace,
)

__all__ = ["describe_submission", "log_interrupted", "log_submission"]

_NOT_ASKED = (PeerResult.BREAKER_OPEN, PeerResult.NO_TIME_LEFT)
_ACCEPTED = SubmitOutcome.ACCEPTED.name.lower()


def log_submission(
    context: NodeContext,
    event: str,
    fields: dict[str, str],
    outcome: str,
    reason: str,
    trace: SubmissionTrace,
) -> None:
    """Log a submission that has ended.

    Parameters
    ----------
    context : NodeContext
        Provides the log.
    event : str
        Name of the event.
    fields : dict
        First fields of the line, among them the job.
    outcome : str
        Name of the outcome, lower case.
    reason : str
        Reason of the outcome.
    trace : SubmissionTrace
        Its course, which is left out if its first call was answered and stored the job.
    """
    is_accepted = outcome == _ACCEPTED
    course = {} if is_accepted and trace.is_plain else describe_submission(trace)
    age_s = now_s() - trace.started_s
    log = context.log if is_accepted else context.log_refusal
    log(event, **fields, outcome=outcome, reason=reason, age_s=age_s, **course)


def log_interrupted(
    context: NodeContext,
    event: str,
    fields: dict[str, str],
    error: BaseException,
    trace: SubmissionTrace,
) -> str:
    """Log a submission that ended without an outcome, and return how: `cancelled` or `failed`.

    What it did may have taken effect. Parameters are those of `log_submission`.
    """
    is_cancelled = isinstance(error, asyncio.CancelledError)
    cause = DecidingCause.CANCELLED if is_cancelled else DecidingCause.FAILED
    trace.decide(cause)
    outcome = cause.name.lower()
    log_submission(context, event, fields, outcome, type(error).__name__, trace)
    return outcome


def describe_submission(trace: SubmissionTrace) -> dict[str, str]:
    """Return the log fields of a submission, all times in seconds since it began.

    Addresses, ports, times and results only: neither keys nor parts of the job.
    """
    fields = {"cause": trace.cause.name.lower()}
    if trace.decided_by:
        fields["decided_by"] = trace.decided_by
    if trace.copies:
        fields["copies"] = "; ".join(_describe_copy(copy, trace) for copy in trace.copies)
    if trace.peers:
        fields["peers"] = "; ".join(_describe_peer(peer, trace) for peer in trace.peers)
    return fields


def _describe_copy(copy: CopyRecord, trace: SubmissionTrace) -> str:
    words = [f"at {copy.sent_s - trace.started_s:.3f}", f"took {copy.ended_s - copy.sent_s:.3f}"]
    if copy.local_port:
        words.append(f"port {copy.local_port} {'kept' if copy.is_kept else 'new'}")
    words.append(f"wrote {copy.body_bytes}" if copy.is_writing else "wrote none")
    words.append(copy.result.name.lower())
    if copy.status:
        words.append(str(copy.status))
    if copy.error:
        words.append(copy.error)
    return " ".join(words)


def _describe_peer(peer: PeerRecord, trace: SubmissionTrace) -> str:
    words = [peer.address, f"at {peer.asked_s - trace.started_s:.3f}"]
    if peer.result not in _NOT_ASKED:
        words.append(f"took {peer.ended_s - peer.asked_s:.3f}")
    words.append(peer.result.name.lower())
    if peer.error:
        words.append(peer.error)
    return " ".join(words)
