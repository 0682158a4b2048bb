"""Jobs whose records the store does not take."""

from redwingplank.batch.entities import Job
from redwingplank.batch.runs import RunState
from redwingplank.batch.state import OwnerState

__all__ = ["HeldJobs"]

RETRY_S = 5.0
"""Time for which a job is held, and after which its record is written again if it has not been
stored. It bounds how often a job is held again that only its starts make too long to be stored."""


class HeldJobs:
    """Holds jobs of which no start could be remembered, until the store takes their records.

    Other jobs go on. What runs of a held job was stored before it was started, and goes on too; its
    ends are acknowledged once they are stored. A held job can be cancelled, as the record of a job
    that has ended is short.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state
        self._refused: list[Job] = []
        """Jobs whose records were refused since the last update."""
        self._retries_s_by_id: dict[str, float] = {}
        """Time in seconds at which the record of a held job is due again, by its id."""

    def refuse(self, job_id: str, value_bytes: int) -> None:
        """Hold a job whose record the store does not take; one that has ended is left as it is."""
        job = self._state.jobs_by_id.get(job_id)
        if job is None or not job.is_held:
            self._state.log_decision(
                "record_refused",
                job=job_id,
                value_bytes=value_bytes,
                is_final=job is not None and job.state.is_final,
            )
        if job is not None and not job.state.is_final:
            job.is_held = True
            self._refused.append(job)

    def update(self, now_s: float) -> None:
        """Withdraw the starts that wait for refused records, and write due records again."""
        refused, self._refused = self._refused, []
        for job in refused:
            self._retries_s_by_id[job.spec.job_id] = now_s + RETRY_S
            for run in job.runs():
                if run.state is RunState.PLANNED:
                    self._state.remove_run(run, now_s)
        for job_id, due_s in list(self._retries_s_by_id.items()):
            if now_s >= due_s:
                del self._retries_s_by_id[job_id]
                self._release_or_retry(job_id, now_s)

    def _release_or_retry(self, job_id: str, now_s: float) -> None:
        """Let a job go on if its record was stored meanwhile; write it again if not."""
        job = self._state.jobs_by_id.get(job_id)
        if job is None or job.state.is_final:
            return
        if job.stored_version == job.version:
            job.is_held = False
            self._state.needs_pass = True
            self._state.log_decision("record_taken", job=job_id)
            return
        self._retries_s_by_id[job_id] = now_s + RETRY_S
        self._state.dirty_jobs[job_id] = job
