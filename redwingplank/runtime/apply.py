"""Applies declarations to the store: reads, compares, swaps, and settles lost answers."""

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
    "name_wanted",
    "read_history",
    "read_live_set",
    "roll_back",
]

MAX_ATTEMPTS = 30
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0

Sleep = Callable[[float], Awaitable[None]]
Wanted = Mapping[str, Mapping[str, Any] | None]


class ApplyOutcome(StrEnum):
    """What became of an apply."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The true outcome of an apply.

    Parameters
    ----------
    outcome : ApplyOutcome
        UNKNOWN only when the store went away before the answer could be settled; a repeated
        apply of the same files is safe.
    revision : int
        The revision that it made, or the one in force that was seen last.
    changes : tuple of DocumentChange
        What it changed.
    conflicts : tuple of Conflict
        Changes of others that stand against it.
    kept_keys : tuple of str
        Documents that only others changed since the base.
    detail : str
        Why it was not applied, and what to do.
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
        Recorded with the revision.
    base_revision : int or None
        The revision that the files were made from; None for the one in force at the first read.
    is_pruning : bool
        Whether documents that are in force but not in the files are removed.
    max_attempts : int
        Calls to the store that may fail or lose a race before giving up.
    sleep : callable
        Waits between attempts.
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
    """Put declaration files in force, all or nothing.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    files : mapping of str to str
        Contents by file name.
    now_s : float
        Wall clock, in seconds since 1970; recorded with the revision.
    nonce : str
        Unique to this apply; settles a lost answer.
    options : ApplyOptions
        Author, base and others.

    Returns
    -------
    ApplyResult

    Raises
    ------
    FindingsError
        With every fault of the files, alone or together with what is in force. Nothing was
        written.
    HistoryTooShortError
        If the base revision is no longer kept.
    """
    documents = parse_documents(files)
    authorship = Authorship(nonce, options.author, now_s)

    def wanted(base: Base) -> Wanted:
        return name_wanted(documents, base, options.is_pruning)

    return await _Apply(store, wanted, documents, authorship, options).run()


async def roll_back(
    store: KeyValueStore,
    to_revision: int,
    now_s: float,
    nonce: str,
    options: ApplyOptions = DEFAULT_OPTIONS,
) -> ApplyResult:
    """Make a new revision with the documents of an earlier one.

    Raises
    ------
    HistoryTooShortError
        If `to_revision` is no longer kept.
    """
    live = await read_live_set(store)
    history = await read_history(store)
    contents = contents_at_revision(live, history, to_revision)
    wanted: dict[str, Mapping[str, Any] | None] = dict.fromkeys(live.stored_by_key)
    wanted.update(contents)
    authorship = Authorship(nonce, options.author, now_s, f"rollback to {to_revision}")
    return await _Apply(store, lambda base: wanted, {}, authorship, options, make_base(live)).run()


async def read_live_set(store: KeyValueStore) -> LiveSet:
    """Read all documents in force."""
    result = await store.range(LIVE_PREFIX)
    return decode_live_set(result.entries, result.revision)


async def read_history(store: KeyValueStore) -> tuple[HistoryRecord, ...]:
    """Read the history records that are kept, oldest first."""
    return decode_history((await store.range(HISTORY_PREFIX)).entries)


async def find_base(store: KeyValueStore, live: LiveSet, revision: int | None) -> Base:
    """Return the documents at a revision, by default at the one in force.

    Raises
    ------
    HistoryTooShortError
        If the revision is no longer kept.
    """
    if revision is None or revision == live.head.revision:
        return make_base(live)
    history = await read_history(store)
    return Base(revision, contents_at_revision(live, history, revision))


def name_wanted(documents: Mapping[str, Document], base: Base, is_pruning: bool) -> Wanted:
    """Return what files ask for: their documents and, if pruning, no others of the base."""
    removed = dict.fromkeys(base.contents_by_key) if is_pruning else {}
    return {**removed, **{key: document.content for key, document in documents.items()}}


class _Apply:
    """One apply, through as many attempts as it takes."""

    def __init__(
        self,
        store: KeyValueStore,
        wanted: Callable[[Base], Wanted],
        documents: Mapping[str, Document],
        authorship: Authorship,
        options: ApplyOptions,
        base: Base | None = None,
    ) -> None:
        self._store = store
        self._wanted = wanted
        self._documents = documents
        self._authorship = authorship
        self._options = options
        self._base = base
        self._unsettled: ApplyResult | None = None
        self._last_revision = 0
        self._generator = np.random.default_rng(xxhash.xxh64_intdigest(authorship.nonce.encode()))

    async def run(self) -> ApplyResult:
        """Attempt until there is an outcome or no attempt is left."""
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
        outcome = ApplyOutcome.UNKNOWN if self._unsettled else ApplyOutcome.NOT_APPLIED
        return ApplyResult(outcome, self._last_revision, detail=detail)

    async def _attempt(self) -> ApplyResult | None:
        live = await read_live_set(self._store)
        self._last_revision = live.head.revision
        settled = await self._settle(live)
        if settled is not None:
            return settled
        if self._base is None:
            self._base = await find_base(self._store, live, self._options.base_revision)
        change_set = make_change_set(live, self._base, self._wanted(self._base))
        if change_set.conflicts:
            return ApplyResult(ApplyOutcome.CONFLICT, live.head.revision, (), change_set.conflicts)
        validate_change(live, change_set.changes, self._documents)
        kept = change_set.kept_keys
        if not change_set.changes:
            return ApplyResult(ApplyOutcome.UNCHANGED, live.head.revision, kept_keys=kept)
        return await self._swap(live, change_set.changes, kept)

    async def _swap(
        self, live: LiveSet, changes: tuple[DocumentChange, ...], kept: tuple[str, ...]
    ) -> ApplyResult | None:
        transaction = make_transaction(live, changes, self._authorship)
        result = ApplyResult(ApplyOutcome.APPLIED, transaction.revision, changes, kept_keys=kept)
        try:
            answer = await self._store.transact(transaction.compares, transaction.operations)
        except OutcomeUnknownError:
            self._unsettled = result
            raise
        return result if answer.succeeded else None

    async def _settle(self, live: LiveSet) -> ApplyResult | None:
        """Return the result of a swap whose answer was lost, if it did take effect."""
        if self._unsettled is None or live.head.revision < self._unsettled.revision:
            return None
        key = history_key(self._unsettled.revision)
        records = decode_history((await self._store.range(key, is_prefix=False)).entries)
        if records and records[0].nonce == self._authorship.nonce:
            return self._unsettled
        self._unsettled = None
        return None

    def _backoff_s(self, attempt: int) -> float:
        ceiling_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**attempt)
        return float(self._generator.uniform(0.0, ceiling_s))
