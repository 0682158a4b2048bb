"""How long a worker may still carry out a start that it has not answered.

The lease of a start bounds what the process that it was sent to may do with it. A process that has
started again under the same id carries the start out as well, however late it comes, and takes the
longest lease. Only a call of a later owner, or of the same one with a higher token, prevents it.
"""

from redwingplank.batch.entities import HostedTasks
from redwingplank.batch.model import StepSpec
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.state import OwnerState

__all__ = ["LateStarts"]


class LateStarts:
    """Tells whether starts without an answer may still begin, or run, on silent workers.

    Parameters
    ----------
    state : OwnerState
        Jobs and workers of the owner.

    Notes
    -----
    A task that lasts has to run again soon after its worker was lost for good, which shows as a
    worker that is silent and not listed. It waits no longer than for granted leases then.
    """

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def may_begin(self, run: Run, now_s: float) -> bool:
        """Return whether the start of a run on a silent worker may still be carried out.

        That includes a run which a restarted process may have begun with, unseen.
        """
        if run.state is RunState.PLANNED or run.is_listed or run.is_in_known_process:
            return False
        if run.spec is not None and not self._is_awaited(run.spec, run.worker.id):
            return False
        return self._may_reach(run.worker.id, run.sent_s, now_s)

    def find_inherited(self, worker_id: str, now_s: float) -> HostedTasks:
        """Return the tasks whose starts by earlier owners a silent worker may carry out."""
        if not self._may_reach(worker_id, self._state.latest_inherited_start_s, now_s):
            return {}
        return {
            (step.key, host): step.unanswered[host]
            for step, host in self._state.inherited_starts_by_host.get(worker_id, [])
            if host in step.unanswered and self._is_awaited(step.spec, worker_id)
        }

    def _is_awaited(self, spec: StepSpec, worker_id: str) -> bool:
        if spec.may_copy:
            return False
        return not spec.is_lasting or self._is_listed(worker_id)

    def _may_reach(self, worker_id: str, sent_s: float, now_s: float) -> bool:
        """Return whether a start sent to a silent worker may still begin there, or run.

        Parameters
        ----------
        worker_id : str
            Worker that no call of this owner has reached since.
        sent_s : float
            Time in seconds at which the start was sent at the latest.
        now_s : float
            Current time in seconds.
        """
        settings = self._state.settings
        if now_s >= sent_s + settings.restarted_wait_s:
            return False
        # A process that began before the latest time at which it may be carried out is listed.
        listed_by_s = sent_s + settings.call_lateness_s + settings.listing_delay_s
        return self._is_listed(worker_id) or self._state.last_listed_s < listed_by_s

    def _is_listed(self, worker_id: str) -> bool:
        """Return whether the platform publishes a worker, so that its process may be running."""
        worker = self._state.workers_by_id.get(worker_id)
        return worker is not None and worker.is_listed
