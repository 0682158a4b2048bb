"""Cancellations in an emulated cell, on the path that they take through real nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingplank.batch.entities import Job
from redwingplank.batch.owner import JobOwner

if TYPE_CHECKING:
    from redwingplank.batch.emulator import EmulatedCell

__all__ = ["EmulatedCancellations"]

OWNER_WAIT_S = 1.5
"""Longest wait of an owner for a cancellation to be stored."""
OWNER_TIMEOUT_S = 2.0
"""Time after which a node takes an owner for one that does not answer."""
CHECK_PERIOD_S = 0.02
STORE_LATENCY_S = 0.008
"""Time until a write to the store is confirmed."""
LATE_WRITE_S = (1.0, 6.0)
"""Shortest and longest time after which the store may carry out a write that it did not answer."""


class EmulatedCancellations:
    """Sends cancellations to the owner, and stores them where the owner has not done so.

    A cancellation is acknowledged once the version that `JobOwner.cancel` returned is stored. If
    the owner does not know the job, does not answer or does not store the version in time, the node
    that serves the caller writes a key to the store, and acknowledges that. If it cannot, the
    cancellation is not acknowledged, and may be forgotten.

    Parameters
    ----------
    cell : EmulatedCell
        Cell whose jobs are cancelled.
    """

    def __init__(self, cell: EmulatedCell) -> None:
        self._cell = cell
        self.sent_ids: set[str] = set()
        """Jobs whose cancellation was sent, whatever was answered."""
        self.stored_ids: set[str] = set()
        """Jobs with a key of their cancellation in the store."""

    def send(self, job_id: str) -> None:
        """Send a cancellation once, as a caller does."""
        self.sent_ids.add(job_id)
        cell = self._cell
        if not cell.is_command_lost():
            self._cancel_at_owner(cell.owner, job_id)
            return
        if cell.rng.random() < 0.5:
            cell.owner.cancel(job_id, cell.now_s)
        cell.after(OWNER_TIMEOUT_S, lambda: self._cancel_in_store(job_id))

    def _cancel_at_owner(self, owner: JobOwner, job_id: str) -> None:
        job = owner.state.jobs_by_id.get(job_id)
        if job is None:
            self._cancel_in_store(job_id)
            return
        version = owner.cancel(job_id, self._cell.now_s)
        # The job is known, so that None means that nothing is left to store.
        self._wait_until_stored(job, version or 0, self._cell.now_s + OWNER_WAIT_S)

    def _wait_until_stored(self, job: Job, version: int, until_s: float) -> None:
        cell, job_id = self._cell, job.spec.job_id
        if job.stored_version >= version:
            self._acknowledge(job_id)
        elif cell.now_s >= until_s:
            self._cancel_in_store(job_id)
        else:
            cell.after(CHECK_PERIOD_S, lambda: self._wait_until_stored(job, version, until_s))

    def _cancel_in_store(self, job_id: str) -> None:
        """Write the key; while the store is away, or without its answer, acknowledge nothing."""
        cell = self._cell
        if cell.is_store_unavailable:
            return
        if job_id not in cell.specs_by_id:
            self._acknowledge(job_id)
            return
        if cell.rng.random() >= cell.lost_write_fraction:
            cell.after(STORE_LATENCY_S, lambda: self._store_and_acknowledge(job_id))
            return
        is_late = cell.rng.random() < 0.5
        delay_s = cell.rng.uniform(*LATE_WRITE_S) if is_late else STORE_LATENCY_S
        cell.after(delay_s, lambda: self._store(job_id))

    def _store_and_acknowledge(self, job_id: str) -> None:
        self._store(job_id)
        self._acknowledge(job_id)

    def _store(self, job_id: str) -> None:
        self.stored_ids.add(job_id)
        self._cell.notify_owner(
            lambda owner: owner.cancel(job_id, self._cell.now_s, "cancellation_stored"),
            self._cell.rng.uniform(*self._cell.watch_delays_s),
        )

    def _acknowledge(self, job_id: str) -> None:
        self._cell.unasked.note_cancellation(job_id, self._cell.now_s)
