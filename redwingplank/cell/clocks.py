"""The clocks of a node."""

import time

__all__ = ["now_s", "now_unix_s"]


def now_s() -> float:
    """Return monotonic time in seconds; it also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_unix_s() -> float:
    """Return the wall-clock time in seconds since 1970; it may be set forward or back."""
    return time.time()
