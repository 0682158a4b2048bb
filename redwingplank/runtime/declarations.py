"""Follows the declarations in force: watch, pulls, polls and announcements of one node."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from contextlib import aclosing, suppress
from typing import Any

import logbook
import numpy as np
import xxhash

from redwingplank.config import Declarations
from redwingplank.config.replica import Delta, MergeOutcome
from redwingplank.config.spread import (
    Announce,
    CloseWatch,
    DeclarationSpread,
    OpenWatch,
    PeerView,
    Pull,
    ReadAll,
    ReadHead,
    SpreadAction,
    SpreadTiming,
)
from redwingplank.config.stored import HEAD_KEY, LIVE_PREFIX, decode_live_set
from redwingplank.core import Clock, RedwingError, log_event, make_logger
from redwingplank.platform import KeyValueStore

__all__ = ["DeclarationPeers", "DeclarationsFollower"]

STEP_S = 0.25

_logger = make_logger("declarations")


class DeclarationPeers(ABC):
    """What a follower needs of the other nodes."""

    @abstractmethod
    def view(self, now_s: float) -> PeerView:
        """Return the live peers and their revisions."""

    @abstractmethod
    async def announce(self, address: str, revision: int) -> None:
        """Tell a peer the revision in force here; raises `RedwingError`."""

    @abstractmethod
    async def pull(self, address: str, after_revision: int) -> Delta:
        """Ask a peer for what changed after a revision; raises `RedwingError`."""

    @abstractmethod
    def note_store(self, is_reached: bool) -> None:
        """Take whether a call reached the store."""


class _NoPeers(DeclarationPeers):
    def view(self, now_s: float) -> PeerView:
        return PeerView()

    async def announce(self, address: str, revision: int) -> None:
        """Nobody listens."""

    async def pull(self, address: str, after_revision: int) -> Delta:
        raise RedwingError("there is no peer to pull from; give peers")

    def note_store(self, is_reached: bool) -> None:
        """Nobody asks."""


class DeclarationsFollower:
    """Keeps the newest declarations that this node can learn of.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store; a `BudgetedStore` in the programs.
    peers : DeclarationPeers or None
        The other nodes; None where there are none.
    on_change : callable
        Called with each new set of declarations, in the order of the revisions.
    clock : Clock
        Present time.
    name : str
        This node's name.
    seed : int
        Of jitter; 0 takes one from the name.
    timing : SpreadTiming, optional
        Times.
    """

    def __init__(
        self,
        store: KeyValueStore,
        peers: DeclarationPeers | None,
        on_change: Callable[[Declarations], None],
        clock: Clock,
        *,
        name: str = "",
        seed: int = 0,
        timing: SpreadTiming | None = None,
    ) -> None:
        self._store = store
        self._peers = peers or _NoPeers()
        self._on_change = on_change
        self._clock = clock
        generator = np.random.default_rng(seed or xxhash.xxh64_intdigest(name.encode()))
        if timing is None:
            timing = SpreadTiming() if peers else SpreadTiming(settle_s=0.0, peer_first_s=0.0)
        self._spread = DeclarationSpread(name, generator, timing)
        self._wake = asyncio.Event()
        self._changed = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def current(self) -> Declarations:
        """The declarations in force at this node."""
        return self._spread.replica.declarations

    @property
    def revision(self) -> int:
        """Their revision; 0 before the first."""
        return self._spread.revision

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store for its failure domain."""
        return self._watch_task is not None

    async def start(self) -> None:
        """Begin to follow; returns at once."""
        self._loop_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the watch and all calls."""
        tasks = [task for task in (self._loop_task, self._watch_task) if task] + list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._loop_task = self._watch_task = None

    async def wait_for_revision(self, revision: int) -> Declarations:
        """Return the declarations once they have at least a revision."""
        while self.revision < revision:
            await self._changed.wait()
        return self.current

    def on_announced(self, address: str, revision: int) -> None:
        """Take a peer's word that it has a revision."""
        self._spread.on_announced(address, revision)
        self._wake.set()

    def make_delta(self, after_revision: int) -> Delta:
        """Return what a peer at a revision lacks."""
        return self._spread.replica.make_delta(after_revision)

    async def _run(self) -> None:
        while True:
            now_s = self._clock.now_s()
            for action in self._spread.step(now_s, self._peers.view(now_s)):
                self._do(action)
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(STEP_S):
                    await self._wake.wait()

    def _do(self, action: SpreadAction) -> None:
        if isinstance(action, OpenWatch):
            self._close_watch()
            self._watch_task = asyncio.create_task(self._watch(action.after_store_revision))
        elif isinstance(action, CloseWatch):
            self._close_watch()
        elif isinstance(action, Pull):
            self._start(self._pull(action))
        elif isinstance(action, Announce):
            self._start(self._announce(action))
        elif isinstance(action, ReadAll):
            self._start(self._read_all())
        elif isinstance(action, ReadHead):
            self._start(self._read_head())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _close_watch(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    async def _watch(self, after_revision: int) -> None:
        try:
            stream: Any = self._store.watch(LIVE_PREFIX, after_revision)
            async with aclosing(stream) as batches:
                async for batch in batches:
                    outcome = self._spread.on_watch_batch(self._clock.now_s(), batch)
                    self._peers.note_store(is_reached=True)
                    self._finish("watch", outcome)
        except RedwingError as error:
            log_event(_logger, "watch_failed", level=logbook.WARNING, error=str(error))
        self._watch_task = None
        self._spread.on_watch_ended(self._clock.now_s())
        self._wake.set()

    async def _read_all(self) -> None:
        try:
            result = await self._store.range(LIVE_PREFIX)
            live = decode_live_set(result.entries, result.revision)
            outcome = self._spread.on_all(self._clock.now_s(), live)
        except RedwingError as error:
            self._fail_read(error)
            return
        self._peers.note_store(is_reached=True)
        self._finish("store", outcome)

    async def _read_head(self) -> None:
        try:
            result = await self._store.range(HEAD_KEY, is_prefix=False)
            live = decode_live_set(result.entries, result.revision)
        except RedwingError as error:
            self._fail_read(error)
            return
        self._peers.note_store(is_reached=True)
        self._spread.on_head(self._clock.now_s(), live.head, result.revision)
        self._wake.set()

    def _fail_read(self, error: RedwingError) -> None:
        log_event(_logger, "store_read_failed", level=logbook.WARNING, error=str(error))
        self._peers.note_store(is_reached=False)
        self._spread.on_read_failed(self._clock.now_s())

    async def _pull(self, action: Pull) -> None:
        try:
            delta = await self._peers.pull(action.address, action.after_revision)
            outcome = self._spread.on_delta(self._clock.now_s(), delta)
        except RedwingError as error:
            log_event(
                _logger,
                "pull_failed",
                level=logbook.WARNING,
                peer=action.address,
                error=str(error),
            )
            self._spread.on_pull_failed(self._clock.now_s(), action.address)
            return
        self._finish(action.address, outcome)

    async def _announce(self, action: Announce) -> None:
        try:
            await self._peers.announce(action.address, action.revision)
        except RedwingError as error:
            log_event(
                _logger,
                "announce_failed",
                level=logbook.DEBUG,
                peer=action.address,
                error=str(error),
            )

    def _finish(self, source: str, outcome: MergeOutcome) -> None:
        if outcome is MergeOutcome.ADOPTED:
            log_event(_logger, "revision_in_force", revision=self.revision, source=source)
            self._on_change(self.current)
            self._changed.set()
            self._changed = asyncio.Event()
        self._wake.set()
