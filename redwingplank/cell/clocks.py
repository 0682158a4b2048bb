"""The clocks of a node."""

import time

__all__ = ["now_s", "now_unix_s"]


def now_s() -> float:
    """Return seconds that also count while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_unix_s() -> float:
    """Return the time of day in seconds since 1970; it may jump."""
    return time.time()
