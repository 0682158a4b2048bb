"""Rendezvous hashing: every process chooses the same name for a key without an agreement.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions
on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["choose_by_rendezvous"]


def choose_by_rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash together with the key, None without names.

    Notes
    -----
    Adding one name to n moves about one key in n + 1, and no other.

    Examples
    --------
    >>> choose_by_rendezvous("order-1", ["a"])
    'a'
    """
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
