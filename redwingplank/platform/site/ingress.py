"""Requests that callers and the platform's balancer send to a node, and the response bodies."""

from collections.abc import Callable

import msgspec

from redwingplank.batch.model import JobState

__all__ = [
    "DEADLINE_HEADER",
    "READINESS_PATH",
    "read_deadline_s",
    "write_pending",
    "write_state",
]

READINESS_PATH = "/-/readyz"
DEADLINE_HEADER = "X-Redwingplank-Deadline-Ms"
MAX_DEADLINE_DIGITS = 9
"""Longer numbers of milliseconds are taken for no deadline."""
DEFAULT_DEADLINE_S = 3.0
"""Time that a caller waits if its request has no valid deadline header."""
MS_PER_S = 1000.0


def read_deadline_s(get_header: Callable[[str], str | None]) -> float:
    """Return how many seconds the caller waits, from the deadline header."""
    text = get_header(DEADLINE_HEADER) or ""
    is_valid = text.isdecimal() and len(text) <= MAX_DEADLINE_DIGITS
    return int(text) / MS_PER_S if is_valid else DEFAULT_DEADLINE_S


def write_state(state: JobState) -> bytes:
    """Return the response body for a job's state."""
    return msgspec.json.encode({"state": state.value})


def write_pending(count: int) -> bytes:
    """Return the response body for the number of waiting jobs of a queue."""
    return msgspec.json.encode({"pending": count})
