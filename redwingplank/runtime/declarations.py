"""Follows the declarations in force at one node.

A node learns of new revisions from its watch of the store and from periodic reads.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import aclosing, suppress
from typing import Any

import logbook
import numpy as np
import xxhash

from redwingplank.config import Declarations
from redwingplank.config.follow import (
    FollowAction,
    FollowState,
    FollowTiming,
    OpenWatch,
    ReadAll,
    ReadHead,
)
from redwingplank.config.replica import MergeOutcome
from redwingplank.config.stored import HEAD_KEY, LIVE_PREFIX, decode_live_set
from redwingplank.core import Clock, RedwingError, log_event, make_logger
from redwingplank.platform import KeyValueStore

__all__ = ["DeclarationsFollower"]

STEP_INTERVAL_S = 0.25

_logger = make_logger("declarations")


class DeclarationsFollower:
    """Keeps the newest declarations that this node has read from the store.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value store.
    on_change : callable
        Called with each new set of declarations, in the order of the revisions.
    clock : Clock
        Monotonic clock.
    name : str
        Name of this node.
    seed : int
        Seed of the jitter; 0 derives one from the name.
    timing : FollowTiming, optional
        Intervals and delays.
    on_store_call : callable, optional
        Called after each call of the store with whether it was reached.
    """

    def __init__(
        self,
        store: KeyValueStore,
        on_change: Callable[[Declarations], None],
        clock: Clock,
        *,
        name: str = "",
        seed: int = 0,
        timing: FollowTiming | None = None,
        on_store_call: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self._store = store
        self._on_change = on_change
        self._on_store_call = on_store_call
        self._clock = clock
        generator = np.random.default_rng(seed or xxhash.xxh64_intdigest(name.encode()))
        self._state = FollowState(generator, timing)
        self._wake = asyncio.Event()
        self._changed = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def current(self) -> Declarations:
        """The declarations in force at this node."""
        return self._state.replica.declarations

    @property
    def revision(self) -> int:
        """Revision of the declarations in force at this node; 0 before the first."""
        return self._state.revision

    @property
    def is_watching(self) -> bool:
        """Whether this node's watch of the store is open."""
        return self._watch_task is not None

    async def start(self) -> None:
        """Start to follow the declarations; returns at once."""
        self._loop_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel the watch and all calls."""
        tasks = [task for task in (self._loop_task, self._watch_task) if task] + list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._loop_task = self._watch_task = None

    async def wait_for_revision(self, revision: int) -> Declarations:
        """Return the declarations once their revision is at least `revision`."""
        while self.revision < revision:
            await self._changed.wait()
        return self.current

    async def _run(self) -> None:
        while True:
            now_s = self._clock.now_s()
            for action in self._state.step(now_s):
                self._execute(action)
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self._wake.wait()

    def _execute(self, action: FollowAction) -> None:
        if isinstance(action, OpenWatch):
            self._close_watch()
            self._watch_task = asyncio.create_task(self._watch(action.after_store_revision))
        elif isinstance(action, ReadAll):
            self._spawn(self._read_all())
        elif isinstance(action, ReadHead):
            self._spawn(self._read_head())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
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
                    outcome = self._state.on_watch_batch(self._clock.now_s(), batch)
                    self._on_store_call(True)
                    self._handle_merge_outcome("watch", outcome)
        except RedwingError as error:
            log_event(_logger, "watch_failed", level=logbook.WARNING, error=str(error))
        self._watch_task = None
        self._state.on_watch_ended(self._clock.now_s())
        self._wake.set()

    async def _read_all(self) -> None:
        try:
            result = await self._store.range(LIVE_PREFIX)
            live = decode_live_set(result.entries, result.revision)
            outcome = self._state.on_all(self._clock.now_s(), live)
        except RedwingError as error:
            self._handle_read_failure(error)
            return
        self._on_store_call(True)
        self._handle_merge_outcome("store", outcome)

    async def _read_head(self) -> None:
        try:
            result = await self._store.range(HEAD_KEY, is_prefix=False)
            live = decode_live_set(result.entries, result.revision)
        except RedwingError as error:
            self._handle_read_failure(error)
            return
        self._on_store_call(True)
        self._state.on_head(self._clock.now_s(), live.head, result.revision)
        self._wake.set()

    def _handle_read_failure(self, error: RedwingError) -> None:
        log_event(_logger, "store_read_failed", level=logbook.WARNING, error=str(error))
        self._on_store_call(False)
        self._state.on_read_failed(self._clock.now_s())

    def _handle_merge_outcome(self, source: str, outcome: MergeOutcome) -> None:
        if outcome is MergeOutcome.ADOPTED:
            log_event(_logger, "revision_in_force", revision=self.revision, source=source)
            self._on_change(self.current)
            self._changed.set()
            self._changed = asyncio.Event()
        self._wake.set()
