"""Orders, which run at most once: decisions of the shard that owns an ``Idempotency-Key``.

The order book does no input or output. The first claim of an order returns a record, which the
caller must make durable before the claimant is allowed to send the order.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec
import xxhash

from redwingplank.core import InvalidValueError

__all__ = [
    "ClaimAnswer",
    "ClaimOutcome",
    "OrderBook",
    "OrderBookSettings",
    "OrderClaim",
    "OrderEnd",
    "OrderKey",
    "OrderRecord",
    "OrderReport",
    "OrderState",
    "StoredAnswer",
]


class ClaimOutcome(StrEnum):
    """Outcome of a claim, as decided by the shard that owns the order.

    ABSENT means that the order is not recorded; FIRST that the claimant may send it; REPEAT that
    it was completed and its answer is stored; NOT_KEPT that it was completed but its answer is not
    stored; UNKNOWN that it may have run; CONFLICT that the key was used with another body.
    """

    ABSENT = "absent"
    FIRST = "first"
    REPEAT = "repeat"
    IN_PROGRESS = "in_progress"
    NOT_KEPT = "not_kept"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class OrderState(StrEnum):
    """State of a recorded order.

    RECORDING is the time until the record of the first claim is durable. The other states have the
    same meanings as in `ClaimOutcome` and `OrderEnd`; CLAIMED means that no completion is reported.
    """

    RECORDING = "recording"
    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    UNKNOWN = "unknown"


class OrderEnd(StrEnum):
    """How the run of an order by its claimant ended.

    NOT_KEPT means that the answer is not reported for storage; NOT_RUN that the order certainly did
    not run, so that it may be claimed again; UNKNOWN that it may have run.
    """

    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderKey:
    """A caller's ``Idempotency-Key``, which is unique within its organisation and service."""

    organisation: str
    service: str
    key: str

    def digest(self) -> str:
        """Return a hexadecimal digest of fixed length that identifies the key."""
        parts = "\n".join((self.organisation, self.service, self.key))
        return xxhash.xxh3_128_hexdigest(parts.encode())


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that is stored to be returned to repeats of the order."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class OrderClaim:
    """Request of an entry for permission to send an order.

    Parameters
    ----------
    key : OrderKey
        Key of the order.
    claim_id : str
        Unique id of the caller's request; a claim repeated with the same id gets the same answer.
    entry : str
        Name of the claiming entry.
    body_digest : str
        Digest of the request body; a key that is reused with another body is rejected.
    timeout_s : float
        Seconds after which the claimant certainly no longer sends the order.
    """

    key: OrderKey
    claim_id: str
    entry: str
    body_digest: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer to a claim; `answer` is set only for REPEAT."""

    outcome: ClaimOutcome
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class OrderReport:
    """Report of an entry on how its run of an order ended; `answer` is set for ANSWERED."""

    key: OrderKey
    claim_id: str
    end: OrderEnd
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """Stored state of an order.

    Parameters
    ----------
    digest : str
        Digest of the order's key.
    claim_id, entry, body_digest : str
        Copied from the first claim.
    state : OrderState
        Present state of the order.
    claimed_s : float
        Time of the claim, in seconds since 1970.
    timeout_s : float
        Timeout of the claim, in seconds.
    answer : StoredAnswer or None
        Answer to return to repeats; set only in state ANSWERED.
    """

    digest: str
    claim_id: str
    entry: str
    body_digest: str
    state: OrderState
    claimed_s: float
    timeout_s: float
    answer: StoredAnswer | None = None

    def encode(self) -> bytes:
        """Return the record encoded as MessagePack."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> "OrderRecord":
        """Return the record that `encode` encoded."""
        return msgspec.msgpack.decode(data, type=OrderRecord)


@dataclass(frozen=True, slots=True)
class OrderBookSettings:
    """Limits of an order book.

    Parameters
    ----------
    retention_s : float
        Seconds after the claim for which a repeat of an order is recognised.
    claim_margin_s : float
        Seconds added to a claim's timeout, after which a claim without a report of its completion
        becomes UNKNOWN.
    max_answer_bytes : int
        Size of the largest answer body that is stored.
    max_held_bytes : int
        Maximum total size of the answer bodies in memory; beyond it the oldest are evicted.
    """

    retention_s: float = 86_400.0
    claim_margin_s: float = 1.0
    max_answer_bytes: int = 65_536
    max_held_bytes: int = 33_554_432

    def __post_init__(self) -> None:
        if self.max_held_bytes < self.max_answer_bytes:
            raise InvalidValueError("max_held_bytes must be at least max_answer_bytes")


class OrderBook:
    """Orders that are owned by one shard.

    Parameters
    ----------
    settings : OrderBookSettings or None
        Limits of the book; None for the defaults.
    """

    def __init__(self, settings: OrderBookSettings | None = None) -> None:
        self._settings = settings or OrderBookSettings()
        self._records_by_digest: dict[str, OrderRecord] = {}
        self._stored_answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_digest)

    def find_claim_answer(self, now_s: float, claim: OrderClaim) -> ClaimAnswer:
        """Return the answer to a claim without claiming its order; ABSENT if it is unclaimed."""
        record = self._find_record(now_s, claim.key.digest())
        if record is None:
            return ClaimAnswer(ClaimOutcome.ABSENT)
        if record.body_digest != claim.body_digest:
            return ClaimAnswer(ClaimOutcome.CONFLICT)
        if record.state is OrderState.ANSWERED:
            return ClaimAnswer(ClaimOutcome.REPEAT, record.answer)
        if record.state is OrderState.CLAIMED and record.claim_id == claim.claim_id:
            return ClaimAnswer(ClaimOutcome.FIRST)
        if record.state in (OrderState.CLAIMED, OrderState.RECORDING):
            return ClaimAnswer(ClaimOutcome.IN_PROGRESS)
        if record.state is OrderState.NOT_KEPT:
            return ClaimAnswer(ClaimOutcome.NOT_KEPT)
        return ClaimAnswer(ClaimOutcome.UNKNOWN)

    def claim(self, now_s: float, claim: OrderClaim) -> ClaimAnswer | OrderRecord:
        """Claim an order.

        Returns
        -------
        ClaimAnswer or OrderRecord
            A record for a first claim, which the caller has to make durable and then pass to
            `confirm_claim`, or to `discard_claim` if that failed; otherwise the answer.
        """
        known = self.find_claim_answer(now_s, claim)
        if known.outcome is not ClaimOutcome.ABSENT:
            return known
        record = OrderRecord(
            digest=claim.key.digest(),
            claim_id=claim.claim_id,
            entry=claim.entry,
            body_digest=claim.body_digest,
            state=OrderState.RECORDING,
            claimed_s=now_s,
            timeout_s=claim.timeout_s,
        )
        self._records_by_digest[record.digest] = record
        return replace(record, state=OrderState.CLAIMED)

    def confirm_claim(self, record: OrderRecord) -> ClaimAnswer:
        """Mark a claim whose record is durable as confirmed; the claimant may send the order."""
        self._records_by_digest[record.digest] = record
        return ClaimAnswer(ClaimOutcome.FIRST)

    def discard_claim(self, record: OrderRecord) -> None:
        """Discard a claim that was not confirmed as durable; its claimant must not send it."""
        known = self._records_by_digest.get(record.digest)
        if known is not None and known.claim_id == record.claim_id:
            del self._records_by_digest[record.digest]

    def record_completion(self, now_s: float, report: OrderReport) -> OrderRecord | str | None:
        """Record how the run of an order ended.

        Returns
        -------
        OrderRecord, str or None
            The record that replaces the claim's record in the log; or the digest of a record to
            delete; or None if the report belongs to another claim or changes nothing.
        """
        digest = report.key.digest()
        record = self._find_record(now_s, digest)
        if record is None or record.claim_id != report.claim_id:
            return None
        if report.end is OrderEnd.NOT_RUN:
            self._remove(digest)
            return digest
        if record.state in (OrderState.ANSWERED, OrderState.NOT_KEPT):
            return None
        completed = self._apply_report(record, report)
        self._store(completed)
        return completed

    def restore_record(self, record: OrderRecord) -> None:
        """Restore a record that was read from the log."""
        self._store(record)

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Remove the orders whose retention has expired and return their digests."""
        oldest_s = now_s - self._settings.retention_s
        expired = tuple(
            digest
            for digest, record in self._records_by_digest.items()
            if record.claimed_s < oldest_s and record.state is not OrderState.RECORDING
        )
        for digest in expired:
            self._remove(digest)
        return expired

    def _find_record(self, now_s: float, digest: str) -> OrderRecord | None:
        record = self._records_by_digest.get(digest)
        if record is None or record.state is not OrderState.CLAIMED:
            return record
        expires_s = record.claimed_s + record.timeout_s + self._settings.claim_margin_s
        if now_s > expires_s:
            record = replace(record, state=OrderState.UNKNOWN)
            self._records_by_digest[digest] = record
        return record

    def _apply_report(self, record: OrderRecord, report: OrderReport) -> OrderRecord:
        if report.end is OrderEnd.UNKNOWN:
            return replace(record, state=OrderState.UNKNOWN)
        answer = report.answer
        if answer is None or len(answer.body) > self._settings.max_answer_bytes:
            return replace(record, state=OrderState.NOT_KEPT)
        return replace(record, state=OrderState.ANSWERED, answer=answer)

    def _store(self, record: OrderRecord) -> None:
        self._remove(record.digest)
        self._records_by_digest[record.digest] = record
        self._stored_answer_bytes += _answer_bytes(record)
        if self._stored_answer_bytes > self._settings.max_held_bytes:
            self._evict_oldest_answers()

    def _evict_oldest_answers(self) -> None:
        for digest, record in list(self._records_by_digest.items()):
            if self._stored_answer_bytes <= self._settings.max_held_bytes:
                return
            if record.state is OrderState.ANSWERED:
                self._stored_answer_bytes -= _answer_bytes(record)
                without_answer = replace(record, state=OrderState.NOT_KEPT, answer=None)
                self._records_by_digest[digest] = without_answer

    def _remove(self, digest: str) -> None:
        record = self._records_by_digest.pop(digest, None)
        if record is not None:
            self._stored_answer_bytes -= _answer_bytes(record)


def _answer_bytes(record: OrderRecord) -> int:
    return len(record.answer.body) if record.answer else 0
