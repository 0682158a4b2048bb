"""Which shard of a failure domain owns a worker."""

from collections.abc import Sequence

from redwingplank.core import InvalidValueError, choose_by_rendezvous

__all__ = ["shard_of_worker"]


def shard_of_worker(worker: str, shards: Sequence[str]) -> str:
    """Return the shard that owns a worker, by rendezvous hashing.

    Parameters
    ----------
    worker : str
        The VM's name.
    shards : sequence of str
        All shards of the worker's failure domain.

    Notes
    -----
    Every process finds the same shard without an agreement. Adding one shard to n moves about one
    worker in n + 1.
    """
    shard = choose_by_rendezvous(worker, shards)
    if shard is None:
        raise InvalidValueError("there is no shard: give the failure domain at least one")
    return shard
