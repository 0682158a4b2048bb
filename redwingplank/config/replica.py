"""Replica of the declarations in force at one node, and the deltas that update it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from redwingplank.config.model import NO_DECLARATIONS, Declarations
from redwingplank.config.resolve import resolve_changed
from redwingplank.config.stored import (
    HEAD_KEY,
    LIVE_PREFIX,
    Head,
    LiveSet,
    StoredDocument,
    decode_document,
    decode_head,
    digest_revisions,
    to_document,
)
from redwingplank.platform import WatchEvent

__all__ = ["Delta", "MergeOutcome", "Replica", "make_watch_delta"]


class MergeOutcome(Enum):
    """Result of merging received documents into the replica."""

    ADOPTED = "adopted"
    OLD = "old"
    INCOMPLETE = "incomplete"


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that lead to a revision.

    Parameters
    ----------
    head : Head
        Head of the revision that the receiver reaches.
    stored_by_key : mapping of str to StoredDocument
        Added and changed documents by key.
    removed_keys : tuple of str
        Keys of the removed documents.
    """

    head: Head
    stored_by_key: Mapping[str, StoredDocument] = field(default_factory=dict)
    removed_keys: tuple[str, ...] = ()


def make_watch_delta(events: Iterable[WatchEvent]) -> Delta | None:
    """Return the delta that a watch delivered, or None if it has no head.

    Parameters
    ----------
    events : iterable of WatchEvent
        Events of the watch in the order of the store.
    """
    head: Head | None = None
    stored_by_key: dict[str, StoredDocument] = {}
    removed: dict[str, None] = {}
    for event in events:
        key = event.key.removeprefix(LIVE_PREFIX)
        if event.entry is None:
            stored_by_key.pop(key, None)
            removed[key] = None
        elif event.key == HEAD_KEY:
            head = decode_head(event.entry.value)
        else:
            stored_by_key[key] = decode_document(event.key, event.entry.value)
            removed.pop(key, None)
    return None if head is None else Delta(head, stored_by_key, tuple(removed))


class Replica:
    """The declarations in force at one node; its revision never decreases."""

    def __init__(self) -> None:
        self.head = Head()
        self.declarations: Declarations = NO_DECLARATIONS
        self._stored_by_key: dict[str, StoredDocument] = {}

    @property
    def revision(self) -> int:
        """The revision in force at this node; 0 before the first merge."""
        return self.head.revision

    def merge_live_set(self, live: LiveSet) -> MergeOutcome:
        """Adopt a complete set from the store or a peer if its revision is higher."""
        if live.head.revision <= self.revision:
            return MergeOutcome.OLD
        return self._adopt(live.head, dict(live.stored_by_key))

    def merge_delta(self, delta: Delta) -> MergeOutcome:
        """Adopt a delta if it leads to a higher revision and no document is missing.

        Notes
        -----
        The digest in the head covers the key and the revision of every document. A delta that
        does not lead from this node's documents to that digest changes nothing.
        """
        if delta.head.revision <= self.revision:
            return MergeOutcome.OLD
        stored_by_key = {**self._stored_by_key, **delta.stored_by_key}
        for key in delta.removed_keys:
            stored_by_key.pop(key, None)
        return self._adopt(delta.head, stored_by_key)

    def _adopt(self, head: Head, stored_by_key: dict[str, StoredDocument]) -> MergeOutcome:
        revisions_by_key = {key: stored.revision for key, stored in stored_by_key.items()}
        if digest_revisions(revisions_by_key) != head.digest:
            return MergeOutcome.INCOMPLETE
        self.declarations = self._resolve(head, stored_by_key)
        self.head = head
        self._stored_by_key = stored_by_key
        return MergeOutcome.ADOPTED

    def _resolve(self, head: Head, stored_by_key: Mapping[str, StoredDocument]) -> Declarations:
        old = self._stored_by_key
        changed_keys = {
            key
            for key in old.keys() | stored_by_key.keys()
            if key not in old
            or key not in stored_by_key
            or old[key].revision != stored_by_key[key].revision
        }
        documents = {key: to_document(key, stored.content) for key, stored in stored_by_key.items()}
        return resolve_changed(self.declarations, documents, changed_keys, head.revision)
