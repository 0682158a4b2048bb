"""Parts of ASGI applications that let faults act on calls."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ["Receive", "Send", "delay", "drop", "read_body", "replay", "wait_for_disconnect"]

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a call."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


def replay(body: bytes) -> Receive:
    """Return what an application receives of a call whose body has been read."""
    messages = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive() -> dict[str, Any]:
        return messages.pop() if messages else {"type": "http.disconnect"}

    return receive


async def drop(message: dict[str, Any]) -> None:
    """Send nothing."""


def delay(send: Send, delay_s: float) -> Send:
    """Return a `send` that waits before the answer begins."""

    async def send_late(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            await asyncio.sleep(delay_s)
        await send(message)

    return send_late


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller has gone."""
    while (await receive())["type"] != "http.disconnect":
        pass
