"""Upstreams answer requests over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

__all__ = ["REQUEST_ID_SEPARATOR", "UpstreamAnswer", "UpstreamClient", "UpstreamRequest"]

REQUEST_ID_SEPARATOR = "~"
"""Stands between the caller's request id and what makes it unique for the upstream."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A caller's request on its way to an upstream.

    Parameters
    ----------
    request_id : str
        Sent as ``X-Request-Id``; the upstream returns it with the answer.
    organisation, service : str
        Whose request it is and what serves it.
    body : bytes
        The caller's body.
    headers : mapping of str to str
        Passed through.
    """

    request_id: str
    organisation: str
    service: str
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The head of an answer, with its body as a stream.

    Parameters
    ----------
    status : int
        HTTP status.
    request_id : str
        As the upstream returned it, empty if it returned none.
    headers : mapping of str to str
        The answer's headers in lower case.
    content_length : int or None
        Declared length in bytes.
    is_leaving : bool
        The upstream's own word that it takes no new work (``X-Upstream-Leaving: 1``).
    body : async iterator of bytes
        Raises `OutcomeUnknownError` when the stream ends before its declared end.
    """

    status: int
    request_id: str
    headers: Mapping[str, str]
    content_length: int | None
    is_leaving: bool
    body: AsyncIterator[bytes]


class UpstreamClient(ABC):
    """Client of all upstreams."""

    @abstractmethod
    def send(
        self, address: str, request: UpstreamRequest, timeout_s: float
    ) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a request; leaving the context early closes the connection.

        Raises
        ------
        UnavailableError
            No byte of the request left: it certainly did not run.
        OutcomeUnknownError
            The request may have run.
        """
