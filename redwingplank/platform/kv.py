"""Interface to the platform's key-value service: compare-and-swap, leases and watches.

It follows the published interface of etcd version 3, reduced to range, transaction, lease and
watch.

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
    """A key with its value, as stored.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value, of at most `MAX_VALUE_BYTES` bytes.
    create_revision, mod_revision : int
        Revisions of the store at which the key was created and last changed.
    lease_id : int
        Lease to which the key is attached, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """The condition that a key was last changed at `mod_revision`; 0 means the key is absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """An operation that writes a key; `lease_id` 0 attaches it to no lease."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """An operation that deletes a key, or every key with the prefix `key` if `is_prefix`."""

    key: str
    is_prefix: bool = False


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Entries in the order of their keys, and the store's revision at the time of the read."""

    entries: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether the conditions held and the operations were executed, and the store's revision."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; `entry` is None if the key was deleted."""

    key: str
    entry: KeyValue | None


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes up to and including `revision`; a batch without events shows that the watch works."""

    events: tuple[WatchEvent, ...]
    revision: int


class KeyValueStore(ABC):
    """Client of the key-value service.

    Notes
    -----
    Every method raises `UnavailableError` if the call certainly had no effect and
    `OutcomeUnknownError` if it may have had one. A client bounds the wait for the begin of an
    answer and for its progress, not its transfer. Every call counts against the platform's rate
    limits; an open watch counts as one call.
    """

    @abstractmethod
    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        """Read the key `prefix`, or all keys that begin with it."""

    @abstractmethod
    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Execute all `operations` if all `compares` hold, and none otherwise."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease of `ttl_s` seconds and return its id."""

    @abstractmethod
    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining seconds, 0 or less if it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease at once, which deletes the keys attached to it."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield the changes of keys with `prefix` after a revision, until closed or failed."""
