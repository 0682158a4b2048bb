"""Orders that run at most once: what the home of an ``Idempotency-Key`` decides.

The book does no input or output. A first claim returns a record that has to be durable before
the claimant is told that it may send.
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
    """What the home says to a claim."""

    ABSENT = "absent"
    FIRST = "first"
    REPEAT = "repeat"
    IN_PROGRESS = "in_progress"
    NOT_KEPT = "not_kept"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class OrderState(StrEnum):
    """State of a recorded order."""

    RECORDING = "recording"
    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    UNKNOWN = "unknown"


class OrderEnd(StrEnum):
    """How the claimant's run of an order ended."""

    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OrderKey:
    """A caller's ``Idempotency-Key``, within its organisation and service."""

    organisation: str
    service: str
    key: str

    def digest(self) -> str:
        """Return a fixed-length name of the key."""
        parts = "\n".join((self.organisation, self.service, self.key))
        return xxhash.xxh3_128_hexdigest(parts.encode())


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that is kept for repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class OrderClaim:
    """An entry asks whether it may send an order.

    Parameters
    ----------
    key : OrderKey
        The order.
    claim_id : str
        Unique for each caller's request; asking again with it gives the same answer.
    entry : str
        The claimant.
    body_digest : str
        Of the caller's body; a key with another body is refused.
    timeout_s : float
        Seconds after which the claimant certainly sends nothing any more.
    """

    key: OrderKey
    claim_id: str
    entry: str
    body_digest: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """The home's answer; `answer` is set for REPEAT."""

    outcome: ClaimOutcome
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class OrderReport:
    """An entry says how its run of an order ended; `answer` is set for ANSWERED."""

    key: OrderKey
    claim_id: str
    end: OrderEnd
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """What is kept of an order.

    Parameters
    ----------
    digest : str
        Of the order's key.
    claim_id, entry, body_digest : str
        Of the first claim.
    state : OrderState
        How far it is.
    claimed_s : float
        When it was claimed, in seconds since 1970.
    timeout_s : float
        Of the claim.
    answer : StoredAnswer or None
        For ANSWERED.
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
        """Return the record as bytes."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> "OrderRecord":
        """Return the record that `encode` wrote."""
        return msgspec.msgpack.decode(data, type=OrderRecord)


@dataclass(frozen=True, slots=True)
class OrderBookSettings:
    """Bounds of a book.

    Parameters
    ----------
    retention_s : float
        Seconds for which a repeat is recognised.
    claim_margin_s : float
        Seconds added to a claim's timeout before its silence counts as an unknown end.
    max_answer_bytes : int
        Longest answer that is kept.
    max_held_bytes : int
        Most bytes of answers in memory; the oldest are dropped.
    """

    retention_s: float = 86_400.0
    claim_margin_s: float = 1.0
    max_answer_bytes: int = 65_536
    max_held_bytes: int = 33_554_432

    def __post_init__(self) -> None:
        if self.max_held_bytes < self.max_answer_bytes:
            raise InvalidValueError("max_held_bytes must hold at least one answer")


class OrderBook:
    """The orders whose home is one shard.

    Parameters
    ----------
    settings : OrderBookSettings
        Bounds.
    """

    def __init__(self, settings: OrderBookSettings | None = None) -> None:
        self._settings = settings or OrderBookSettings()
        self._records_by_digest: dict[str, OrderRecord] = {}
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_digest)

    def find_claim_answer(self, now_s: float, claim: OrderClaim) -> ClaimAnswer:
        """Return what is known of an order, without claiming it."""
        record = self._find(now_s, claim.key.digest())
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
            A record that has to be made durable, then `recorded` or `not_recorded` called; or the
            answer at once.
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
        """Note that a claim's record is durable; the claimant may send."""
        self._records_by_digest[record.digest] = record
        return ClaimAnswer(ClaimOutcome.FIRST)

    def discard_claim(self, record: OrderRecord) -> None:
        """Forget a claim whose record did not become durable; nobody was told to send."""
        known = self._records_by_digest.get(record.digest)
        if known is not None and known.claim_id == record.claim_id:
            del self._records_by_digest[record.digest]

    def record_completion(self, now_s: float, report: OrderReport) -> OrderRecord | str | None:
        """Take the end of a run.

        Returns
        -------
        OrderRecord, str or None
            The record to write in place of the claim's; the digest of a record to delete; or
            nothing, when the report is not of the recorded claim or changes nothing.
        """
        digest = report.key.digest()
        record = self._find(now_s, digest)
        if record is None or record.claim_id != report.claim_id:
            return None
        if report.end is OrderEnd.NOT_RUN:
            self._forget(digest)
            return digest
        if record.state in (OrderState.ANSWERED, OrderState.NOT_KEPT):
            return None
        ended = self._ended(record, report)
        self._keep(ended)
        return ended

    def restore_record(self, record: OrderRecord) -> None:
        """Take a record from the log."""
        self._keep(record)

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Forget the orders whose retention is over and return their digests."""
        oldest_s = now_s - self._settings.retention_s
        expired = tuple(
            digest
            for digest, record in self._records_by_digest.items()
            if record.claimed_s < oldest_s and record.state is not OrderState.RECORDING
        )
        for digest in expired:
            self._forget(digest)
        return expired

    def _find(self, now_s: float, digest: str) -> OrderRecord | None:
        record = self._records_by_digest.get(digest)
        if record is None or record.state is not OrderState.CLAIMED:
            return record
        silent_after_s = record.claimed_s + record.timeout_s + self._settings.claim_margin_s
        if now_s > silent_after_s:
            record = replace(record, state=OrderState.UNKNOWN)
            self._records_by_digest[digest] = record
        return record

    def _ended(self, record: OrderRecord, report: OrderReport) -> OrderRecord:
        if report.end is OrderEnd.UNKNOWN:
            return replace(record, state=OrderState.UNKNOWN)
        answer = report.answer
        if answer is None or len(answer.body) > self._settings.max_answer_bytes:
            return replace(record, state=OrderState.NOT_KEPT)
        return replace(record, state=OrderState.ANSWERED, answer=answer)

    def _keep(self, record: OrderRecord) -> None:
        self._forget(record.digest)
        self._records_by_digest[record.digest] = record
        self._held_bytes += _answer_bytes(record)
        if self._held_bytes > self._settings.max_held_bytes:
            self._drop_oldest_answers()

    def _drop_oldest_answers(self) -> None:
        for digest, record in list(self._records_by_digest.items()):
            if self._held_bytes <= self._settings.max_held_bytes:
                return
            if record.state is OrderState.ANSWERED:
                self._held_bytes -= _answer_bytes(record)
                dropped = replace(record, state=OrderState.NOT_KEPT, answer=None)
                self._records_by_digest[digest] = dropped

    def _forget(self, digest: str) -> None:
        record = self._records_by_digest.pop(digest, None)
        if record is not None:
            self._held_bytes -= _answer_bytes(record)


def _answer_bytes(record: OrderRecord) -> int:
    return len(record.answer.body) if record.answer else 0
