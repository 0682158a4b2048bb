"""Interface to the upstreams, which answer requests over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

__all__ = ["REQUEST_ID_SEPARATOR", "UpstreamAnswer", "UpstreamClient", "UpstreamRequest"]

REQUEST_ID_SEPARATOR = "~"
"""Separates the caller's request id from the suffix that makes it unique for the upstream."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A caller's request as it is sent to an upstream.

    Parameters
    ----------
    request_id : str
        Sent as ``X-Request-Id``; the upstream returns it with the answer.
    organisation, service : str
        The organisation that sent the request and the service that handles it.
    body : bytes
        Body of the caller's request.
    headers : mapping of str to str
        Headers of the caller's request to forward.
    """

    request_id: str
    organisation: str
    service: str
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The status and headers of an answer, with the body as a stream.

    Parameters
    ----------
    status : int
        HTTP status code.
    request_id : str
        Request id that the upstream returned, empty if it returned none.
    headers : mapping of str to str
        Headers of the answer, with their names in lower case.
    content_length : int or None
        Declared length of the body in bytes, None if not declared.
    is_leaving : bool
        Whether the upstream reports that it accepts no new work (``X-Upstream-Leaving: 1``).
    body : async iterator of bytes
        The body; raises `OutcomeUnknownError` if the stream ends before its declared length.
    """

    status: int
    request_id: str
    headers: Mapping[str, str]
    content_length: int | None
    is_leaving: bool
    body: AsyncIterator[bytes]


class UpstreamClient(ABC):
    """Client for requests to the upstreams."""

    @abstractmethod
    def send(
        self, address: str, request: UpstreamRequest, timeout_s: float
    ) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a request; exiting the context before the end of the body closes the connection.

        Parameters
        ----------
        address : str
            ``"IP:PORT"`` of the upstream.
        request : UpstreamRequest
            Request to send.
        timeout_s : float
            Time-out in seconds until the head of the answer; whoever reads the body bounds that.

        Raises
        ------
        UnavailableError
            No byte of the request was sent, so it did not run.
        OutcomeUnknownError
            The request may have run.
        """
