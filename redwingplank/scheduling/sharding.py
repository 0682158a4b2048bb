"""Assignment of workers to the shards of their failure domain."""

from collections.abc import Sequence

from redwingplank.core import InvalidValueError, choose_by_rendezvous

__all__ = ["shard_of_worker"]


def shard_of_worker(worker: str, shards: Sequence[str]) -> str:
    """Return the shard that owns a worker, by rendezvous hashing.

    Parameters
    ----------
    worker : str
        Name of the worker's VM.
    shards : sequence of str
        Names of all shards in the worker's failure domain.

    Notes
    -----
    All processes compute the same shard without coordination. Adding one shard to n shards moves
    about one worker in n + 1.
    """
    shard = choose_by_rendezvous(worker, shards)
    if shard is None:
        raise InvalidValueError("there is no shard: give the failure domain at least one")
    return shard
