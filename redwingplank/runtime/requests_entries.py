"""Interface for forwarding a request to another entry."""

from abc import ABC, abstractmethod

from redwingplank.platform import UnavailableError
from redwingplank.routing import CallerAnswer, CallerRequest

__all__ = ["EntryClient", "NoEntryClient"]


class EntryClient(ABC):
    """Forwards callers' requests to other entries."""

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
            The request, whose `hops` already count this one.
        body : bytes
            Body of the request.
        timeout_s : float
            Seconds until the request's deadline.

        Raises
        ------
        UnavailableError
            If no byte was sent, so that the request certainly did not run.
        OutcomeUnknownError
            If the request may have run.
        """


class NoEntryClient(EntryClient):
    """Stands for a cell without other entries: every call raises `UnavailableError`."""

    async def forward_request(
        self, entry: str, call: CallerRequest, body: bytes, timeout_s: float
    ) -> CallerAnswer:
        raise UnavailableError(f"entry {entry} cannot be reached from here; serve it locally")
