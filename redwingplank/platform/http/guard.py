"""Answers the requests whose handler fails or is cancelled, by what is known of their effect."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from redwingplank.core import RedwingError

__all__ = [
    "AnswerGuard",
    "FailureAnswer",
    "ReportFailure",
    "RequestCutOffError",
    "may_have_effect",
    "note_effect",
]

EFFECT_KEY = "redwingplank.may_have_effect"
"""Key of an ASGI scope, set once the request may have an effect."""

_Message = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]


class RequestCutOffError(RedwingError):
    """The connection ended before the whole body of a request had arrived."""


@dataclass(frozen=True, slots=True)
class FailureAnswer:
    """Answer to a request whose handler ended without one."""

    status: HTTPStatus
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


MakeFailureAnswer = Callable[[bool], FailureAnswer]
"""Returns the answer; called with whether the request may have had an effect."""
ReportFailure = Callable[[str, bool, BaseException], None]
"""Called with the path, with whether the request may have had an effect, and with the error."""


def note_effect(scope: MutableMapping[str, Any]) -> None:
    """Record that a request may have an effect from now on, whatever becomes of its handler."""
    scope[EFFECT_KEY] = True


def may_have_effect(scope: MutableMapping[str, Any]) -> bool:
    """Return whether a request may have had an effect."""
    return scope.get(EFFECT_KEY, False)


class AnswerGuard:
    """Wraps an ASGI application, so that no request is answered by the server in its place.

    A handler gets no body that was cut off. If it fails or is cancelled before its answer has
    begun, the request is answered by what is known of its effect. Otherwise the error is passed on
    to the server, which closes the connection.

    Parameters
    ----------
    application : ASGI application
        Has to pass unexpected errors on.
    make_answer : callable
        Makes the answer to a failed request.
    report : callable
        Told of each failed request, except those that their callers cut off.
    """

    def __init__(
        self, application: Any, make_answer: MakeFailureAnswer, report: ReportFailure
    ) -> None:
        self._application = application
        self._make_answer = make_answer
        self._report = report

    async def __call__(self, scope: _Message, receive: _Receive, send: _Send) -> None:
        """Handle one request; the interface is that of ASGI."""
        exchange = _Exchange(receive, send)
        try:
            await self._application(scope, exchange.receive, exchange.send)
        except RequestCutOffError:
            # Nobody is left to get an answer, and the server sends none.
            return
        except (Exception, asyncio.CancelledError) as error:
            has_effect = may_have_effect(scope)
            self._report(scope["path"], has_effect, error)
            if exchange.has_begun:
                raise
            await exchange.answer(self._make_answer(has_effect))


class _Exchange:
    """One request and its response, as far as they have been received and sent."""

    def __init__(self, receive: _Receive, send: _Send) -> None:
        self._receive = receive
        self._send = send
        self._is_whole = False
        self.has_begun = False

    async def receive(self) -> _Message:
        message = await self._receive()
        if message["type"] == "http.disconnect" and not self._is_whole:
            raise RequestCutOffError("the connection ended within the request")
        self._is_whole = self._is_whole or not message.get("more_body", False)
        return message

    async def send(self, message: _Message) -> None:
        self.has_begun = True
        await self._send(message)

    async def answer(self, answer: FailureAnswer) -> None:
        headers = {
            **answer.headers,
            "Content-Length": str(len(answer.body)),
            "Connection": "close",
        }
        await self.send(
            {
                "type": "http.response.start",
                "status": answer.status.value,
                "headers": [
                    (name.lower().encode(), value.encode()) for name, value in headers.items()
                ],
            }
        )
        await self.send({"type": "http.response.body", "body": answer.body})
