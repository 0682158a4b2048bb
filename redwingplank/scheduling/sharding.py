"""Which shard of a failure domain owns a worker."""

from collections.abc import Sequence

import xxhash

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
    if len(shards) == 1:
        return shards[0]
    return max(shards, key=lambda shard: (_weight(shard, worker), shard))


def _weight(shard: str, worker: str) -> int:
    return xxhash.xxh64_intdigest(f"{shard}\0{worker}".encode())
