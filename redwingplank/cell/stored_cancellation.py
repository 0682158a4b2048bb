"""Cancellations as they are stored: for the jobs of which organisations they count."""

from dataclasses import dataclass

import msgspec

from redwingplank.cell.authentication import is_visible
from redwingplank.core import UndecodableError, decode_json

__all__ = ["StoredCancellation", "decode_cancellation", "encode_cancellation"]

FOR_ALL_JOBS = b"1"
"""Value of a cancellation that counts whatever the organisation of the job, as the earlier version
writes all of them."""


class _Record(msgspec.Struct):
    organisations: list[str]


@dataclass(frozen=True, slots=True)
class StoredCancellation:
    """A cancellation of a job that the store may not have, so that its owner may be unknown.

    Parameters
    ----------
    organisations : frozenset of str or None
        Organisations that have cancelled the job; it counts for jobs that are visible to one of
        them. None if it counts for all jobs.
    """

    organisations: frozenset[str] | None = None

    def counts_for(self, organisation: str) -> bool:
        """Return whether a job of an organisation is cancelled."""
        if self.organisations is None:
            return True
        return any(is_visible(organisation, canceller) for canceller in self.organisations)

    def is_by(self, visible_to: str | None) -> bool:
        """Return whether all jobs are cancelled that are visible to a request."""
        return self.organisations is None or visible_to in self.organisations

    def extend(self, visible_to: str | None) -> "StoredCancellation":
        """Return the cancellation of these jobs and of all that are visible to a request."""
        if self.organisations is None or visible_to is None:
            return StoredCancellation()
        return StoredCancellation(self.organisations | {visible_to})


def encode_cancellation(cancellation: StoredCancellation) -> bytes:
    """Return the stored form of a cancellation."""
    if cancellation.organisations is None:
        return FOR_ALL_JOBS
    return msgspec.json.encode(_Record(sorted(cancellation.organisations)))


def decode_cancellation(value: bytes | None) -> StoredCancellation:
    """Read a stored cancellation; one in any other form counts for all jobs."""
    try:
        record = decode_json(value or b"", _Record)
    except UndecodableError:
        return StoredCancellation()
    return StoredCancellation(frozenset(record.organisations))
