"""Remembers the submissions whose earlier attempts a later refusal does not settle."""

from collections import Counter

from redwingplank.cell.submission import SubmitOutcome

__all__ = ["UnresolvedSubmissions"]

KEPT_S = 60.0
"""Longer than callers repeat a submission, and than the store may take to carry out a late call.
Jobs are stored for longer, so that an accepted one is still there."""


class UnresolvedSubmissions:
    """Submissions with an unknown outcome, and accepted ones whose answer may have been lost.

    They came through this node; those with an unknown outcome also through others that have told
    of them.

    A refusal tells callers that their job never runs. That a repeated attempt had no effect says
    nothing of the attempt before it. That the store has a cancellation in the place of the job
    does, because all attempts store it under the condition that there is none.
    """

    def __init__(self) -> None:
        self._since_s_by_job_id: dict[str, float] = {}
        """Time in seconds of the last attempt with an unknown outcome, earliest first."""
        self._accepted_s_by_job_id: dict[str, float] = {}
        """Time in seconds at which the store was last known to have the job, earliest first."""
        self._under_way_by_job_id: Counter[str] = Counter()
        """Number of attempts that have begun and not ended."""

    def begin(self, job_id: str) -> None:
        """Record that an attempt, which `end` will follow, may have an effect from now on."""
        self._under_way_by_job_id[job_id] += 1

    def end(self, job_id: str, outcome: SubmitOutcome, now_s: float) -> SubmitOutcome:
        """Record the outcome of an attempt that has begun; return that of all attempts.

        Parameters
        ----------
        job_id, outcome, now_s
            As in `settle`.
        """
        self._under_way_by_job_id[job_id] -= 1
        is_another_under_way = self._under_way_by_job_id[job_id] > 0
        if not is_another_under_way:
            del self._under_way_by_job_id[job_id]
        settled = self.settle(job_id, outcome, now_s)
        if outcome is SubmitOutcome.NOT_RUN is settled and is_another_under_way:
            return SubmitOutcome.UNKNOWN
        return settled

    def settle(self, job_id: str, outcome: SubmitOutcome, now_s: float) -> SubmitOutcome:
        """Record the outcome of an attempt; return what is told of all attempts to submit the job.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        outcome : SubmitOutcome
            Outcome of the attempt that has just ended.
        now_s : float
            Current time in seconds.
        """
        self._forget_old(now_s)
        if outcome is SubmitOutcome.ACCEPTED:
            self._since_s_by_job_id.pop(job_id, None)
            _set_last(self._accepted_s_by_job_id, job_id, now_s)
        if job_id in self._accepted_s_by_job_id:
            return SubmitOutcome.ACCEPTED
        if outcome is SubmitOutcome.UNKNOWN:
            _set_last(self._since_s_by_job_id, job_id, now_s)
        is_unresolved = job_id in self._since_s_by_job_id
        if is_unresolved and outcome is not SubmitOutcome.CANCELLED_BEFORE:
            return SubmitOutcome.UNKNOWN
        return outcome.told

    def is_known(self, job_id: str, now_s: float) -> bool:
        """Return whether a job may be stored by an attempt that is unresolved or under way."""
        self._forget_old(now_s)
        return job_id in self._since_s_by_job_id or job_id in self._under_way_by_job_id

    def may_be_stored(self, job_id: str, now_s: float) -> bool:
        """Return whether a refusal of a further attempt would not settle those before it."""
        return self.is_known(job_id, now_s) or job_id in self._accepted_s_by_job_id

    def _forget_old(self, now_s: float) -> None:
        _remove_old(self._since_s_by_job_id, now_s)
        _remove_old(self._accepted_s_by_job_id, now_s)


def _set_last(time_s_by_job_id: dict[str, float], job_id: str, now_s: float) -> None:
    time_s_by_job_id.pop(job_id, None)
    time_s_by_job_id[job_id] = now_s


def _remove_old(time_s_by_job_id: dict[str, float], now_s: float) -> None:
    while time_s_by_job_id:
        oldest_id, time_s = next(iter(time_s_by_job_id.items()))
        if now_s - time_s < KEPT_S:
            return
        del time_s_by_job_id[oldest_id]
