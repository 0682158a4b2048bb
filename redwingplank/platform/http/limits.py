"""Limits of what the clients of an HTTP server may send and keep open."""

from dataclasses import dataclass

__all__ = ["DEFAULT_LIMITS", "HttpLimits"]

KIB = 1024


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
    answer_bytes: int = 16 * KIB
    head_s: float = 20.0
    body_s: float = 60.0
    idle_s: float = 75.0
    unread_answer_s: float = 30.0


DEFAULT_LIMITS = HttpLimits()
