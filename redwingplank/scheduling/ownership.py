"""State machine of a shard's ownership under a lease, without any input or output.

A candidate becomes the owner with a transaction that increments the shard's epoch and writes the
owner key under a lease. The owner counts the lease from the time *before* a renewal was sent, so
that it always stops before the store lets another candidate win.
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
    The owner key and the successor key share a prefix, so that one read or watch covers both
    without the journal.
    """

    shard: str

    @property
    def epoch(self) -> str:
        """Persistent key of the highest epoch, which never decreases."""
        return f"shards/{self.shard}/epoch"

    @property
    def owner(self) -> str:
        """Key of the current owner, attached to the owner's lease."""
        return f"shards/{self.shard}/owner"

    @property
    def successor(self) -> str:
        """Key of the candidate that a leaving owner names as its successor."""
        return f"shards/{self.shard}/owner.next"

    @property
    def journal(self) -> str:
        """Prefix of the shard's journal keys."""
        return f"shards/{self.shard}/journal/"


class OwnerRecord(msgspec.Struct, frozen=True):
    """Value of the epoch key and of the owner key.

    Parameters
    ----------
    epoch : int
        Epoch of the owner, counted from 1.
    address : str
        ``"IP:PORT"`` of the owner.
    nonce : str
        Lets the owner tell its own write from that of another candidate when the answer to the
        write was lost.
    """

    epoch: int
    address: str
    nonce: str


class SuccessorRecord(msgspec.Struct, frozen=True):
    """Value of the successor key: the candidate that is to take over after `epoch`."""

    epoch: int
    address: str


def encode_record(record: OwnerRecord | SuccessorRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Return the owner record that `encode_record` encoded."""
    return msgspec.json.decode(value, type=OwnerRecord)


def decode_successor(value: bytes) -> SuccessorRecord:
    """Return the successor record that `encode_record` encoded."""
    return msgspec.json.decode(value, type=SuccessorRecord)


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Durations of a shard's lease and of the calls around it.

    Parameters
    ----------
    ttl_s, renew_every_s : float
        Length of the lease, and interval between its renewals.
    clock_margin_s : float
        Subtracted from the lease's expiry to allow for delays between check and use.
    clock_rate_error : float
        Largest relative difference between the rates of two clocks.
    degraded_bound_s : float
        Time after the lease's expiry during which running work is still renewed.
    poll_every_s : float
        Interval between a candidate's reads of the owner key.
    jitter_s : float
        Upper bound of the random delay before a candidate tries to acquire the shard.
    successor_grace_s : float
        Additional delay of all other candidates when a successor is named.
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
    """Result of a candidate's read: current owner and named successor, None where absent."""

    owner: OwnerRecord | None
    successor: SuccessorRecord | None = None


@dataclass(frozen=True, slots=True)
class ShardTerm:
    """One period of ownership under a single epoch.

    Parameters
    ----------
    epoch : int
        The owner's epoch.
    epoch_revision : int
        Modification revision of the epoch key, which every write of the owner compares.
    lease_id : int
        Id of the lease that the owner key is attached to.
    nonce : str
        Identifies this period of ownership in the epoch and owner records.
    """

    epoch: int
    epoch_revision: int
    lease_id: int
    nonce: str


class OwnershipActionKind(StrEnum):
    """Calls to the store that the state machine requests."""

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
    """State machine of one process that is a candidate for, or the owner of, one shard.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of the lease.
    address : str
        ``"IP:PORT"`` of this process.
    generator : numpy.random.Generator
        Seeded generator for the jitter.
    now_s : float
        Current time.

    Notes
    -----
    The caller reads `next_action`, makes the call, and passes the result to the method named
    after the call. Only one call is in flight at a time.
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
        self._is_lease_expired = False
        self._failures = 0
        self._poll_at_s = now_s
        self._acquire_at_s: float | None = None
        self._next_call_at_s = now_s
        self._lease_expiry_s = -np.inf

    def mode(self, now_s: float) -> OwnershipMode:
        """Return what the lease allows at `now_s`; a candidate is LOST as well."""
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
        if self._is_lease_expired:
            return OwnershipAction(OwnershipActionKind.REACQUIRE, self._next_call_at_s)
        return OwnershipAction(OwnershipActionKind.RENEW, self._next_call_at_s)

    # Candidate

    def wake(self, now_s: float) -> None:
        """Make a read of the owner key due at once, after a notice that it changed."""
        if self.term is None and self._acquire_at_s is None:
            self._poll_at_s = now_s

    def observed(self, now_s: float, view: OwnerView) -> None:
        """Handle a read of the owner key."""
        self._failures = 0
        self._poll_at_s = now_s + self._jittered(self.settings.poll_every_s)
        if view.owner is not None:
            self.known_owner = view.owner
            self._acquire_at_s = None
        elif self._acquire_at_s is None:
            self._acquire_at_s = now_s + self._acquire_delay_s(view.successor)

    def observe_failed(self, now_s: float) -> None:
        """Back off after a failed read, with jitter so that candidates do not retry together."""
        self._acquire_at_s = None
        self._poll_at_s = now_s + self._backoff_s()

    def acquired(self, sent_at_s: float, remaining_s: float, term: ShardTerm) -> None:
        """Become the owner; `sent_at_s` is from before the lease was granted or renewed."""
        self.term = term
        self.known_owner = OwnerRecord(term.epoch, self.address, term.nonce)
        self._acquire_at_s = None
        self._extend_lease(sent_at_s, remaining_s)

    def acquire_failed(self, now_s: float) -> None:
        """Back off after another candidate won or the store did not answer."""
        self._acquire_at_s = None
        self._poll_at_s = now_s + self._backoff_s()

    # Owner

    def renewed(self, sent_at_s: float, remaining_s: float) -> None:
        """Extend the lease, which a call sent at `sent_at_s` has renewed."""
        self._extend_lease(sent_at_s, remaining_s)

    def renew_failed(self, now_s: float) -> None:
        """Back off after a failed renewal; the lease keeps its expiry time."""
        self._next_call_at_s = now_s + self._backoff_s()

    def lapsed(self, now_s: float) -> None:
        """Handle an expired lease, as the store reports it: another owner may exist from now on."""
        self._is_lease_expired = True
        self.valid_until_s = min(self.valid_until_s, now_s)
        self._next_call_at_s = now_s + self._jittered(self.settings.retry_min_s)

    def reacquired(self, sent_at_s: float, remaining_s: float, term: ShardTerm) -> None:
        """Extend the lease after the owner key was written again under the unchanged epoch.

        The unchanged epoch means that no other candidate has won in the meantime.
        """
        self.term = term
        self._is_lease_expired = False
        self._extend_lease(sent_at_s, remaining_s)

    def superseded(self) -> None:
        """Give up ownership: the store, a worker or the journal has shown a higher epoch."""
        self._is_lost = True

    def begin_stop(self) -> None:
        """Begin a planned stop, from which on no task is started."""
        self._is_stopping = True

    def leave(self, now_s: float) -> None:
        """Become a candidate again after ownership has ended."""
        self.term = None
        self._is_lost = self._is_stopping = self._is_lease_expired = False
        self.valid_until_s = self._lease_expiry_s = -np.inf
        self._acquire_at_s = None
        self._poll_at_s = now_s + self._backoff_s()

    # Expiry, delays and backoff

    def _degraded_end_s(self) -> float:
        return self._lease_expiry_s + self.settings.degraded_bound_s

    def _extend_lease(self, sent_at_s: float, remaining_s: float) -> None:
        safe_remaining_s = remaining_s * (1.0 - self.settings.clock_rate_error)
        self.valid_until_s = sent_at_s + safe_remaining_s - self.settings.clock_margin_s
        self._lease_expiry_s = self.valid_until_s
        self._next_call_at_s = sent_at_s + self.settings.renew_every_s
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
        max_backoff_s = min(self.settings.retry_max_s, self.settings.retry_min_s * 2.0**exponent)
        return self._jittered(max_backoff_s)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * float(self._generator.uniform(0.5, 1.0))
