"""Tuning of Python's cyclic garbage collector for processes that make decisions in ticks."""

import gc

__all__ = ["tune_collector"]

# Net number of new container objects that triggers a collection of the youngest generation.
_YOUNGEST_THRESHOLD = 20_000
# Number of collections of one generation that triggers a collection of the next older one.
_OLDER_THRESHOLD = 20


def tune_collector() -> None:
    """Make collections rare, and exempt all objects that exist now from them.

    Notes
    -----
    Reference counting frees nearly all objects of a tick. With the default thresholds, a tick that
    creates many objects is interrupted by collections that cost more than its decisions.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNGEST_THRESHOLD, _OLDER_THRESHOLD, _OLDER_THRESHOLD)
