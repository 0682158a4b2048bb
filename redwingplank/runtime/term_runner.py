"""One term of ownership of a shard: replay, adoption, and the tick loop."""

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
from redwingplank.runtime.grants import GrantLoop
from redwingplank.runtime.journal_writer import FencedError, JournalWriter
from redwingplank.runtime.scheduler_core import SchedulerCore, SchedulerFactory
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.runtime.worker_exchanges import WorkerExchanges
from redwingplank.scheduling.journal import JournalBuffer
from redwingplank.scheduling.journal_values import Flush
from redwingplank.scheduling.messages import (
    DeclarationsChanged,
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
    """What every term of a shard uses.

    Parameters
    ----------
    shard : str
        The shard.
    settings : SchedulerProcessSettings
        Of the process.
    store, workers : KeyValueStore, WorkerClient
        The platform.
    clock, unix_clock : Clock
        Monotonic time and wall clock.
    counters : ProcessCounters
        Of the process.
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
    """Runs the decision core from a won election until the term is over.

    Parameters
    ----------
    context : TermContext
        What every term uses.
    ownership : ShardOwnership
        The lease; read at every tick and before every request leaves.
    term : ShardTerm
        The term.
    declarations : Declarations
        In force at the start.
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
        self._context = context
        self._settings = context.settings
        self._ownership = ownership
        self._term = term
        self._keys = ShardKeys(context.shard)
        self._declarations = declarations
        self._inbox: deque[InboxMessage] = deque()
        self._wake = asyncio.Event()
        self._workers: dict[str, ListedVm] = {}
        self._announced: tuple[OwnershipMode, float] | None = None
        self._won_at_s = context.clock.now_s()
        self._adopt_at_s = adopt_from_s(self._won_at_s, context.settings.recovery_settings())
        self._is_over = False
        self._failure: BaseException | None = None
        self._logger = make_logger("shard")
        self._decision_logger = make_logger("decision")

    # Input

    def deliver(self, message: InboxMessage) -> None:
        """Put a message into the inbox of the next tick."""
        self._inbox.append(message)
        self._wake.set()

    def update_workers(self, workers: tuple[ListedVm, ...]) -> None:
        """Take in the shard's workers, as just listed."""
        self._workers = {vm.name: vm for vm in workers}
        self.deliver(VmsListed(workers))
        if self.exchanges is not None and self._context.clock.now_s() >= self._adopt_at_s:
            self.exchanges.adopt_missing(self._workers)

    def change_declarations(self, declarations: Declarations) -> None:
        """Take in a newer revision."""
        if declarations.revision <= self._declarations.revision:
            return
        self._declarations = declarations
        self.deliver(DeclarationsChanged(declarations))
        if self.grants is not None:
            self.grants.update_quotas(declarations)

    def wake(self) -> None:
        """Tick soon."""
        self._wake.set()

    def end(self) -> None:
        """End the term at the next tick."""
        self._is_over = True
        self._wake.set()

    # The term

    async def run(self) -> None:
        """Run until the lease is lost or `end` is called."""
        replayed = await self._replay()
        if replayed is None:
            self.callers.close("the shard was lost during recovery")
            return
        self._start(replayed)
        assert self.writer is not None and self.exchanges is not None and self.grants is not None
        loops = [
            asyncio.create_task(self._write(self.writer)),
            asyncio.create_task(self._adopt_workers(self.exchanges)),
            asyncio.create_task(self.grants.run()),
        ]
        for loop in loops:
            loop.add_done_callback(self._loop_ended)
        try:
            await self._tick_until_over()
            if self._failure is not None:
                raise self._failure
        finally:
            self.callers.close("the shard changed hands: ask its new owner for the outcome")
            ending = [*loops, *self.exchanges.stop()]
            for task in ending:
                task.cancel()
            await asyncio.gather(*ending, return_exceptions=True)

    def _loop_ended(self, loop: asyncio.Task) -> None:
        """End the term when one of its loops fails: nothing may go on without it."""
        if not loop.cancelled() and loop.exception() is not None:
            self._failure = loop.exception()
            self.end()

    async def drain(self) -> None:
        """Return once no caller waits and everything is durable."""
        while self.callers.open_count or (self.writer and self.writer.buffer.has_waiting):
            self._wake.set()
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

    def _start(self, replayed: ReplayedJournal) -> None:
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
            self._committed,
        )
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
            self._superseded,
        )

    # Loops

    async def _write(self, writer: JournalWriter) -> None:
        try:
            await writer.run()
        except FencedError as error:
            log_event(self._logger, "journal_fenced", shard=self._context.shard, reason=error)
            self._superseded()

    async def _adopt_workers(self, exchanges: WorkerExchanges) -> None:
        await asyncio.sleep(max(0.0, self._adopt_at_s - self._context.clock.now_s()))
        while True:
            exchanges.adopt_missing(self._workers)
            await asyncio.sleep(self._settings.adopt_retry_s)

    async def _tick_until_over(self) -> None:
        while not self._is_over:
            self._wake.clear()
            mode = self._mode()
            self._tick(mode)
            if mode is OwnershipMode.LOST:
                return
            await asyncio.sleep(self._settings.tick_every_s)
            if not self._inbox:
                await self._wait(self._settings.idle_tick_s - self._settings.tick_every_s)

    async def _wait(self, longest_s: float) -> None:
        try:
            async with asyncio.timeout(longest_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _tick(self, mode: OwnershipMode) -> None:
        assert self.core is not None
        self._announce(mode)
        inbox = tuple(self._inbox)
        self._inbox.clear()
        outbox = self.core.tick(self._context.clock.now_s(), inbox)
        self._context.counters.increment("shard.ticks")
        self._dispatch(outbox, mode)
        self.callers.notify_changes()

    def _announce(self, mode: OwnershipMode) -> None:
        announced = (mode, self._ownership.valid_until_s)
        if announced == self._announced:
            return
        if self._announced is None or self._announced[0] is not mode:
            log_event(
                self._logger,
                "ownership_changed",
                shard=self._context.shard,
                epoch=self._term.epoch,
                mode=mode,
            )
        self._announced = announced
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

    def _committed(self, flush: Flush) -> None:
        if flush.last_sequence:
            self.deliver(JournalCommitted(flush.last_sequence))

    def _superseded(self) -> None:
        self._ownership.superseded()
        self._wake.set()

    def _mode(self) -> OwnershipMode:
        return self._ownership.mode(self._context.clock.now_s())
