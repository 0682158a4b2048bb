"""Remembers the submissions of which no node knows whether they were carried out."""

from collections import Counter

from redwingplank.cell.submission import SubmitOutcome

__all__ = ["UnresolvedSubmissions"]

KEPT_S = 60.0
"""Longer than callers repeat a submission, and than the store may take to carry out a late call."""


class UnresolvedSubmissions:
    """Submissions with an unknown outcome, which a later refusal does not settle.

    They came through this node, or through another one that has told of them.

    A refusal tells callers that their job never runs. That a repeated attempt had no effect says
    nothing of the attempt before it.
    """

    def __init__(self) -> None:
        self._since_s_by_job_id: dict[str, float] = {}
        """Time in seconds of the last attempt with an unknown outcome, earliest first."""
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
        if settled is SubmitOutcome.NOT_RUN and is_another_under_way:
            return SubmitOutcome.UNKNOWN
        return settled

    def settle(self, job_id: str, outcome: SubmitOutcome, now_s: float) -> SubmitOutcome:
        """Record the outcome of an attempt; return that of all attempts to submit the job.

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
            return outcome
        if outcome is SubmitOutcome.UNKNOWN:
            self._since_s_by_job_id.pop(job_id, None)
            self._since_s_by_job_id[job_id] = now_s
        return SubmitOutcome.UNKNOWN if job_id in self._since_s_by_job_id else outcome

    def is_known(self, job_id: str, now_s: float) -> bool:
        """Return whether a job may be stored by an attempt that is unresolved or under way."""
        self._forget_old(now_s)
        return job_id in self._since_s_by_job_id or job_id in self._under_way_by_job_id

    def _forget_old(self, now_s: float) -> None:
        since_s_by_job_id = self._since_s_by_job_id
        while since_s_by_job_id:
            oldest_id, since_s = next(iter(since_s_by_job_id.items()))
            if now_s - since_s < KEPT_S:
                return
            del since_s_by_job_id[oldest_id]
