"""Runs a shard during one epoch of its ownership: replay, adoption of workers and the tick loop."""

import asyncio
from collections import deque
from dataclasses import dataclass

from redwingplank.config import Declarations
from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import (
    KeyValueStore,
    ListedVm,
    PlatformError,
    WorkerClient,
)
from redwingplank.runtime.callers import CallerTable
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.runtime.drain_commands import DrainCommands
from redwingplank.runtime.grants import GrantLoop
from redwingplank.runtime.journal_writer import FencedError, JournalWriter
from redwingplank.runtime.scheduler_core import SchedulerCore, SchedulerFactory
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.runtime.worker_exchanges import WorkerExchanges
from redwingplank.scheduling.journal import JournalBuffer
from redwingplank.scheduling.journal_values import Flush
from redwingplank.scheduling.messages import (
    DeclarationsChanged,
    DrainVm,
    GrantWanted,
    InboxMessage,
    JournalCommitted,
    Outbox,
    OwnershipChanged,
    OwnershipMode,
    RecoveredState,
    VmsListed,
)
from redwingplank.scheduling.ownership import ShardKeys, ShardOwnership, ShardTerm
from redwingplank.scheduling.recovery import (
    ReplayedJournal,
    adopt_from_s,
    make_recovered_state,
    replay_journal,
)

__all__ = ["OwnershipRunner", "ShardContext"]

REPLAY_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class ShardContext:
    """Settings and clients that all epochs of a shard's ownership share.

    Parameters
    ----------
    shard : str
        Name of the shard.
    settings : SchedulerProcessSettings
        Settings of the process.
    store, workers : KeyValueStore, WorkerClient
        Clients of the platform.
    clock, unix_clock : Clock
        Monotonic clock and wall clock.
    counters : ProcessCounters
        Counters of the process.
    make_core : callable
        Builds the decision core.
    """

    shard: str
    settings: SchedulerProcessSettings
    store: KeyValueStore
    workers: WorkerClient
    clock: Clock
    unix_clock: Clock
    counters: ProcessCounters
    make_core: SchedulerFactory


class OwnershipRunner:
    """Runs the decision core from a won election until the ownership is over.

    Parameters
    ----------
    context : ShardContext
        Settings and clients that all epochs of the shard share.
    ownership : ShardOwnership
        State of the lease, which is checked at every tick and before every request is sent.
    term : ShardTerm
        Epoch and nonce of this ownership.
    declarations : Declarations
        Declarations in force at the start.
    """

    def __init__(
        self,
        context: ShardContext,
        ownership: ShardOwnership,
        term: ShardTerm,
        declarations: Declarations,
    ) -> None:
        self.callers = CallerTable()
        self.core: SchedulerCore | None = None
        self.writer: JournalWriter | None = None
        self.exchanges: WorkerExchanges | None = None
        self.grants: GrantLoop | None = None
        self.drain_commands: DrainCommands | None = None
        self._context = context
        self._settings = context.settings
        self._ownership = ownership
        self._term = term
        self._keys = ShardKeys(context.shard)
        self._declarations = declarations
        self._inbox: deque[InboxMessage] = deque()
        self._wake_event = asyncio.Event()
        self._workers: dict[str, ListedVm] = {}
        self._reported_ownership: tuple[OwnershipMode, float] | None = None
        self._won_at_s = context.clock.now_s()
        self._adopt_at_s = adopt_from_s(self._won_at_s, context.settings.recovery_settings())
        self._is_over = False
        self._failure: BaseException | None = None
        self._logger = make_logger("shard")
        self._decision_logger = make_logger("decision")

    # Input

    def deliver(self, message: InboxMessage) -> None:
        """Append a message to the inbox of the next tick."""
        self._inbox.append(message)
        self._wake_event.set()

    def update_workers(self, workers: tuple[ListedVm, ...]) -> None:
        """Apply the platform's latest list of the shard's workers."""
        self._workers = {vm.name: vm for vm in workers}
        self.deliver(VmsListed(workers))
        if self.exchanges is not None and self._context.clock.now_s() >= self._adopt_at_s:
            self.exchanges.adopt_missing(self._workers)

    def change_declarations(self, declarations: Declarations) -> None:
        """Apply a newer revision of the declarations; an older one is ignored."""
        if declarations.revision <= self._declarations.revision:
            return
        self._declarations = declarations
        self.deliver(DeclarationsChanged(declarations))
        if self.grants is not None:
            self.grants.update_quotas(declarations)

    async def drain_vm(self, command: DrainVm) -> None:
        """Start or end the draining of a VM; return once the command is durable."""
        assert self.writer is not None and self.drain_commands is not None
        answer = self.drain_commands.store(command)
        self.writer.wake()
        self.deliver(command)
        await answer

    def wake(self) -> None:
        """Run the next tick without waiting for the idle interval."""
        self._wake_event.set()

    def end(self) -> None:
        """End the ownership before the next tick."""
        self._is_over = True
        self._wake_event.set()

    # Start and end of the ownership

    async def run(self) -> None:
        """Run until the lease is lost, `end` is called or a loop fails."""
        replayed = await self._replay()
        if replayed is None:
            self.callers.close("the shard was lost during recovery")
            return
        self._start_owning(replayed)
        assert self.writer is not None and self.exchanges is not None and self.grants is not None
        loops = [
            asyncio.create_task(self._run_writer(self.writer)),
            asyncio.create_task(self._adopt_workers(self.exchanges)),
            asyncio.create_task(self.grants.run()),
        ]
        for loop in loops:
            loop.add_done_callback(self._on_loop_done)
        try:
            await self._tick_until_over()
            if self._failure is not None:
                raise self._failure
        finally:
            self.callers.close("the shard changed hands: ask its new owner for the outcome")
            tasks_to_cancel = [*loops, *self.exchanges.stop()]
            for task in tasks_to_cancel:
                task.cancel()
            await asyncio.gather(*tasks_to_cancel, return_exceptions=True)

    def _on_loop_done(self, loop: asyncio.Task) -> None:
        """End the ownership when one of its loops fails; the others must not run without it."""
        if not loop.cancelled() and loop.exception() is not None:
            self._failure = loop.exception()
            self.end()

    async def drain(self) -> None:
        """Return once no caller waits and all journal records are durable."""
        while self.callers.open_count or (self.writer and self.writer.buffer.has_waiting):
            self._wake_event.set()
            await asyncio.sleep(self._settings.tick_every_s)

    async def _replay(self) -> ReplayedJournal | None:
        while self._mode() is not OwnershipMode.LOST and not self._is_over:
            try:
                result = await self._context.store.range(self._keys.journal)
            except PlatformError as error:
                log_event(self._logger, "replay_delayed", shard=self._context.shard, reason=error)
                await asyncio.sleep(REPLAY_RETRY_S)
            else:
                return replay_journal(result.entries, self._keys.journal)
        return None

    def _start_owning(self, replayed: ReplayedJournal) -> None:
        context, now_s = self._context, self._context.clock.now_s()
        recovery = self._settings.recovery_settings()
        recovered = make_recovered_state(replayed.image, self._term.epoch, self._won_at_s, recovery)
        self.core = context.make_core(recovered, self._declarations, now_s)
        buffer = JournalBuffer(
            self._keys.journal,
            self._term.nonce,
            replayed.image,
            replayed.position,
            self._settings.journal,
        )
        self.writer = JournalWriter(
            context.store,
            self._keys,
            self._term,
            buffer,
            context.clock,
            context.unix_clock,
            context.counters,
            self._on_committed,
        )
        self.drain_commands = DrainCommands(buffer, self.callers)
        for command in self.drain_commands.stored():
            self.deliver(command)
        self.exchanges = self._make_exchanges(recovered)
        self.grants = GrantLoop(
            context.store,
            context.shard,
            self._term,
            context.clock,
            context.unix_clock,
            self.core.reserved_by,
            self.deliver,
        )
        self.grants.update_quotas(self._declarations)
        log_event(
            self._logger,
            "shard_recovered",
            shard=context.shard,
            epoch=self._term.epoch,
            jobs=len(recovered.jobs),
            sequence=recovered.last_sequence,
        )

    def _make_exchanges(self, recovered: RecoveredState) -> WorkerExchanges:
        context = self._context
        return WorkerExchanges(
            context.workers,
            self._ownership,
            self._settings,
            recovered.epoch,
            recovered.fence_at_s,
            context.clock,
            context.unix_clock,
            context.counters,
            self.deliver,
            self._on_superseded,
        )

    # Loops

    async def _run_writer(self, writer: JournalWriter) -> None:
        try:
            await writer.run()
        except FencedError as error:
            log_event(self._logger, "journal_fenced", shard=self._context.shard, reason=error)
            self._on_superseded()

    async def _adopt_workers(self, exchanges: WorkerExchanges) -> None:
        await asyncio.sleep(max(0.0, self._adopt_at_s - self._context.clock.now_s()))
        while True:
            exchanges.adopt_missing(self._workers)
            await asyncio.sleep(self._settings.adopt_retry_s)

    async def _tick_until_over(self) -> None:
        while not self._is_over:
            self._wake_event.clear()
            mode = self._mode()
            self._tick(mode)
            if mode is OwnershipMode.LOST:
                return
            await asyncio.sleep(self._settings.tick_every_s)
            if not self._inbox:
                await self._wait_for_wake(self._settings.idle_tick_s - self._settings.tick_every_s)

    async def _wait_for_wake(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake_event.wait()
        except TimeoutError:
            return

    def _tick(self, mode: OwnershipMode) -> None:
        assert self.core is not None
        self._report_ownership(mode)
        inbox = tuple(self._inbox)
        self._inbox.clear()
        outbox = self.core.tick(self._context.clock.now_s(), inbox)
        self._context.counters.increment("shard.ticks")
        self._dispatch(outbox, mode)
        self.callers.notify_changes()

    def _report_ownership(self, mode: OwnershipMode) -> None:
        ownership = (mode, self._ownership.valid_until_s)
        if ownership == self._reported_ownership:
            return
        if self._reported_ownership is None or self._reported_ownership[0] is not mode:
            log_event(
                self._logger,
                "ownership_changed",
                shard=self._context.shard,
                epoch=self._term.epoch,
                mode=mode,
            )
        self._reported_ownership = ownership
        message = OwnershipChanged(mode, self._term.epoch, self._ownership.valid_until_s)
        self._inbox.appendleft(message)

    def _dispatch(self, outbox: Outbox, mode: OwnershipMode) -> None:
        assert self.writer is not None and self.exchanges is not None and self.grants is not None
        if mode is not OwnershipMode.LOST:
            if outbox.records:
                self.writer.buffer.add_records(outbox.records)
                self.writer.wake()
            self.exchanges.queue_requests(outbox.requests_by_worker)
            self.exchanges.request_inventories(outbox.inventories_wanted)
        for message in outbox.messages:
            if isinstance(message, GrantWanted):
                self.grants.request_grant(message)
            else:
                self.callers.resolve_call(message)
        for decision in outbox.decisions:
            self._decision_logger.info(decision)

    def _on_committed(self, flush: Flush) -> None:
        assert self.drain_commands is not None
        if flush.last_sequence:
            self.deliver(JournalCommitted(flush.last_sequence))
        self.drain_commands.on_committed(flush)

    def _on_superseded(self) -> None:
        self._ownership.superseded()
        self._wake_event.set()

    def _mode(self) -> OwnershipMode:
        return self._ownership.mode(self._context.clock.now_s())
