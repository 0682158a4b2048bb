"""Shards of a failure domain, and which worker belongs to which."""

from collections.abc import Sequence

import xxhash

__all__ = ["domain_of_shard", "shard_of_job", "shard_of_worker", "shards_of_domain"]


def shards_of_domain(failure_domain: str, shard_count: int) -> tuple[str, ...]:
    """Return the names of a domain's shards.

    Examples
    --------
    >>> shards_of_domain("ankara-1", 1)
    ('ankara-1',)
    >>> shards_of_domain("ankara-1", 2)
    ('ankara-1#0', 'ankara-1#1')
    """
    if shard_count == 1:
        return (failure_domain,)
    return tuple(f"{failure_domain}#{index}" for index in range(shard_count))


def domain_of_shard(shard: str) -> str:
    """Return the failure domain that a shard belongs to."""
    return shard.partition("#")[0]


def shard_of_job(job_id: str) -> str:
    """Return the shard that a job id names, empty when it names none.

    Examples
    --------
    >>> shard_of_job("ankara-1#0.6f1c")
    'ankara-1#0'
    """
    return job_id.rpartition(".")[0]


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
    return max(shards, key=lambda shard: (xxhash.xxh64_intdigest(f"{shard}\0{worker}"), shard))
