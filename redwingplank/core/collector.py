"""Settings of Python's cyclic garbage collector for processes that decide in ticks."""

import gc

__all__ = ["tune_collector"]

_FIRST_THRESHOLD = 20_000
_LATER_THRESHOLD = 20


def tune_collector() -> None:
    """Collect cycles rarely, and never look at what exists now again.

    Notes
    -----
    Nearly all objects of a tick are freed by their reference count. With the defaults a tick that
    makes many objects is interrupted by collections that cost more than its decisions.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_FIRST_THRESHOLD, _LATER_THRESHOLD, _LATER_THRESHOLD)
