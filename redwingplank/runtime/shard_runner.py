"""One shard in one process: candidate, owner, and candidate again."""

import asyncio
from collections.abc import Callable

from redwingplank.config import Declarations
from redwingplank.core import log_event, make_logger
from redwingplank.platform import ListedVm
from redwingplank.rpc import NotOwnerError
from redwingplank.runtime.lease_loop import ShardLeaseLoop
from redwingplank.runtime.term_runner import OwnershipRunner, ShardContext
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

MAX_PAYLOAD_BYTES = 256_000


class ShardRunner:
    """Runs terms of ownership of one shard, one after the other.

    Parameters
    ----------
    context : TermContext
        What every term uses.
    ownership : ShardOwnership
        The lease's state.
    make_nonce : callable
        Returns a unique string for each term.
    declarations : Declarations
        In force at the start.
    """

    def __init__(
        self,
        context: ShardContext,
        ownership: ShardOwnership,
        make_nonce: Callable[[], str],
        declarations: Declarations,
    ) -> None:
        self.ownership = ownership
        self.term_runner: OwnershipRunner | None = None
        self._context = context
        self._declarations = declarations
        self._workers: tuple[ListedVm, ...] | None = None
        self._changed = asyncio.Event()
        self._is_stopping = False
        self._lease_loop = ShardLeaseLoop(
            context.store,
            ownership,
            context.shard,
            context.clock,
            make_nonce,
            self._lease_changed,
        )
        self._logger = make_logger("shard")

    @property
    def shard(self) -> str:
        """The shard's name."""
        return self._context.shard

    def known_owner(self) -> OwnerRecord | None:
        """Return the owner as this candidate knows it."""
        return self.ownership.known_owner

    def update_workers(self, workers: tuple[ListedVm, ...]) -> None:
        """Take in the shard's workers, as just listed."""
        self._workers = workers
        if self.term_runner is not None:
            self.term_runner.update_workers(workers)

    def change_declarations(self, declarations: Declarations) -> None:
        """Take in a newer revision; an older one is ignored."""
        if declarations.revision <= self._declarations.revision:
            return
        self._declarations = declarations
        if self.term_runner is not None:
            self.term_runner.change_declarations(declarations)

    async def run(self) -> None:
        """Run terms until cancelled or stopped."""
        lease = asyncio.create_task(self._lease_loop.run())
        try:
            while not self._is_stopping:
                self._changed.clear()
                if self.ownership.term is None:
                    await self._changed.wait()
                    continue
                await self._run_term()
        finally:
            lease.cancel()
            await asyncio.gather(lease, return_exceptions=True)

    async def stop(self, successor: str, within_s: float) -> None:
        """Stop intake, make everything durable and hand the shard over.

        Parameters
        ----------
        successor : str
            Address of the candidate that takes over, empty for any.
        within_s : float
            Bound; what is not durable then is told to callers as unknown.
        """
        self._is_stopping = True
        self._changed.set()
        runner = self.term_runner
        if runner is None:
            return
        self.ownership.begin_stop()
        runner.wake()
        try:
            async with asyncio.timeout(within_s):
                await runner.drain()
        except TimeoutError:
            log_event(self._logger, "stop_cut_short", shard=self.shard)
        runner.end()
        await self._lease_loop.release(successor)
        log_event(self._logger, "shard_handed_over", shard=self.shard, successor=successor)

    # Calls

    async def submit(self, spec: JobSpec) -> SubmitAnswer:
        """Submit a job and return the core's answer.

        Raises
        ------
        NotOwnerError
            Certainly not run.
        CallOutcomeUnknownError
            The shard changed hands meanwhile.
        """
        runner = self._owner()
        if len(spec.payload) > MAX_PAYLOAD_BYTES:
            detail = f"the payload of {len(spec.payload)} bytes is over {MAX_PAYLOAD_BYTES}"
            return SubmitAnswer(0, spec.job_id, SubmitOutcome.REJECTED, detail)
        call_id, future = runner.callers.open_call()
        runner.deliver(SubmitJob(call_id, spec))
        return await future

    async def cancel(self, job_id: str) -> CancelAnswer:
        """Cancel a job; raises as `submit`."""
        runner = self._owner()
        call_id, future = runner.callers.open_call()
        runner.deliver(CancelJob(call_id, job_id))
        return await future

    async def status(
        self, job_id: str, known_version: int, wait_s: float
    ) -> tuple[JobStatus | None, int]:
        """Return a job and its version, once that differs from the known one."""
        runner = self._running()
        core = runner.core
        assert core is not None

        def version() -> int:
            return core.job_version(job_id)

        await runner.callers.wait_for_change(version, known_version, wait_s)
        return core.job_status(job_id, self._context.clock.now_s()), version()

    def explain(self, id: str) -> tuple[str, ...]:
        """Return why a job or task waits or where it ran."""
        core = self._running().core
        assert core is not None
        return core.explain(id, self._context.clock.now_s())

    def summary(self) -> ShardSummary:
        """Return the shard's summary."""
        core = self._running().core
        assert core is not None
        return core.summary(self._context.clock.now_s())

    def drain_vm(self, worker: str, is_draining: bool) -> None:
        """Empty a VM, or end that."""
        self._running().deliver(DrainVm(worker, is_draining))

    # Terms

    async def _run_term(self) -> None:
        term = self.ownership.term
        assert term is not None
        runner = OwnershipRunner(self._context, self.ownership, term, self._declarations)
        self.term_runner = runner
        if self._workers is not None:
            runner.update_workers(self._workers)
        try:
            await runner.run()
        finally:
            self.term_runner = None
        log_event(self._logger, "term_over", shard=self.shard, epoch=term.epoch)
        if not self._is_stopping:
            self.ownership.leave(self._context.clock.now_s())
            self._lease_loop.wake()

    def _lease_changed(self) -> None:
        self._changed.set()
        if self.term_runner is not None:
            self.term_runner.wake()

    def _running(self) -> OwnershipRunner:
        """Return the term's runner once the journal was replayed, or raise `NotOwnerError`."""
        runner = self.term_runner
        mode = self.ownership.mode(self._context.clock.now_s())
        if runner is None or runner.core is None or mode is OwnershipMode.LOST:
            raise self._not_owner()
        return runner

    def _owner(self) -> OwnershipRunner:
        """Return the runner if it may still take work, or raise `NotOwnerError`."""
        if self._is_stopping:
            raise self._not_owner()
        return self._running()

    def _not_owner(self) -> NotOwnerError:
        owner = self.ownership.known_owner
        if owner is None or owner.address == self.ownership.address:
            return NotOwnerError(self.shard)
        return NotOwnerError(self.shard, owner.address, owner.epoch)
