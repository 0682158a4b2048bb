"""Summary of a shard, whose size does not grow with the shard."""

from dataclasses import dataclass

from redwingplank.core import Resources

__all__ = ["ShardSummary"]


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """Summary of a shard for other failure domains and for entries.

    Parameters
    ----------
    shard : str
        Name of the shard.
    free, capacity : Resources
        Free and total resources of the schedulable workers.
    waiting_by_class : tuple of int
        Number of waiting tasks by deadline class, most urgent first.
    predicted_wait_s_by_class : tuple of float
        Expected waiting time, by deadline class, of a task that is accepted now.
    running_count : int
        Number of attempts that have a reservation.
    worker_count, open_worker_count, quarantined_count : int
        Number of adopted workers, of schedulable workers, and of workers in quarantine.
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
