"""Rendezvous hashing: all processes choose the same name for a key without coordination.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions
on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["choose_by_rendezvous"]


def choose_by_rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Return the name whose hash with the key is the highest, None if there are no names.

    Notes
    -----
    Adding a name to n names moves about one key in n + 1, all to the new name.

    Examples
    --------
    >>> choose_by_rendezvous("order-1", ["a"])
    'a'
    """
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
