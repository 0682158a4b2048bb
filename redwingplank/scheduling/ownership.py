"""Ownership of a shard under a lease: decisions without input or output.

A candidate becomes the owner by one transaction that raises the shard's epoch and writes the
owner's key under a lease. The owner counts the lease from the time *before* a renewal was sent,
so that it always stops earlier than the store lets another candidate win.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec
import numpy as np

from redwingplank.scheduling.messages import OwnershipMode

__all__ = [
    "LeaseSettings",
    "OwnerRecord",
    "OwnerView",
    "OwnershipAction",
    "OwnershipActionKind",
    "ShardKeys",
    "ShardOwnership",
    "ShardTerm",
    "SuccessorRecord",
    "decode_owner",
    "decode_successor",
    "encode_record",
]


@dataclass(frozen=True, slots=True)
class ShardKeys:
    """Keys of one shard in the key-value store.

    Notes
    -----
    The owner and the named successor share a prefix, so that one read or watch sees both and
    none of the journal.
    """

    shard: str

    @property
    def epoch(self) -> str:
        """Persistent key of the highest epoch; only ever grows."""
        return f"shards/{self.shard}/epoch"

    @property
    def owner(self) -> str:
        """Key of the present owner, attached to its lease."""
        return f"shards/{self.shard}/owner"

    @property
    def successor(self) -> str:
        """Key of the candidate that a leaving owner names."""
        return f"shards/{self.shard}/owner.next"

    @property
    def journal(self) -> str:
        """Prefix of the shard's journal."""
        return f"shards/{self.shard}/journal/"


class OwnerRecord(msgspec.Struct, frozen=True):
    """Value of the epoch key and of the owner key.

    Parameters
    ----------
    epoch : int
        From 1.
    address : str
        ``"IP:PORT"`` of the owner.
    nonce : str
        Tells the owner's own write from others when the answer to it was lost.
    """

    epoch: int
    address: str
    nonce: str


class SuccessorRecord(msgspec.Struct, frozen=True):
    """Value of the successor key: who takes over after `epoch`."""

    epoch: int
    address: str


def encode_record(record: OwnerRecord | SuccessorRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Return the record that `encode_record` wrote."""
    return msgspec.json.decode(value, type=OwnerRecord)


def decode_successor(value: bytes) -> SuccessorRecord:
    """Return the record that `encode_record` wrote."""
    return msgspec.json.decode(value, type=SuccessorRecord)


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of a shard's lease.

    Parameters
    ----------
    ttl_s, renew_every_s : float
        The lease's length and the interval of its renewals.
    clock_margin_s : float
        Taken off the lease's end, for delays between check and use.
    clock_rate_error : float
        Largest relative difference between the rates of two clocks.
    degraded_bound_s : float
        Seconds after the lease's end during which running work is still renewed.
    poll_every_s : float
        Interval of a candidate's reads of the owner's key.
    jitter_s : float
        A candidate waits up to this long before it tries to win.
    successor_grace_s : float
        How long the others leave a hand-over to the named successor.
    retry_min_s, retry_max_s : float
        Bounds of the exponential backoff after failed calls.
    """

    ttl_s: float = 3.0
    renew_every_s: float = 1.0
    clock_margin_s: float = 0.1
    clock_rate_error: float = 0.01
    degraded_bound_s: float = 900.0
    poll_every_s: float = 2.0
    jitter_s: float = 0.3
    successor_grace_s: float = 1.0
    retry_min_s: float = 0.2
    retry_max_s: float = 3.0


@dataclass(frozen=True, slots=True)
class OwnerView:
    """What a candidate read: the present owner and the named successor, None where absent."""

    owner: OwnerRecord | None
    successor: SuccessorRecord | None = None


@dataclass(frozen=True, slots=True)
class ShardTerm:
    """One term of ownership.

    Parameters
    ----------
    epoch : int
        The term's epoch.
    epoch_revision : int
        Modification revision of the epoch key; every write of the term compares it.
    lease_id : int
        The lease that the owner's key is attached to.
    nonce : str
        The term's own mark in both records.
    """

    epoch: int
    epoch_revision: int
    lease_id: int
    nonce: str


class OwnershipActionKind(StrEnum):
    """Calls that the state machine asks for."""

    OBSERVE = "observe"
    ACQUIRE = "acquire"
    RENEW = "renew"
    REACQUIRE = "reacquire"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class OwnershipAction:
    """A call and the time from which it is due."""

    kind: OwnershipActionKind
    due_s: float


class ShardOwnership:
    """State machine of one candidate for one shard.

    Parameters
    ----------
    settings : LeaseSettings
        Times.
    address : str
        This process.
    generator : numpy.random.Generator
        Seeded source of the jitter.
    now_s : float
        Present time.

    Notes
    -----
    The caller asks `next_action`, does the call, and hands the result to the method of the same
    name. Only one call is in flight at a time.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        address: str,
        generator: np.random.Generator,
        now_s: float,
    ) -> None:
        self.settings = settings
        self.address = address
        self.term: ShardTerm | None = None
        self.known_owner: OwnerRecord | None = None
        self.valid_until_s = -np.inf
        self._generator = generator
        self._is_lost = False
        self._is_stopping = False
        self._is_lapsed = False
        self._failures = 0
        self._poll_at_s = now_s
        self._acquire_at_s: float | None = None
        self._call_at_s = now_s
        self._lease_end_s = -np.inf

    def mode(self, now_s: float) -> OwnershipMode:
        """Return what the lease allows now; LOST for a candidate too."""
        if self.term is None or self._is_lost or now_s >= self._degraded_end_s():
            return OwnershipMode.LOST
        if self._is_stopping:
            return OwnershipMode.STOPPING
        if now_s < self.valid_until_s:
            return OwnershipMode.OWNING
        return OwnershipMode.DEGRADED

    def next_action(self, now_s: float) -> OwnershipAction:
        """Return the next call and when it is due."""
        if self.term is None:
            if self._acquire_at_s is not None:
                return OwnershipAction(OwnershipActionKind.ACQUIRE, self._acquire_at_s)
            return OwnershipAction(OwnershipActionKind.OBSERVE, self._poll_at_s)
        if self.mode(now_s) is OwnershipMode.LOST:
            return OwnershipAction(OwnershipActionKind.NONE, now_s)
        if self._is_lapsed:
            return OwnershipAction(OwnershipActionKind.REACQUIRE, self._call_at_s)
        return OwnershipAction(OwnershipActionKind.RENEW, self._call_at_s)

    # A candidate

    def wake(self, now_s: float) -> None:
        """Read the owner's key at once: something said that it changed."""
        if self.term is None and self._acquire_at_s is None:
            self._poll_at_s = now_s

    def observed(self, now_s: float, view: OwnerView) -> None:
        """Take in a read of the owner's key."""
        self._failures = 0
        self._poll_at_s = now_s + self._jittered(self.settings.poll_every_s)
        if view.owner is not None:
            self.known_owner = view.owner
            self._acquire_at_s = None
        elif self._acquire_at_s is None:
            self._acquire_at_s = now_s + self._acquire_delay_s(view.successor)

    def observe_failed(self, now_s: float) -> None:
        """The read failed: try again later, not in step with the other candidates."""
        self._acquire_at_s = None
        self._poll_at_s = now_s + self._backoff_s()

    def acquired(self, sent_at_s: float, remaining_s: float, term: ShardTerm) -> None:
        """The election was won; `sent_at_s` is before the lease was granted or renewed."""
        self.term = term
        self.known_owner = OwnerRecord(term.epoch, self.address, term.nonce)
        self._acquire_at_s = None
        self._extend(sent_at_s, remaining_s)

    def acquire_failed(self, now_s: float) -> None:
        """Another candidate won, or the store did not answer."""
        self._acquire_at_s = None
        self._poll_at_s = now_s + self._backoff_s()

    # An owner

    def renewed(self, sent_at_s: float, remaining_s: float) -> None:
        """The lease was renewed by a call that was sent at `sent_at_s`."""
        self._extend(sent_at_s, remaining_s)

    def renew_failed(self, now_s: float) -> None:
        """The call failed; the lease ends when it ends."""
        self._call_at_s = now_s + self._backoff_s()

    def lapsed(self, now_s: float) -> None:
        """The store says that the lease is over: another owner may exist from now on."""
        self._is_lapsed = True
        self.valid_until_s = min(self.valid_until_s, now_s)
        self._call_at_s = now_s + self._jittered(self.settings.retry_min_s)

    def reacquired(self, sent_at_s: float, remaining_s: float, term: ShardTerm) -> None:
        """The owner's key stands again under the unchanged epoch: nobody else won meanwhile."""
        self.term = term
        self._is_lapsed = False
        self._extend(sent_at_s, remaining_s)

    def superseded(self) -> None:
        """A higher epoch exists: at the store, at a worker or in the journal."""
        self._is_lost = True

    def begin_stop(self) -> None:
        """A planned stop begins: start nothing more."""
        self._is_stopping = True

    def leave(self, now_s: float) -> None:
        """Become a candidate again after the term is over."""
        self.term = None
        self._is_lost = self._is_stopping = self._is_lapsed = False
        self.valid_until_s = self._lease_end_s = -np.inf
        self._acquire_at_s = None
        self._poll_at_s = now_s + self._backoff_s()

    # Times

    def _degraded_end_s(self) -> float:
        return self._lease_end_s + self.settings.degraded_bound_s

    def _extend(self, sent_at_s: float, remaining_s: float) -> None:
        usable_s = remaining_s * (1.0 - self.settings.clock_rate_error)
        self.valid_until_s = sent_at_s + usable_s - self.settings.clock_margin_s
        self._lease_end_s = self.valid_until_s
        self._call_at_s = sent_at_s + self.settings.renew_every_s
        self._failures = 0

    def _acquire_delay_s(self, successor: SuccessorRecord | None) -> float:
        delay_s = float(self._generator.uniform(0.0, self.settings.jitter_s))
        if successor is None:
            return delay_s
        if successor.address == self.address:
            return 0.0
        return self.settings.successor_grace_s + delay_s

    def _backoff_s(self) -> float:
        self._failures += 1
        exponent = min(self._failures - 1, 10)
        longest_s = min(self.settings.retry_max_s, self.settings.retry_min_s * 2.0**exponent)
        return self._jittered(longest_s)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * float(self._generator.uniform(0.5, 1.0))
