"""Computes what an apply changes: a three-way comparison of documents and one transaction."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from redwingplank.config.changes import DocumentChange, ValueChange, diff_contents
from redwingplank.config.documents import Document
from redwingplank.config.model import Declarations
from redwingplank.config.resolve import resolve_declarations
from redwingplank.config.stored import (
    HEAD_KEY,
    Head,
    HistoryRecord,
    LiveSet,
    StoredDocument,
    digest_revisions,
    encode,
    history_key,
    live_key,
    to_document,
)
from redwingplank.core import Finding, FindingsError, RedwingError, SourceLocation
from redwingplank.platform import MAX_VALUE_BYTES, Compare, Delete, Put

__all__ = [
    "HISTORY_REVISIONS",
    "Authorship",
    "Base",
    "ChangeSet",
    "Conflict",
    "HistoryTooShortError",
    "Transaction",
    "contents_at_revision",
    "make_base",
    "make_change_set",
    "make_transaction",
    "validate_change",
]

HISTORY_REVISIONS = 500
"""Number of revisions whose history records are kept."""

MAX_TRANSACTION_BYTES = 1_000_000
MAX_TRANSACTION_OPERATIONS = 1000

Wanted = Mapping[str, Mapping[str, Any] | None]


class HistoryTooShortError(RedwingError):
    """The history does not reach back to the revision that was asked for."""


@dataclass(frozen=True, slots=True)
class Base:
    """The documents in force that an operator's change started from."""

    revision: int
    contents_by_key: Mapping[str, Mapping[str, Any]]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A document that another operator changed since the base.

    Parameters
    ----------
    key : str
        Key of the document.
    revision : int
        Revision that accepted the other operator's change; 0 if it removed the document.
    author : str
        Author of the other change; empty if it removed the document.
    theirs : tuple of ValueChange
        Values that the other operator changed since the base.
    ours : tuple of ValueChange
        Values that this change would have changed since the base.
    """

    key: str
    revision: int
    author: str
    theirs: tuple[ValueChange, ...]
    ours: tuple[ValueChange, ...]


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """The result of a three-way comparison.

    Parameters
    ----------
    changes : tuple of DocumentChange
        Changes to be made.
    conflicts : tuple of Conflict
        Conflicts that prevent the change; empty if it can be made.
    kept_keys : tuple of str
        Keys of the documents that only others changed since the base; these stay as they are.
    """

    changes: tuple[DocumentChange, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    kept_keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Authorship:
    """Author, time and reason of a change; the nonce identifies this one apply."""

    nonce: str
    author: str = ""
    now_unix_s: float = 0.0
    note: str = ""


@dataclass(frozen=True, slots=True)
class Transaction:
    """One compare-and-swap that puts a revision in force, or does nothing."""

    revision: int
    compares: tuple[Compare, ...]
    operations: tuple[Put | Delete, ...]


def make_base(live: LiveSet) -> Base:
    """Return the base of a change that starts from the documents in force."""
    return Base(live.head.revision, live.contents_by_key)


def contents_at_revision(
    live: LiveSet, history: tuple[HistoryRecord, ...], revision: int
) -> dict[str, Mapping[str, Any]]:
    """Return the contents that were in force at an earlier revision.

    Raises
    ------
    HistoryTooShortError
        If a record between `revision` and the live one is missing, or `revision` is too high.
    """
    records_by_revision = {record.revision: record for record in history}
    contents: dict[str, Mapping[str, Any]] = dict(live.contents_by_key)
    if not 0 <= revision <= live.head.revision:
        raise HistoryTooShortError(
            f"revision {revision} does not exist; the newest is {live.head.revision}"
        )
    for step in range(live.head.revision, revision, -1):
        record = records_by_revision.get(step)
        if record is None:
            raise HistoryTooShortError(
                f"revision {revision} is no longer kept, history ends at {step}: "
                "start from the revision in force"
            )
        for key, before in record.before.items():
            if before is None:
                contents.pop(key, None)
            else:
                contents[key] = before
    return contents


def make_change_set(live: LiveSet, base: Base, wanted: Wanted) -> ChangeSet:
    """Compare wanted documents with those in force and with their base.

    Parameters
    ----------
    live : LiveSet
        The documents in force.
    base : Base
        The documents that the wanted ones started from.
    wanted : mapping of str to content or None
        Wanted contents by document key; None removes the document. Documents without a key here
        stay as they are.

    Returns
    -------
    ChangeSet
    """
    changes, conflicts, kept = [], [], []
    current_by_key = live.contents_by_key
    for key, content in wanted.items():
        current, original = current_by_key.get(key), base.contents_by_key.get(key)
        if content == current:
            continue
        if current == original:
            changes.append(DocumentChange(key, current, content))
        elif content == original:
            kept.append(key)
        else:
            conflicts.append(_make_conflict(live, key, original, content))
    return ChangeSet(tuple(changes), tuple(conflicts), tuple(kept))


def validate_change(
    live: LiveSet, changes: tuple[DocumentChange, ...], documents: Mapping[str, Document]
) -> Declarations:
    """Check the whole set of documents as it would be after a change.

    Parameters
    ----------
    live : LiveSet
        The documents in force.
    changes : tuple of DocumentChange
        The changes to apply to them.
    documents : mapping of str to Document
        The operator's documents, which give findings their places in files.

    Returns
    -------
    Declarations
        Effective declarations after the change, with the next revision.

    Raises
    ------
    FindingsError
        With every fault of the set, including those in documents that are already in force.
    """
    contents: dict[str, Mapping[str, Any]] = dict(live.contents_by_key)
    for change in changes:
        if change.after is None:
            contents.pop(change.key, None)
        else:
            contents[change.key] = change.after
    merged = {}
    for key, content in contents.items():
        written = documents.get(key)
        is_same = written is not None and written.content == content
        merged[key] = written if written is not None and is_same else to_document(key, content)
    return resolve_declarations(merged, live.head.revision + 1)


def make_transaction(
    live: LiveSet, changes: tuple[DocumentChange, ...], authorship: Authorship
) -> Transaction:
    """Return the transaction that puts a change in force.

    Raises
    ------
    FindingsError
        If the change is too large for one transaction.
    """
    revision = live.head.revision + 1
    operations: list[Put | Delete] = []
    revisions_by_key = {key: stored.revision for key, stored in live.stored_by_key.items()}
    for change in changes:
        if change.after is None:
            operations.append(Delete(live_key(change.key)))
            del revisions_by_key[change.key]
        else:
            stored = StoredDocument(revision, authorship.author, dict(change.after))
            operations.append(Put(live_key(change.key), encode(stored)))
            revisions_by_key[change.key] = revision
    operations.append(_make_head(revision, revisions_by_key, authorship))
    operations.append(_make_history(revision, changes, authorship))
    if revision > HISTORY_REVISIONS:
        operations.append(Delete(history_key(revision - HISTORY_REVISIONS)))
    _check_size(operations)
    compare = Compare(HEAD_KEY, live.head_mod_revision)
    return Transaction(revision, (compare,), tuple(operations))


def _make_conflict(
    live: LiveSet,
    key: str,
    original: Mapping[str, Any] | None,
    content: Mapping[str, Any] | None,
) -> Conflict:
    stored = live.stored_by_key.get(key)
    current = stored.content if stored else None
    return Conflict(
        key,
        stored.revision if stored else 0,
        stored.author if stored else "",
        diff_contents(original, current),
        diff_contents(original, content),
    )


def _make_head(revision: int, revisions_by_key: dict[str, int], authorship: Authorship) -> Put:
    head = Head(
        revision,
        authorship.nonce,
        digest_revisions(revisions_by_key),
        authorship.author,
        authorship.now_unix_s,
    )
    return Put(HEAD_KEY, encode(head))


def _make_history(
    revision: int, changes: tuple[DocumentChange, ...], authorship: Authorship
) -> Put:
    before = {
        change.key: None if change.before is None else dict(change.before) for change in changes
    }
    record = HistoryRecord(
        revision,
        authorship.nonce,
        authorship.author,
        authorship.now_unix_s,
        authorship.note,
        before,
    )
    return Put(history_key(revision), encode(record))


def _check_size(operations: list[Put | Delete]) -> None:
    findings = []
    total_bytes = 0
    for operation in operations:
        size_bytes = len(operation.value) if isinstance(operation, Put) else 0
        total_bytes += size_bytes
        if size_bytes > MAX_VALUE_BYTES:
            problem = f"takes {size_bytes} bytes, the limit of a value is {MAX_VALUE_BYTES}"
            findings.append(
                Finding(
                    SourceLocation(f"store:{operation.key}"),
                    problem,
                    "apply fewer documents at once",
                )
            )
    if total_bytes > MAX_TRANSACTION_BYTES or len(operations) > MAX_TRANSACTION_OPERATIONS:
        problem = (
            f"the change has {len(operations)} operations and {total_bytes} bytes, the limits of "
            f"one transaction are {MAX_TRANSACTION_OPERATIONS} and {MAX_TRANSACTION_BYTES}"
        )
        findings.append(
            Finding(SourceLocation("store:config"), problem, "apply fewer documents at once")
        )
    if findings:
        raise FindingsError(findings)
