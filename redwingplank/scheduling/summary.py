"""A summary of a shard, of fixed size."""

from dataclasses import dataclass

from redwingplank.core import Resources

__all__ = ["ShardSummary"]


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """What other failure domains and entries need to know of a shard.

    Parameters
    ----------
    shard : str
        The shard.
    free, capacity : Resources
        Of workers that take new tasks.
    waiting_by_class : tuple of int
        Waiting tasks by deadline class, most urgent first.
    predicted_wait_s_by_class : tuple of float
        Expected wait of a task that is accepted now.
    running_count : int
        Attempts that hold a reservation.
    worker_count, open_worker_count, quarantined_count : int
        Adopted workers, those that take new tasks, and those in quarantine.
    """

    shard: str
    free: Resources
    capacity: Resources
    waiting_by_class: tuple[int, ...]
    predicted_wait_s_by_class: tuple[float, ...]
    running_count: int
    worker_count: int
    open_worker_count: int
    quarantined_count: int
