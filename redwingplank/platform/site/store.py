"""Client of the platform's key-value store."""

import base64
import enum
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from redwingplank.core import RedwingError, UndecodableError, decode_json
from redwingplank.platform.site.http import NoAnswerError, Reply, SiteClient

__all__ = [
    "HistoryGoneError",
    "Item",
    "Page",
    "Put",
    "SiteStore",
    "StoreInvalidCallError",
    "StoreRefusedError",
    "TransactionOutcome",
    "TransactionResult",
    "WatchPage",
]

T = TypeVar("T")

WATCH_SLACK_S = 1.5
"""Added to the wait of a watch for the time-out of its call."""


class StoreRefusedError(RedwingError):
    """The store refused the call, which had no effect."""


class StoreInvalidCallError(StoreRefusedError):
    """The store refused the call as invalid."""


class HistoryGoneError(RedwingError):
    """The store has discarded the history that a watch asked for."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its value, which is None in an event of the key's removal."""

    key: str
    value: bytes | None
    revision: int
    created: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Put:
    """A key to write; it is attached to the lease unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Page:
    """Items of a range, and the store's revision at which they were read.

    With `has_more`, the range holds further items, which begin after the last one of these.
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class WatchPage:
    """Changes after a revision, and the revision from which to watch on."""

    events: tuple[Item, ...]
    revision: int


class TransactionOutcome(enum.Enum):
    """Result of a transaction that was answered."""

    DONE = enum.auto()
    CONFLICT = enum.auto()
    """A key did not have its expected revision; nothing was written."""
    LEASE_GONE = enum.auto()
    """The lease of a put has expired; nothing was written."""


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction, with the revision of its writes.

    After a conflict, `found` holds the compared items that exist.
    """

    outcome: TransactionOutcome
    revision: int = 0
    found: tuple[Item, ...] = ()

    def find(self, key: str) -> Item | None:
        """Return the item of a compared key after a conflict, None if the key does not exist."""
        for item in self.found:
            if item.key == key and item.revision > 0:
                return item
        return None


class _WireItem(msgspec.Struct):
    key: str = ""
    value: str = ""
    revision: int = 0
    created: int = 0
    lease_id: int = 0
    at_rev: int = 0
    deleted: bool = False


class _WireRange(msgspec.Struct):
    items: list[_WireItem] = []
    has_more: bool = False
    at_rev: int = 0


class _WireEvents(msgspec.Struct):
    events: list[_WireItem] = []
    at_rev: int = 0


class _WireTransaction(msgspec.Struct):
    revision: int = 0
    items: list[_WireItem | None] = []


class _WireLease(msgspec.Struct):
    lease_id: int = 0
    ttl_ms: float = 0


class SiteStore:
    """Calls of the store, each with a time limit.

    Parameters
    ----------
    client : SiteClient
        Sends the calls.
    address : str
        ``"IP:PORT"`` of the store.
    observe : callable
        Called with the name and the duration in seconds of each call, except for watches, whose
        duration is mostly waiting.

    Notes
    -----
    Every method raises `NotSentError` or `NoAnswerError` if it gets no usable answer, and
    `StoreRefusedError` if the store refused the call, which then had no effect.

    Calls whose answers may be large take a function `on_headers`, which is called when the answer
    begins, but not for a refusal. From then on the time-out only limits how long the transfer may
    make no progress.
    """

    def __init__(
        self, client: SiteClient, address: str, observe: Callable[[str, float], None]
    ) -> None:
        self._client = client
        self._address = address
        self._observe = observe

    async def get(
        self, key: str, timeout_s: float, on_headers: Callable[[], None] | None = None
    ) -> Item | None:
        """Return the item of a key, None if the key does not exist."""
        target = f"/-/kv-key?key={quote(key, safe='')}"
        reply = await self._call("get", "GET", target, timeout_s, on_headers=on_headers)
        if reply.status == 404:
            return None
        return _read_item(_decode(_raise_for_status(reply), _WireItem))

    async def read_page(
        self,
        prefix: str,
        after: str,
        timeout_s: float,
        on_headers: Callable[[], None] | None = None,
    ) -> Page:
        """Return the first items under a prefix whose keys come after `after` (empty for all)."""
        target = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        target += f"&after={quote(after, safe='')}" if after else ""
        reply = await self._call("range", "GET", target, timeout_s, on_headers=on_headers)
        page = _decode(_raise_for_status(reply), _WireRange)
        items = tuple(_read_item(item) for item in page.items)
        return Page(items, page.at_rev, page.has_more)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        slack_s: float | None = None,
        on_headers: Callable[[], None] | None = None,
    ) -> WatchPage:
        """Wait up to `wait_s` for changes under a prefix after a revision.

        The call fails if no answer has begun `slack_s` after the wait, by default `WATCH_SLACK_S`.

        Raises
        ------
        HistoryGoneError
            The store has discarded changes after the revision; the range has to be read again.
        """
        target = f"/-/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
        target += f"&wait_ms={round(wait_s * 1000)}"
        timeout_s = wait_s + (WATCH_SLACK_S if slack_s is None else slack_s)
        reply = await self._client.call(
            "GET", self._address, target, timeout_s, on_headers=on_headers or _ignore_headers
        )
        if reply.status == 410:
            raise HistoryGoneError(f"changes of {prefix} after {after} are gone")
        page = _decode(_raise_for_status(reply), _WireEvents)
        events = tuple(_read_item(event) for event in page.events)
        return WatchPage(events, max(page.at_rev, after))

    async def transact(
        self,
        expected: dict[str, int],
        puts: list[Put],
        removes: list[str],
        timeout_s: float,
        on_headers: Callable[[], None] | None = None,
    ) -> TransactionResult:
        """Change keys atomically if each key of `expected` has its given revision (0 if absent)."""
        body = {
            "expect": [{"key": key, "revision": revision} for key, revision in expected.items()],
            "puts": [_write_put(put) for put in puts],
            "remove": removes,
        }
        reply = await self._call(
            "transact", "POST", "/-/kv-txn", timeout_s, msgspec.json.encode(body), on_headers
        )
        if reply.status == 404:
            return TransactionResult(TransactionOutcome.LEASE_GONE)
        if reply.status == 412:
            wire = _decode(reply, _WireTransaction)
            found = tuple(_read_item(item) for item in wire.items if item is not None)
            return TransactionResult(TransactionOutcome.CONFLICT, 0, found)
        wire = _decode(_raise_for_status(reply), _WireTransaction)
        return TransactionResult(TransactionOutcome.DONE, wire.revision)

    async def open_lease(self, ttl_s: float, timeout_s: float) -> int:
        """Open a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": round(ttl_s * 1000)})
        reply = await self._call("open_lease", "POST", "/-/kv-lease", timeout_s, body)
        return _decode(_raise_for_status(reply), _WireLease).lease_id

    async def renew_lease(self, lease: int, timeout_s: float) -> bool:
        """Renew a lease; return False if it has expired."""
        reply = await self._call("renew_lease", "POST", f"/-/kv-keep/{lease}", timeout_s)
        if reply.status == 404:
            return False
        _raise_for_status(reply)
        return True

    async def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease, which removes its keys; a lease that has already expired is no error."""
        reply = await self._call("end_lease", "DELETE", f"/-/kv-lease-end/{lease}", timeout_s)
        if reply.status != 404:
            _raise_for_status(reply)

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        on_headers: Callable[[], None] | None = None,
    ) -> Reply:
        started_s = time.monotonic()
        try:
            return await self._client.call(
                method, self._address, target, timeout_s, body, on_headers=on_headers
            )
        finally:
            self._observe(name, time.monotonic() - started_s)


def _ignore_headers() -> None:
    """Stand for a caller that need not know when its answer begins."""


def _raise_for_status(reply: Reply) -> Reply:
    if reply.is_ok:
        return reply
    if reply.status == 400:
        raise StoreInvalidCallError("the store refused the call as invalid")
    if reply.status in (403, 404, 412, 429, 503):
        raise StoreRefusedError(f"the store refused with status {reply.status}")
    raise NoAnswerError(f"the store answered with status {reply.status}")


def _decode(reply: Reply, kind: type[T]) -> T:
    try:
        return decode_json(reply.body, kind)
    except UndecodableError as error:
        raise NoAnswerError(f"unreadable answer of the store: {error}") from error


def _read_item(wire: _WireItem) -> Item:
    value = None if wire.deleted else base64.b64decode(wire.value)
    return Item(wire.key, value, wire.revision, wire.created, wire.lease_id)


def _write_put(put: Put) -> dict[str, object]:
    text = base64.b64encode(put.value).decode("ascii")
    return {"key": put.key, "value": text, "lease_id": put.lease}
