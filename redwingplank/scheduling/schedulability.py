"""Rule for whether new tasks may be placed on a worker."""

from redwingplank.scheduling.entities import Worker
from redwingplank.scheduling.state import ShardState

__all__ = ["update_schedulability"]


def update_schedulability(state: ShardState, worker: Worker) -> None:
    """Update whether new tasks may be placed on a worker.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    worker : Worker
        A worker whose state changed. On probation after a quarantine, a worker runs one task at
        a time.
    """
    is_schedulable = (
        worker.is_adopted
        and worker.is_reachable
        and not worker.is_closing
        and not worker.is_quarantined
        and not worker.is_backing_off
        and not (worker.is_probing and worker.tasks_by_id)
    )
    state.table.set_schedulable(worker.row, is_schedulable)
    if is_schedulable:
        state.freed_rows[worker.row] = None
