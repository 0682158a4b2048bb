"""Handing a request on to another entry."""

from abc import ABC, abstractmethod

from redwingplank.platform import UnavailableError
from redwingplank.routing import CallerAnswer, CallerRequest

__all__ = ["EntryClient", "NoEntryClient"]


class EntryClient(ABC):
    """Sends a caller's request to another entry."""

    @abstractmethod
    async def forward_request(
        self, entry: str, call: CallerRequest, body: bytes, timeout_s: float
    ) -> CallerAnswer:
        """Return the other entry's answer.

        Parameters
        ----------
        entry : str
            Name of the other entry.
        call : CallerRequest
            The request, with its hops already counted up.
        body : bytes
            The caller's body.
        timeout_s : float
            Seconds until the request's deadline.

        Raises
        ------
        UnavailableError
            No byte left: the request certainly did not run.
        OutcomeUnknownError
            The request may have run.
        """


class NoEntryClient(EntryClient):
    """Reaches no other entry."""

    async def forward_request(
        self, entry: str, call: CallerRequest, body: bytes, timeout_s: float
    ) -> CallerAnswer:
        raise UnavailableError(f"entry {entry} cannot be reached from here; serve it locally")
