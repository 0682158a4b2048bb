"""Applies declarations to the store with optimistic concurrency.

Each attempt reads the declarations in force, computes the changes and writes them in one
compare-and-swap transaction. When the answer to the transaction is lost, the next attempt reads
back whether it took effect.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import numpy as np
import xxhash

from redwingplank.config.apply import (
    Authorship,
    Base,
    Conflict,
    contents_at_revision,
    make_base,
    make_change_set,
    make_transaction,
    validate_change,
)
from redwingplank.config.changes import DocumentChange
from redwingplank.config.documents import Document
from redwingplank.config.parse import parse_documents
from redwingplank.config.stored import (
    HISTORY_PREFIX,
    LIVE_PREFIX,
    HistoryRecord,
    LiveSet,
    decode_history,
    decode_live_set,
    history_key,
)
from redwingplank.platform import KeyValueStore, OutcomeUnknownError, PlatformError

__all__ = [
    "ApplyOptions",
    "ApplyOutcome",
    "ApplyResult",
    "apply_declarations",
    "find_base",
    "make_desired_contents",
    "read_history",
    "read_live_set",
    "roll_back",
]

MAX_ATTEMPTS = 30
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0

Sleep = Callable[[float], Awaitable[None]]
DesiredContents = Mapping[str, Mapping[str, Any] | None]


class ApplyOutcome(StrEnum):
    """Outcome of an apply."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Outcome of an apply, after any lost answer has been resolved if possible.

    Parameters
    ----------
    outcome : ApplyOutcome
        UNKNOWN only if the store stopped answering before it was confirmed whether a write took
        effect; the same files may safely be applied again.
    revision : int
        The revision that the apply created, or else the newest revision that it read from the
        store.
    changes : tuple of DocumentChange
        Changes that were applied.
    conflicts : tuple of Conflict
        Changes by others since the base revision that contradict this apply.
    kept_keys : tuple of str
        Keys of documents that only others changed since the base revision; their contents are
        left as they are.
    detail : str
        Why the apply failed and what to do about it.
    """

    outcome: ApplyOutcome
    revision: int
    changes: tuple[DocumentChange, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    kept_keys: tuple[str, ...] = ()
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of an apply.

    Parameters
    ----------
    author : str
        Name that is recorded with the revision.
    base_revision : int or None
        The revision that the files are based on; None for the one in force at the first read.
    is_pruning : bool
        Whether documents of the base revision that are missing from the files are removed.
    max_attempts : int
        Attempts that may fail, or lose a race against another writer, before the apply gives up.
    sleep : callable
        Coroutine function that waits for a number of seconds between attempts.
    """

    author: str = ""
    base_revision: int | None = None
    is_pruning: bool = False
    max_attempts: int = MAX_ATTEMPTS
    sleep: Sleep = asyncio.sleep


DEFAULT_OPTIONS = ApplyOptions()


async def apply_declarations(
    store: KeyValueStore,
    files: Mapping[str, str],
    now_s: float,
    nonce: str,
    options: ApplyOptions = DEFAULT_OPTIONS,
) -> ApplyResult:
    """Apply declaration files, all of them or none.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value store.
    files : mapping of str to str
        Contents by file name.
    now_s : float
        Wall-clock time in seconds since 1970; recorded with the revision.
    nonce : str
        String unique to this apply, by which its own revision is recognised after a lost answer.
    options : ApplyOptions
        Author, base revision and other options.

    Returns
    -------
    ApplyResult

    Raises
    ------
    FindingsError
        If the files are invalid by themselves or together with the documents in force. It lists
        every fault; nothing was written.
    HistoryTooShortError
        If the history no longer contains the base revision.
    """
    documents = parse_documents(files)
    authorship = Authorship(nonce, options.author, now_s)

    def make_desired(base: Base) -> DesiredContents:
        return make_desired_contents(documents, base, options.is_pruning)

    return await _Apply(store, make_desired, documents, authorship, options).run()


async def roll_back(
    store: KeyValueStore,
    to_revision: int,
    now_s: float,
    nonce: str,
    options: ApplyOptions = DEFAULT_OPTIONS,
) -> ApplyResult:
    """Create a new revision with the documents of an earlier one.

    Raises
    ------
    HistoryTooShortError
        If the history no longer contains `to_revision`.
    """
    live = await read_live_set(store)
    history = await read_history(store)
    contents = contents_at_revision(live, history, to_revision)
    desired: dict[str, Mapping[str, Any] | None] = dict.fromkeys(live.stored_by_key)
    desired.update(contents)
    authorship = Authorship(nonce, options.author, now_s, f"rollback to {to_revision}")
    return await _Apply(store, lambda base: desired, {}, authorship, options, make_base(live)).run()


async def read_live_set(store: KeyValueStore) -> LiveSet:
    """Read all documents in force."""
    result = await store.range(LIVE_PREFIX)
    return decode_live_set(result.entries, result.revision)


async def read_history(store: KeyValueStore) -> tuple[HistoryRecord, ...]:
    """Read all history records in the store, oldest first."""
    return decode_history((await store.range(HISTORY_PREFIX)).entries)


async def find_base(store: KeyValueStore, live: LiveSet, revision: int | None) -> Base:
    """Return the documents at a revision, or at the one in force if `revision` is None.

    Raises
    ------
    HistoryTooShortError
        If the history no longer contains the revision.
    """
    if revision is None or revision == live.head.revision:
        return make_base(live)
    history = await read_history(store)
    return Base(revision, contents_at_revision(live, history, revision))


def make_desired_contents(
    documents: Mapping[str, Document], base: Base, is_pruning: bool
) -> DesiredContents:
    """Return the desired content of each document by key, None for a document to remove.

    When pruning, documents of the base that are not in the files are removed.
    """
    removed = dict.fromkeys(base.contents_by_key) if is_pruning else {}
    return {**removed, **{key: document.content for key, document in documents.items()}}


class _Apply:
    """State of one apply across its attempts."""

    def __init__(
        self,
        store: KeyValueStore,
        make_desired: Callable[[Base], DesiredContents],
        documents: Mapping[str, Document],
        authorship: Authorship,
        options: ApplyOptions,
        base: Base | None = None,
    ) -> None:
        self._store = store
        self._make_desired = make_desired
        self._documents = documents
        self._authorship = authorship
        self._options = options
        self._base = base
        self._unconfirmed: ApplyResult | None = None
        self._last_revision = 0
        self._generator = np.random.default_rng(xxhash.xxh64_intdigest(authorship.nonce.encode()))

    async def run(self) -> ApplyResult:
        """Make attempts until one gives an outcome or `max_attempts` is reached."""
        detail = "others changed the declarations in each attempt; run apply again"
        for attempt in range(self._options.max_attempts):
            if attempt:
                await self._options.sleep(self._backoff_s(attempt))
            try:
                result = await self._attempt()
            except PlatformError as error:
                detail = f"{error}; run apply again with the same files, which is safe"
                continue
            if result is not None:
                return result
        outcome = ApplyOutcome.UNKNOWN if self._unconfirmed else ApplyOutcome.NOT_APPLIED
        return ApplyResult(outcome, self._last_revision, detail=detail)

    async def _attempt(self) -> ApplyResult | None:
        live = await read_live_set(self._store)
        self._last_revision = live.head.revision
        confirmed = await self._confirm_lost_answer(live)
        if confirmed is not None:
            return confirmed
        if self._base is None:
            self._base = await find_base(self._store, live, self._options.base_revision)
        change_set = make_change_set(live, self._base, self._make_desired(self._base))
        if change_set.conflicts:
            return ApplyResult(ApplyOutcome.CONFLICT, live.head.revision, (), change_set.conflicts)
        validate_change(live, change_set.changes, self._documents)
        kept_keys = change_set.kept_keys
        if not change_set.changes:
            return ApplyResult(ApplyOutcome.UNCHANGED, live.head.revision, kept_keys=kept_keys)
        return await self._swap(live, change_set.changes, kept_keys)

    async def _swap(
        self, live: LiveSet, changes: tuple[DocumentChange, ...], kept_keys: tuple[str, ...]
    ) -> ApplyResult | None:
        transaction = make_transaction(live, changes, self._authorship)
        result = ApplyResult(
            ApplyOutcome.APPLIED, transaction.revision, changes, kept_keys=kept_keys
        )
        try:
            answer = await self._store.transact(transaction.compares, transaction.operations)
        except OutcomeUnknownError:
            self._unconfirmed = result
            raise
        return result if answer.succeeded else None

    async def _confirm_lost_answer(self, live: LiveSet) -> ApplyResult | None:
        """Return the result of a transaction whose answer was lost if it took effect, else None.

        The history record at the expected revision holds the nonce of the apply that wrote it.
        """
        if self._unconfirmed is None or live.head.revision < self._unconfirmed.revision:
            return None
        key = history_key(self._unconfirmed.revision)
        records = decode_history((await self._store.range(key, is_prefix=False)).entries)
        if records and records[0].nonce == self._authorship.nonce:
            return self._unconfirmed
        self._unconfirmed = None
        return None

    def _backoff_s(self, attempt: int) -> float:
        ceiling_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**attempt)
        return float(self._generator.uniform(0.0, ceiling_s))
