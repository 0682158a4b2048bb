"""Client of the platform's advice service, which decides which workers may run a step."""

from collections.abc import Sequence

import msgspec

from redwingplank.batch.model import StepKey
from redwingplank.core import UndecodableError, decode_json
from redwingplank.platform.site.http import NoAnswerError, SiteClient

__all__ = ["AdviceBusyError", "SiteAdvice"]


class AdviceBusyError(Exception):
    """Too many calls of this VM are waiting at the advice service."""


class _WireAdvice(msgspec.Struct):
    # Rows of worker id and ticket.
    allowed: list[tuple[str, str]] = []


class SiteAdvice:
    """Sends calls to the advice service.

    Parameters
    ----------
    client : SiteClient
        HTTP client that sends the calls.
    address : str
        ``"IP:PORT"`` of the service.
    """

    def __init__(self, client: SiteClient, address: str) -> None:
        self._client = client
        self._address = address
        self.calls = 0

    async def ask(self, step: StepKey, workers: Sequence[str], timeout_s: float) -> dict[str, str]:
        """Return tickets by worker id, for those of the given workers that may run the step.

        Raises
        ------
        AdviceBusyError
            The call may succeed from another VM, or later.
        NotSentError, NoAnswerError
        """
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = msgspec.json.encode({"step": name, "workers": list(workers)})
        self.calls += 1
        reply = await self._client.call("POST", self._address, "/-/advise", timeout_s, body)
        if reply.status == 429:
            raise AdviceBusyError(name)
        if not reply.is_ok:
            raise NoAnswerError(f"the advice service answered {reply.status}")
        try:
            return dict(decode_json(reply.body, _WireAdvice).allowed)
        except UndecodableError as error:
            raise NoAnswerError(f"unreadable advice: {error}") from error
