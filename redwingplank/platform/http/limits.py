"""Limits of what the clients of an HTTP server may send and keep open."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["DEFAULT_LIMITS", "HttpLimits", "OnRefusal", "Refusal", "ignore_refusal", "make_limits"]

KIB = 1024
MIB = 1024 * KIB
DEFAULT_MEMORY_MB = 300
DEFAULT_DESCRIPTORS = 4100
MEMORY_PARTS = 16
"""Unprocessed input, small bodies and large bodies take at most one of so many equal parts of the
memory each: a body is held up to three times while it is decoded."""
CONNECTION_PARTS = 2
"""Connections of clients take at most one of so many equal parts of the descriptors."""


class Refusal(enum.Enum):
    """Why a client was refused, or its connection closed."""

    REQUEST = "request"
    """It sent what is no request, or one outside the limits."""
    LATE = "late"
    """The rest of its request did not arrive in time."""
    UNREAD = "unread"
    """It did not take its answers in time."""
    BODY = "body"
    """The bodies of other requests took up the memory."""
    INPUT = "input"
    """It had sent most of the input that took up the memory."""
    IDLE = "idle"
    """It was idle for longest when a further client came."""
    PLACE = "place"
    """All other connections had a request."""


OnRefusal = Callable[[Refusal], None]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of an HTTP server; times are in seconds.

    Parameters
    ----------
    head_bytes : int
        Longest head of a request, trailer section, and line of a chunk: 431 beyond it.
    header_lines : int
        Most header lines of a request: 431 beyond it.
    path_bytes : int
        Longest path with its query: 414 beyond it.
    blank_bytes : int
        Most bytes of empty lines before a request: 400 beyond it.
    connections : int
        Most open connections. A further one takes the place of the one that has been idle for
        longest, and is closed if none is idle.
    buffered_bytes : int
        Most bytes of all connections that have been received and not been handled. Beyond it, the
        connection with the most of them is closed.
    body_bytes : int
        Most bytes of the bodies of all requests that are not answered yet; bodies up to 16 KiB and
        larger ones have as much each. A request is refused beyond it, unless it is the only one.
    answer_bytes : int
        Bytes of answers of a connection that its client has not taken, beyond which none is added.
    head_s, body_s : float
        Longest time from the first to the last byte of a head, and of a body after it.
    idle_s : float
        Longest time without a request; stray bytes do not extend it.
    unread_answer_s : float
        Longest time in which a client takes none of an answer that is waiting for it.
    """

    head_bytes: int = 16 * KIB
    header_lines: int = 100
    path_bytes: int = 8 * KIB
    blank_bytes: int = 16
    connections: int = DEFAULT_DESCRIPTORS // CONNECTION_PARTS
    buffered_bytes: int = DEFAULT_MEMORY_MB * MIB // MEMORY_PARTS
    body_bytes: int = DEFAULT_MEMORY_MB * MIB // MEMORY_PARTS
    answer_bytes: int = 16 * KIB
    head_s: float = 20.0
    body_s: float = 60.0
    idle_s: float = 75.0
    unread_answer_s: float = 30.0


DEFAULT_LIMITS = HttpLimits()


def ignore_refusal(_: Refusal) -> None:
    """Do nothing, where refusals are not counted."""


def make_limits(memory_mb: int, descriptors: int) -> HttpLimits:
    """Return the limits for a machine.

    Parameters
    ----------
    memory_mb : int
        Memory of the process in MiB.
    descriptors : int
        Number of descriptors that the process may open.
    """
    part_bytes = memory_mb * MIB // MEMORY_PARTS
    return HttpLimits(
        connections=max(1, descriptors // CONNECTION_PARTS),
        buffered_bytes=part_bytes,
        body_bytes=part_bytes,
    )
