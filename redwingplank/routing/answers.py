"""What callers ask of an entry and what they are told."""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["CallerAnswer", "CallerRequest", "Problem", "Ran"]


class Ran(StrEnum):
    """Whether an upstream ran the request; NO is said only where it is certain."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    Parameters
    ----------
    organisation, service : str
        Names from the URL.
    request_id : str
        Unique; the entry makes one when the caller gives none.
    idempotency_key : str or None
        The caller's ``Idempotency-Key``.
    deadline_ms : int or None
        Milliseconds that the caller will wait; None for the service's own timeout.
    headers : mapping of str to str
        Passed to the upstream.
    hops : int
        How many entries handed the request on.
    """

    organisation: str
    service: str
    request_id: str
    idempotency_key: str | None = None
    deadline_ms: int | None = None
    headers: Mapping[str, str] = field(default_factory=dict)
    hops: int = 0


@dataclass(frozen=True, slots=True)
class Problem:
    """Why there is no answer of an upstream: a stable code and a sentence for a person."""

    code: str
    detail: str


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The answer to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    ran : Ran
        Whether an upstream ran the request.
    headers : mapping of str to str
        The upstream's headers in lower case.
    body : bytes or async iterator of bytes
        Whole, or a stream that raises when the upstream's answer is cut; close it with
        ``aclose`` when the caller leaves.
    problem : Problem or None
        Set when the answer is the entry's own.
    retry_after_s : float or None
        When to try again, in seconds.
    """

    status: int
    ran: Ran
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | AsyncIterator[bytes] = b""
    problem: Problem | None = None
    retry_after_s: float | None = None
