"""Follows the submitted jobs and the stored cancellations for the owner of a cell's jobs."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from redwingplank.batch.owner import JobOwner
from redwingplank.batch.records import decode_submission
from redwingplank.cell.clocks import now_s, now_unix_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.follower import PrefixFollower
from redwingplank.cell.keys import CANCELS_PREFIX, INTAKE_PREFIX, JOBS_PREFIX
from redwingplank.cell.stored_cancellation import StoredCancellation, decode_cancellation
from redwingplank.cell.unresolved_submissions import KEPT_S
from redwingplank.platform.site.store import Item

__all__ = ["IntakeView", "JobIntake"]

INTAKE_WAIT_S = 1.5
"""Longest wait of one watch call. A watch can miss changes without an error; a new job is then
delayed by at most this time."""


@dataclass(frozen=True, slots=True)
class _SeenCancellation:
    """A stored cancellation, and the time in seconds at which its key was first seen so."""

    cancellation: StoredCancellation
    revision: int
    seen_s: float


@dataclass(frozen=True, slots=True)
class IntakeView:
    """How recent an owner's view of the stored jobs and cancellations is.

    Attributes
    ----------
    revision : int
        Revision of the store up to which changes were taken in, 0 before the first read.
    age_s : float
        Seconds since the store last answered; infinite before that.
    """

    revision: int
    age_s: float


class JobIntake:
    """Passes jobs and cancellations from the store to the owner, and forgets removed jobs.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    owner : JobOwner
        Receives the jobs.
    wake : callable
        Called after each change.

    Notes
    -----
    A job is known for as long as its key exists, by the revision of that key, which is written
    once. The owner forgets a job when the store is seen without the key, and not when the removal
    is sent: a removal may fail, and a read that began before it still shows the job.

    A cancellation may come before its job, which a node of the previous version may store
    nevertheless, so that all of them are kept.
    """

    def __init__(self, context: NodeContext, owner: JobOwner, wake: Callable[[], None]) -> None:
        self._context = context
        self._owner = owner
        self._wake = wake
        self._revisions_by_id: dict[str, int] = {}
        self._cancellations_by_id: dict[str, _SeenCancellation] = {}
        self._progress_by_id: Mapping[str, bytes] | None = None
        """Stored progress while the jobs of earlier owners are read, None after that."""
        self._follower = PrefixFollower(
            context,
            INTAKE_PREFIX,
            INTAKE_WAIT_S,
            self._handle_read,
            self._handle_changes,
            is_urgent=True,
        )

    async def load(self, progress_by_id: Mapping[str, bytes]) -> None:
        """Read all jobs once and restore those that are not known yet.

        Parameters
        ----------
        progress_by_id : mapping of str to bytes
            Stored progress of jobs at the beginning of the epoch. It holds for this read only: a
            job that a later read shows for the first time was submitted meanwhile.

        Raises
        ------
        NotSentError, NoAnswerError, StoreRefusedError
        """
        self._progress_by_id = progress_by_id
        try:
            await self._follower.read()
        finally:
            self._progress_by_id = None

    async def run(self) -> None:
        """Follow the jobs and cancellations until cancelled."""
        await self._follower.run()

    def view(self, now_s: float) -> IntakeView:
        """Return how recent the view of the stored jobs and cancellations is."""
        return IntakeView(self._follower.revision, now_s - self._follower.answered_s)

    def revisions_of(self, job_ids: list[str]) -> dict[str, int]:
        """Return the revisions of the stored keys of jobs; jobs without a key are left out."""
        revisions = self._revisions_by_id
        return {job_id: revisions[job_id] for job_id in job_ids if job_id in revisions}

    def old_cancellations(self, now_s: float) -> dict[str, int]:
        """Return the revisions of the cancellations that no submission waits behind any more.

        They have had no job for longer than callers repeat a submission, and than the store may
        take to carry out a late call.
        """
        return {
            job_id: seen.revision
            for job_id, seen in self._cancellations_by_id.items()
            if job_id not in self._revisions_by_id and now_s - seen.seen_s >= KEPT_S
        }

    def _handle_read(self, items: tuple[Item, ...]) -> None:
        """Apply all items under the prefix; cancellations refer to jobs, so they come last."""
        read_ids = {item.key.removeprefix(JOBS_PREFIX) for item in items if _is_job(item)}
        for job_id in [known for known in self._revisions_by_id if known not in read_ids]:
            self._forget_job(job_id)
        cancelled_ids = {
            item.key.removeprefix(CANCELS_PREFIX) for item in items if _is_cancellation(item)
        }
        for job_id in [known for known in self._cancellations_by_id if known not in cancelled_ids]:
            del self._cancellations_by_id[job_id]
        self._handle_changes(tuple(sorted(items, key=_is_cancellation)))

    def _handle_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed items in the order of their changes."""
        for item in items:
            if _is_job(item):
                self._apply_job(item)
            elif _is_cancellation(item):
                self._take_cancellation(item)
        self._wake()

    def _take_cancellation(self, item: Item) -> None:
        job_id = item.key.removeprefix(CANCELS_PREFIX)
        if item.value is None:
            self._cancellations_by_id.pop(job_id, None)
            return
        known = self._cancellations_by_id.get(job_id)
        if known is None or known.revision != item.revision:
            cancellation = decode_cancellation(item.value)
            seen = _SeenCancellation(cancellation, item.revision, now_s())
            self._cancellations_by_id[job_id] = seen
        self._cancel_if_stored(job_id)

    def _cancel_if_stored(self, job_id: str) -> None:
        """Cancel a job if a cancellation that counts for it is stored."""
        seen = self._cancellations_by_id.get(job_id)
        job = self._owner.state.jobs_by_id.get(job_id)
        if seen is None or job is None:
            return
        if seen.cancellation.counts_for(job.spec.organisation):
            self._owner.cancel(job_id, now_s(), "cancellation_stored")

    def _apply_job(self, item: Item) -> None:
        job_id = item.key.removeprefix(JOBS_PREFIX)
        known_revision = self._revisions_by_id.get(job_id)
        if known_revision is not None and (item.value is None or item.revision > known_revision):
            # A greater revision is that of a new job: the earlier one was removed before.
            self._forget_job(job_id)
            known_revision = None
        if item.value is None or known_revision is not None:
            return
        self._revisions_by_id[job_id] = item.revision
        try:
            self._add_job(job_id, item.value)
        except Exception as error:
            # One bad job must not keep this owner, and every next one, from all others.
            self._context.log("job_unreadable", job=job_id, error=repr(error))
            return
        self._cancel_if_stored(job_id)

    def _add_job(self, job_id: str, value: bytes) -> None:
        spec = decode_submission(value)
        if self._progress_by_id is None:
            self._owner.submit(spec, now_s(), now_unix_s())
        else:
            progress = self._progress_by_id.get(job_id)
            self._owner.restore_job(spec, progress, now_s(), now_unix_s())

    def _forget_job(self, job_id: str) -> None:
        del self._revisions_by_id[job_id]
        if not self._owner.forget_ended_job(job_id):
            self._context.log("job_key_missing", job=job_id)


def _is_job(item: Item) -> bool:
    return item.key.startswith(JOBS_PREFIX)


def _is_cancellation(item: Item) -> bool:
    return item.key.startswith(CANCELS_PREFIX)
