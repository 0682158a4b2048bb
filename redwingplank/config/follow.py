"""Follows new revisions at a node through a watch of the store and a poll of it."""

from dataclasses import dataclass

import numpy as np

from redwingplank.config.replica import MergeOutcome, Replica, make_watch_delta
from redwingplank.config.stored import Head, LiveSet
from redwingplank.platform import WatchBatch

__all__ = [
    "FollowAction",
    "FollowState",
    "FollowTiming",
    "OpenWatch",
    "ReadAll",
    "ReadHead",
]


@dataclass(frozen=True, slots=True)
class FollowTiming:
    """Periods and waits of a node that follows the store.

    Parameters
    ----------
    poll_s : float
        Mean period of reads of the head in seconds; they detect a watch that no longer delivers.
    start_s : float
        A started node first reads after a random time of up to this many seconds.
    retry_s, max_retry_s : float
        Shortest wait after a first failed call and longest wait after any, in seconds.
    """

    poll_s: float = 4.0
    start_s: float = 1.0
    retry_s: float = 0.25
    max_retry_s: float = 8.0


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch the live documents for changes after a revision of the store."""

    after_store_revision: int


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read only the head from the store."""


@dataclass(frozen=True, slots=True)
class ReadAll:
    """Read the head and all live documents from the store."""


FollowAction = OpenWatch | ReadHead | ReadAll


class FollowState:
    """State of following at one node; `step` returns actions, the other methods apply results.

    Parameters
    ----------
    generator : numpy.random.Generator
        Source of jitter.
    timing : FollowTiming
        Periods and waits; the defaults of `FollowTiming` if not given.

    Notes
    -----
    The caller reports the result or the failure of every action with exactly one call of the
    method for it.
    """

    def __init__(self, generator: np.random.Generator, timing: FollowTiming | None = None) -> None:
        self.replica = Replica()
        self._generator = generator
        self._timing = timing or FollowTiming()
        self._store_revision = 0
        self._is_started = False
        self._is_reading = False
        self._is_watching = False
        self._must_read_all = False
        self._read_at_s = 0.0
        self._failures = 0

    @property
    def revision(self) -> int:
        """The revision in force at this node."""
        return self.replica.revision

    @property
    def is_watching(self) -> bool:
        """Whether a watch is open."""
        return self._is_watching

    def step(self, now_s: float) -> list[FollowAction]:
        """Return the actions to start now."""
        if not self._is_started:
            self._is_started = True
            self._read_at_s = now_s + self._timing.start_s * self._generator.uniform()
        actions: list[FollowAction] = []
        self._step_watch(actions)
        self._step_read(now_s, actions)
        return actions

    def on_head(self, now_s: float, head: Head, store_revision: int) -> None:
        """Handle the head that was read from the store."""
        self._finish_read(now_s)
        if head.revision > self.revision:
            self._must_read_all = True
            self._read_at_s = now_s
            self._is_watching = False
        else:
            self._store_revision = store_revision

    def on_all(self, now_s: float, live: LiveSet) -> MergeOutcome:
        """Merge all documents that were read from the store."""
        self._finish_read(now_s)
        self._must_read_all = False
        self._store_revision = live.store_revision
        return self.replica.merge_live_set(live)

    def on_read_failed(self, now_s: float) -> None:
        """Handle the failure of a read."""
        self._is_reading = False
        self._failures += 1
        self._read_at_s = now_s + self._backoff_s(self._failures)

    def on_watch_batch(self, now_s: float, batch: WatchBatch) -> MergeOutcome:
        """Merge a batch of events from the watch; request a full read if some are missing."""
        if not batch.events:
            return MergeOutcome.OLD
        delta = make_watch_delta(batch.events)
        outcome = MergeOutcome.INCOMPLETE
        if delta is not None and self.revision > 0:
            outcome = self.replica.merge_delta(delta)
        if outcome is MergeOutcome.INCOMPLETE:
            self._must_read_all = True
            self._read_at_s = now_s
        else:
            self._store_revision = batch.revision
        return outcome

    def on_watch_ended(self, now_s: float) -> None:
        """Handle the end or failure of the watch."""
        if self._is_watching:
            self._is_watching = False
            self._failures += 1
            self._store_revision = 0
            self._read_at_s = now_s + self._backoff_s(self._failures)

    def _step_watch(self, actions: list[FollowAction]) -> None:
        if not self._is_watching and self._store_revision and not self._must_read_all:
            self._is_watching = True
            actions.append(OpenWatch(self._store_revision))

    def _step_read(self, now_s: float, actions: list[FollowAction]) -> None:
        if self._is_reading or now_s < self._read_at_s:
            return
        self._is_reading = True
        if self._must_read_all or self.revision == 0:
            actions.append(ReadAll())
        else:
            actions.append(ReadHead())

    def _finish_read(self, now_s: float) -> None:
        self._is_reading = False
        self._failures = 0
        self._read_at_s = now_s + self._timing.poll_s * self._generator.uniform(0.75, 1.25)

    def _backoff_s(self, failures: int) -> float:
        ceiling_s = min(self._timing.max_retry_s, self._timing.retry_s * 2.0 ** min(failures, 16))
        return float(self._generator.uniform(0.5, 1.0) * ceiling_s)
