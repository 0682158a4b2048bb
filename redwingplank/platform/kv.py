"""The platform's key-value service: compare-and-swap, leases and watches.

The shape follows the published etcd version 3 interface, reduced to range, transaction, lease
and watch.

References
----------
etcd API reference, version 3: https://etcd.io/docs/v3.5/learning/api/
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

__all__ = [
    "MAX_VALUE_BYTES",
    "Compare",
    "Delete",
    "KeyValue",
    "KeyValueStore",
    "Put",
    "RangeResult",
    "TransactionResult",
    "WatchBatch",
    "WatchEvent",
]

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key as stored.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        At most `MAX_VALUE_BYTES`.
    create_revision, mod_revision : int
        Store revisions of the key's creation and last change.
    lease_id : int
        The lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the key's modification revision equals `mod_revision`, 0 for "is absent"."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key; `lease_id` 0 attaches it to no lease."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete a key, or every key with the prefix `key` if `is_prefix`."""

    key: str
    is_prefix: bool = False


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Keys in order, with the store's revision at the time of the read."""

    entries: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether the conditions held and the operations were done, and the store's revision."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; `entry` is None when the key was deleted."""

    key: str
    entry: KeyValue | None


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes up to and including `revision`; a batch without events is a sign of life."""

    events: tuple[WatchEvent, ...]
    revision: int


class KeyValueStore(ABC):
    """Client of the key-value service.

    Notes
    -----
    Every method raises `UnavailableError` when the call certainly had no effect and
    `OutcomeUnknownError` when it may have had one. Every call counts against the platform's
    rates, a waiting watch as one.
    """

    @abstractmethod
    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        """Read the key `prefix`, or all keys that begin with it."""

    @abstractmethod
    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Do all `operations` if all `compares` hold, or nothing."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease of `ttl_s` seconds and return its id."""

    @abstractmethod
    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining seconds, 0 or less if it has lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease at once, which deletes the keys attached to it."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield the changes of keys with `prefix` after a revision until closed or failed."""
