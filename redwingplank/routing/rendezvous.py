"""Rendezvous hashing: everyone with the same list of names chooses the same one for a key.

References
----------
D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["choose_by_rendezvous"]


def choose_by_rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash together with the key, None without names.

    Examples
    --------
    >>> choose_by_rendezvous("order-1", ["a"])
    'a'
    """
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\n{key}".encode())
