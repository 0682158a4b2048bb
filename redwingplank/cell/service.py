"""The RPC service that a node offers to the other nodes of its cell."""

from collections.abc import Awaitable, Callable
from typing import Any

from redwingplank.batch.model import StepKey
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.owner import OwnerRuntime
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.submission_lines import log_interrupted, log_submission
from redwingplank.cell.submission_trace import SubmissionTrace
from redwingplank.platform.site.advice import AdviceBusyError
from redwingplank.platform.site.http import SiteError
from redwingplank.rpc.peers import is_refused
from redwingplank.rpc.schema import load_schema

__all__ = ["CellService"]

StoreJob = Callable[[str, bytes, float, SubmissionTrace], Awaitable[tuple[SubmitOutcome, str]]]

_CellServer: Any = load_schema("cell").Cell.Server


class CellService(_CellServer):
    """Handles the calls of other nodes.

    Method and argument names are those of the message schema.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    find_owner : callable
        Returns the owner that runs in this process, or None if there is none or it has not yet
        read the stored jobs.
    store_job : callable
        Stores a job on behalf of another node; called with job id, encoded submission, timeout in
        seconds, and the trace that records the course of the call.
    note_unresolved : callable
        Called with the id of a job whose submission through another node has an unknown outcome.
    """

    def __init__(
        self,
        context: NodeContext,
        find_owner: Callable[[], OwnerRuntime | None],
        store_job: StoreJob,
        note_unresolved: Callable[[str], None],
    ) -> None:
        self._store_job = store_job
        self._note_unresolved = note_unresolved
        self._context = context
        self._find_owner = find_owner

    async def jobState(self, jobId: str, _context: Any, **_: Any) -> tuple[bool, str]:
        owner = self._find_owner()
        state = owner.job_state(jobId) if owner else None
        return owner is not None, state or ""

    async def cancel(
        self, jobId: str, _context: Any, **_: Any
    ) -> tuple[bool, bool, bool, int, str]:
        return await self._cancel(jobId, None)

    async def _cancel(
        self, job_id: str, visible_to: str | None
    ) -> tuple[bool, bool, bool, int, str]:
        owner = self._find_owner()
        if owner is None:
            return False, False, False, 0, ""
        answer = await owner.cancel(job_id, visible_to)
        return True, answer.is_known, answer.is_stored, answer.term, answer.state

    async def jobStateFor(
        self, jobId: str, organisation: str, _context: Any, **_: Any
    ) -> tuple[bool, str]:
        owner = self._find_owner()
        state = owner.job_state(jobId, organisation) if owner else None
        return owner is not None, state or ""

    async def cancelFor(
        self, jobId: str, organisation: str, _context: Any, **_: Any
    ) -> tuple[bool, bool, bool, int, str]:
        return await self._cancel(jobId, organisation)

    async def pending(self, queue: str, _context: Any, **_: Any) -> tuple[bool, int]:
        owner = self._find_owner()
        return owner is not None, owner.pending(queue) if owner else 0

    async def advise(
        self,
        jobId: str,
        occurrence: int,
        step: int,
        workers: Any,
        timeoutS: float,
        _context: Any,
        **_: Any,
    ) -> tuple[bool, list[dict[str, str]]]:
        key = StepKey(jobId, occurrence, step)
        try:
            tickets = await self._context.advice.ask(key, list(workers), timeoutS)
        except (AdviceBusyError, SiteError) as error:
            self._context.log("advice_failed", job=jobId, error=repr(error))
            return False, []
        return True, [{"worker": worker, "text": text} for worker, text in tickets.items()]

    async def noteUnresolved(self, jobId: str, _context: Any, **_: Any) -> None:
        self._note_unresolved(jobId)

    async def isRefused(self, address: str, _context: Any, **_: Any) -> bool:
        return await is_refused(address)

    async def submit(
        self,
        jobId: str,
        submission: bytes,
        timeoutS: float,
        _context: Any,
        **_: Any,
    ) -> str:
        trace = SubmissionTrace(now_s())
        fields = {"job": jobId}
        try:
            outcome, reason = await self._store_job(jobId, bytes(submission), timeoutS, trace)
        except BaseException as error:
            log_interrupted(self._context, "submit_for_peer", fields, error, trace)
            raise
        name = outcome.name.lower()
        log_submission(self._context, "submit_for_peer", fields, name, reason, trace)
        return outcome.name
