"""Decides how a node learns of new revisions: from a watch, from peers, from a slow poll."""

from dataclasses import dataclass

import numpy as np

from redwingplank.config.replica import Delta, MergeOutcome, Replica, make_watch_delta
from redwingplank.config.stored import Head, LiveSet
from redwingplank.core import choose_by_rendezvous
from redwingplank.platform import WatchBatch

__all__ = [
    "Announce",
    "CloseWatch",
    "DeclarationSpread",
    "OpenWatch",
    "PeerRevision",
    "PeerView",
    "Pull",
    "ReadAll",
    "ReadHead",
    "SpreadAction",
    "SpreadTiming",
    "choose_node",
]


@dataclass(frozen=True, slots=True)
class SpreadTiming:
    """Times of the spread of revisions.

    Parameters
    ----------
    watcher_poll_s : float
        Between two reads of the head by the watcher, which detect a silent watch.
    slow_poll_s : float
        Between two reads of the head by any other node.
    settle_s : float
        How long a started node waits to hear its peers before it takes the role of the watcher.
    peer_first_s : float
        How long a started node that is not the watcher leaves the store to the watcher.
    retry_s, max_retry_s : float
        First and longest wait after a failed call.
    keep_watch_s : float
        How long a node that is no longer the watcher keeps its watch.
    """

    watcher_poll_s: float = 4.0
    slow_poll_s: float = 60.0
    settle_s: float = 1.0
    peer_first_s: float = 4.0
    retry_s: float = 0.25
    max_retry_s: float = 8.0
    keep_watch_s: float = 10.0


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """A live peer and the newest revision that it is known to have."""

    name: str
    address: str
    revision: int = 0


@dataclass(frozen=True, slots=True)
class PeerView:
    """The live peers of a node, without itself."""

    domain_peers: tuple[PeerRevision, ...] = ()
    other_peers: tuple[PeerRevision, ...] = ()


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch the live documents after a revision of the store."""

    after_store_revision: int


@dataclass(frozen=True, slots=True)
class CloseWatch:
    """End the watch."""


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head alone."""


@dataclass(frozen=True, slots=True)
class ReadAll:
    """Read all live documents."""


@dataclass(frozen=True, slots=True)
class Pull:
    """Ask a peer for what changed after a revision."""

    address: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell a peer the revision in force here."""

    address: str
    revision: int


SpreadAction = OpenWatch | CloseWatch | ReadHead | ReadAll | Pull | Announce


def choose_node(names: tuple[str, ...]) -> str:
    """Return the node that takes a role for a failure domain, by rendezvous hashing.

    Every node chooses the same one of the same names.
    """
    return choose_by_rendezvous("", names) or ""


class DeclarationSpread:
    """The state of one node; `step` returns what to do, the other methods take results.

    Parameters
    ----------
    name : str
        The node's name.
    generator : numpy.random.Generator
        For jitter and the choice of peers.
    timing : SpreadTiming
        Times.

    Notes
    -----
    Every action ends with exactly one call of the method that takes its result or its failure.
    """

    def __init__(
        self, name: str, generator: np.random.Generator, timing: SpreadTiming | None = None
    ) -> None:
        self.name = name
        self.replica = Replica()
        self._generator = generator
        self._timing = timing or SpreadTiming()
        self._announced_by_address: dict[str, int] = {}
        self._started_at_s: float | None = None
        self._store_revision = 0
        self._is_reading = False
        self._is_watching = False
        self._must_read_all = False
        self._is_pulling = False
        self._read_at_s = 0.0
        self._pull_at_s = 0.0
        self._failures = 0
        self._pull_failures = 0
        self._watch_until_s = 0.0
        self._must_announce = False
        self._must_pull_whole = False
        self._is_watcher = False

    @property
    def revision(self) -> int:
        """The revision in force at this node."""
        return self.replica.revision

    def is_watcher(self, view: PeerView) -> bool:
        """Return whether this node watches the store for its failure domain."""
        names = tuple(peer.name for peer in view.domain_peers)
        return choose_node((self.name, *names)) == self.name

    def step(self, now_s: float, view: PeerView) -> list[SpreadAction]:
        """Return what to do now."""
        if self._started_at_s is None:
            self._start(now_s)
        self._take_role(now_s, view)
        actions: list[SpreadAction] = []
        self._step_watch(now_s, actions)
        self._step_read(now_s, actions)
        self._step_pull(now_s, view, actions)
        self._step_announce(view, actions)
        return actions

    def on_announced(self, address: str, revision: int) -> None:
        """Take a peer's word that it has a revision."""
        known = self._announced_by_address.get(address, 0)
        self._announced_by_address[address] = max(known, revision)

    def on_head(self, now_s: float, head: Head, store_revision: int) -> None:
        """Take the head that was read from the store."""
        self._end_read(now_s)
        if head.revision > self.revision:
            self._must_read_all = True
            self._read_at_s = now_s
            self._is_watching = False
        else:
            self._store_revision = store_revision

    def on_all(self, now_s: float, live: LiveSet) -> MergeOutcome:
        """Take all documents that were read from the store."""
        self._end_read(now_s)
        self._must_read_all = False
        self._store_revision = live.store_revision
        outcome = self.replica.merge_live_set(live)
        self._must_announce |= outcome is MergeOutcome.ADOPTED
        return outcome

    def on_read_failed(self, now_s: float) -> None:
        """Take the failure of a read."""
        self._is_reading = False
        self._failures += 1
        if self._is_watcher:
            self._read_at_s = now_s + self._backoff_s(self._failures)
        else:
            self._read_at_s = now_s + self._timing.slow_poll_s * self._generator.uniform(0.1, 1.0)

    def on_watch_batch(self, now_s: float, batch: WatchBatch) -> MergeOutcome:
        """Take a batch of the watch."""
        if not batch.events:
            return MergeOutcome.OLD
        delta = make_watch_delta(self.revision, batch.events)
        outcome = MergeOutcome.INCOMPLETE
        if delta is not None:
            outcome = self._merge_from_watch(delta)
        if outcome is MergeOutcome.INCOMPLETE:
            self._must_read_all = True
            self._read_at_s = now_s
        else:
            self._store_revision = batch.revision
        self._must_announce |= outcome is MergeOutcome.ADOPTED
        return outcome

    def on_watch_ended(self, now_s: float) -> None:
        """Take the end or failure of the watch."""
        if self._is_watching:
            self._is_watching = False
            self._failures += 1
            self._store_revision = 0
            self._read_at_s = now_s + self._backoff_s(self._failures)

    def on_delta(self, now_s: float, delta: Delta) -> MergeOutcome:
        """Take what a peer answered to a pull."""
        self._is_pulling = False
        is_first = self.revision == 0
        outcome = self.replica.merge_delta(delta)
        if is_first and outcome is MergeOutcome.ADOPTED and not self._is_watcher:
            self._read_at_s = now_s + self._timing.slow_poll_s * self._generator.uniform(0.25, 1.0)
        if outcome is MergeOutcome.INCOMPLETE:
            self._pull_failures += 1
            self._pull_at_s = now_s + self._backoff_s(self._pull_failures)
            self._must_pull_whole = True
        else:
            self._pull_failures = 0
            self._must_pull_whole = False
        self._must_announce |= outcome is MergeOutcome.ADOPTED and self._is_watcher
        return outcome

    def on_pull_failed(self, now_s: float, address: str) -> None:
        """Take the failure of a pull."""
        self._is_pulling = False
        self._announced_by_address.pop(address, None)
        self._pull_failures += 1
        self._pull_at_s = now_s + self._backoff_s(self._pull_failures)

    def _start(self, now_s: float) -> None:
        self._started_at_s = now_s
        self._read_at_s = now_s + self._timing.peer_first_s * self._generator.uniform(1.0, 2.0)

    def _take_role(self, now_s: float, view: PeerView) -> None:
        assert self._started_at_s is not None
        is_settled = now_s - self._started_at_s >= self._timing.settle_s
        is_watcher = is_settled and self.is_watcher(view)
        if is_watcher and not self._is_watcher:
            soon_s = now_s + self._timing.settle_s * self._generator.uniform()
            self._read_at_s = min(self._read_at_s, soon_s)
        self._is_watcher = is_watcher

    def _step_watch(self, now_s: float, actions: list[SpreadAction]) -> None:
        if self._is_watcher:
            self._watch_until_s = now_s + self._timing.keep_watch_s
            if not self._is_watching and self._store_revision and not self._must_read_all:
                self._is_watching = True
                actions.append(OpenWatch(self._store_revision))
        elif self._is_watching and now_s >= self._watch_until_s:
            self._is_watching = False
            self._store_revision = 0
            actions.append(CloseWatch())

    def _step_read(self, now_s: float, actions: list[SpreadAction]) -> None:
        if self._is_reading or now_s < self._read_at_s:
            return
        self._is_reading = True
        if self._must_read_all or self.revision == 0:
            actions.append(ReadAll())
        else:
            actions.append(ReadHead())

    def _step_pull(self, now_s: float, view: PeerView, actions: list[SpreadAction]) -> None:
        if self._is_pulling or now_s < self._pull_at_s:
            return
        best = self._choose_source(view)
        if best is not None:
            self._is_pulling = True
            after_revision = 0 if self._must_pull_whole else self.revision
            actions.append(Pull(best.address, after_revision))

    def _choose_source(self, view: PeerView) -> PeerRevision | None:
        for peers in (view.domain_peers, view.other_peers):
            newer = [peer for peer in peers if self._revision_of(peer) > self.revision]
            if newer:
                highest = max(self._revision_of(peer) for peer in newer)
                best = [peer for peer in newer if self._revision_of(peer) == highest]
                return best[int(self._generator.integers(len(best)))]
        return None

    def _revision_of(self, peer: PeerRevision) -> int:
        return max(peer.revision, self._announced_by_address.get(peer.address, 0))

    def _step_announce(self, view: PeerView, actions: list[SpreadAction]) -> None:
        if not self._must_announce:
            return
        self._must_announce = False
        actions.extend(
            Announce(peer.address, self.revision)
            for peer in view.domain_peers
            if self._revision_of(peer) < self.revision
        )

    def _merge_from_watch(self, delta: Delta) -> MergeOutcome:
        if delta.after_revision == 0:
            return MergeOutcome.INCOMPLETE
        return self.replica.merge_delta(delta)

    def _end_read(self, now_s: float) -> None:
        self._is_reading = False
        self._failures = 0
        timing = self._timing
        period_s = timing.watcher_poll_s if self._is_watcher else timing.slow_poll_s
        self._read_at_s = now_s + period_s * self._generator.uniform(0.75, 1.25)

    def _backoff_s(self, failures: int) -> float:
        ceiling_s = min(self._timing.max_retry_s, self._timing.retry_s * 2.0 ** min(failures, 16))
        return float(self._generator.uniform(0.5, 1.0) * ceiling_s)
