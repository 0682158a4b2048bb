"""Runs one shard in one process, which alternates between candidate and owner."""

import asyncio
from collections.abc import Callable

from redwingplank.config import Declarations
from redwingplank.core import log_event, make_logger
from redwingplank.platform import ListedVm
from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError
from redwingplank.runtime.lease_loop import ShardLeaseLoop
from redwingplank.runtime.ownership_runner import OwnershipRunner, ShardContext
from redwingplank.scheduling.messages import (
    CancelAnswer,
    CancelJob,
    DrainVm,
    JobSpec,
    JobStatus,
    OwnershipMode,
    SubmitAnswer,
    SubmitJob,
    SubmitOutcome,
)
from redwingplank.scheduling.ownership import OwnerRecord, ShardOwnership
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["MAX_PAYLOAD_BYTES", "ShardRunner"]

ACCEPTANCE_WAIT_S = 2.0
"""Longest wait for the record of a job that is asked for; entries wait for 3 s."""
MAX_PAYLOAD_BYTES = 256_000  # a journal record holds the payload


class ShardRunner:
    """Runs the shard whenever this process owns it, one epoch after the other.

    Parameters
    ----------
    context : ShardContext
        Settings and clients that all epochs of the shard share.
    ownership : ShardOwnership
        State of the ownership lease.
    make_nonce : callable
        Returns a unique string for each ownership.
    declarations : Declarations
        Declarations in force at the start.
    """

    def __init__(
        self,
        context: ShardContext,
        ownership: ShardOwnership,
        make_nonce: Callable[[], str],
        declarations: Declarations,
    ) -> None:
        self.ownership = ownership
        self.ownership_runner: OwnershipRunner | None = None
        self._context = context
        self._declarations = declarations
        self._workers: tuple[ListedVm, ...] | None = None
        self._changed = asyncio.Event()
        self._is_stopping = False
        self._is_handed_over = False
        self._lease_loop = ShardLeaseLoop(
            context.store,
            ownership,
            context.shard,
            context.clock,
            make_nonce,
            self._on_lease_changed,
        )
        self._logger = make_logger("shard")

    @property
    def shard(self) -> str:
        """The shard's name."""
        return self._context.shard

    def known_owner(self) -> OwnerRecord | None:
        """Return the shard's owner as last read by this candidate, None if there is none."""
        return self.ownership.known_owner

    def is_only_owner(self) -> bool:
        """Return whether it is certain that this process alone owns the shard.

        During a planned stop that is so until the shard is handed over.
        """
        now_s = self._context.clock.now_s()
        mode = self.ownership.mode(now_s)
        if mode is OwnershipMode.STOPPING:
            return now_s < self.ownership.valid_until_s and not self._is_handed_over
        return mode is OwnershipMode.OWNING

    def update_workers(self, workers: tuple[ListedVm, ...]) -> None:
        """Apply the platform's latest list of the shard's workers."""
        self._workers = workers
        if self.ownership_runner is not None:
            self.ownership_runner.update_workers(workers)

    def change_declarations(self, declarations: Declarations) -> None:
        """Apply a newer revision of the declarations; an older one is ignored."""
        if declarations.revision <= self._declarations.revision:
            return
        self._declarations = declarations
        if self.ownership_runner is not None:
            self.ownership_runner.change_declarations(declarations)

    async def run(self) -> None:
        """Run as candidate and owner until cancelled or stopped."""
        lease = asyncio.create_task(self._lease_loop.run())
        try:
            while not self._is_stopping:
                self._changed.clear()
                if self.ownership.term is None:
                    await self._changed.wait()
                    continue
                await self._run_ownership()
        finally:
            lease.cancel()
            await asyncio.gather(lease, return_exceptions=True)

    async def stop(self, successor: str, within_s: float) -> None:
        """Reject new work, flush the journal and hand the shard over.

        Parameters
        ----------
        successor : str
            Address of the candidate that is to take over, empty for any candidate.
        within_s : float
            Seconds to wait for callers and the journal; callers whose changes are not durable by
            then are told that the outcome is unknown.
        """
        self._is_stopping = True
        self._changed.set()
        runner = self.ownership_runner
        if runner is None:
            return
        self.ownership.begin_stop()
        runner.wake()
        try:
            async with asyncio.timeout(within_s):
                await runner.drain()
        except TimeoutError:
            log_event(self._logger, "stop_cut_short", shard=self.shard)
        self._is_handed_over = True
        runner.end()
        await self._lease_loop.release(successor)
        log_event(self._logger, "shard_handed_over", shard=self.shard, successor=successor)

    # Calls of clients

    async def submit(self, spec: JobSpec) -> SubmitAnswer:
        """Submit a job and return the core's answer.

        Raises
        ------
        NotOwnerError
            If this process does not own the shard, or may have been replaced and does not know
            whether the job exists; this call certainly submitted nothing.
        CallOutcomeUnknownError
            If the ownership ended before the answer; the job may have been accepted.
        """
        runner = self._require_owner()
        if len(spec.payload) > MAX_PAYLOAD_BYTES:
            detail = f"the payload of {len(spec.payload)} bytes is over {MAX_PAYLOAD_BYTES}"
            return SubmitAnswer(0, spec.job_id, SubmitOutcome.REJECTED, detail)
        call_id, future = runner.callers.open_call()
        runner.deliver(SubmitJob(call_id, spec))
        answer: SubmitAnswer = await future
        if answer.outcome is SubmitOutcome.REJECTED:
            self._check_only_owner()
        return answer

    async def cancel(self, job_id: str) -> CancelAnswer:
        """Cancel a job; raises the same errors as `submit`."""
        runner = self._require_owner()
        call_id, future = runner.callers.open_call()
        runner.deliver(CancelJob(call_id, job_id))
        answer: CancelAnswer = await future
        if not answer.is_known:
            self._check_only_owner()
        return answer

    async def status(
        self, job_id: str, known_version: int, wait_s: float
    ) -> tuple[JobStatus | None, int]:
        """Return a job and its version once it differs from the known one, or after `wait_s`.

        Raises
        ------
        NotOwnerError
            If this process does not own the shard, or does not know the job and may have been
            replaced by an owner that does.
        CallOutcomeUnknownError
            If the store does not take the record of the job's acceptance in time.
        """
        runner = self._require_running()
        core = runner.core
        assert core is not None

        def version() -> int:
            return core.job_version(job_id)

        await runner.callers.wait_for_change(version, known_version, wait_s)
        status = core.job_status(job_id, self._context.clock.now_s())
        if status is None and version():
            await runner.callers.wait_for_change(version, version(), ACCEPTANCE_WAIT_S)
            status = core.job_status(job_id, self._context.clock.now_s())
        if status is None and version():
            raise CallOutcomeUnknownError(f"the acceptance of job {job_id} is not durable yet")
        if status is None:
            self._check_only_owner()
        return status, version()

    def explain(self, id: str) -> tuple[str, ...]:
        """Return why a job or task waits or where it ran, as lines of text."""
        core = self._require_running().core
        assert core is not None
        return core.explain(id, self._context.clock.now_s())

    def summary(self) -> ShardSummary:
        """Return the shard's summary."""
        core = self._require_running().core
        assert core is not None
        return core.summary(self._context.clock.now_s())

    async def drain_vm(self, worker: str, is_draining: bool) -> None:
        """Start to drain a VM, or end its draining; return once the command is durable.

        Raises the same errors as `submit`.
        """
        await self._require_owner().drain_vm(DrainVm(worker, is_draining))

    # Ownership

    async def _run_ownership(self) -> None:
        term = self.ownership.term
        assert term is not None
        runner = OwnershipRunner(self._context, self.ownership, term, self._declarations)
        self.ownership_runner = runner
        if self._workers is not None:
            runner.update_workers(self._workers)
        try:
            await runner.run()
        finally:
            self.ownership_runner = None
        log_event(self._logger, "term_over", shard=self.shard, epoch=term.epoch)
        if not self._is_stopping:
            self.ownership.leave(self._context.clock.now_s())
            self._lease_loop.wake()

    def _on_lease_changed(self) -> None:
        self._changed.set()
        if self.ownership_runner is not None:
            self.ownership_runner.wake()

    def _require_running(self) -> OwnershipRunner:
        """Return the owner's runner if the journal was replayed, or raise `NotOwnerError`."""
        runner = self.ownership_runner
        mode = self.ownership.mode(self._context.clock.now_s())
        if runner is None or runner.core is None or mode is OwnershipMode.LOST:
            raise self._make_not_owner_error()
        return runner

    def _require_owner(self) -> OwnershipRunner:
        """Return the owner's runner if it may accept work, or raise `NotOwnerError`."""
        if self._is_stopping:
            raise self._make_not_owner_error()
        return self._require_running()

    def _check_only_owner(self) -> None:
        """Raise `NotOwnerError` if another process may own the shard.

        Another owner may know jobs that this one does not know.
        """
        if not self.is_only_owner():
            raise self._make_not_owner_error()

    def _make_not_owner_error(self) -> NotOwnerError:
        owner = self.ownership.known_owner
        if owner is None or owner.address == self.ownership.address:
            return NotOwnerError(self.shard)
        return NotOwnerError(self.shard, owner.address, owner.epoch)
