"""A call that is cancelled beside its time-out, over the loopback interface."""

import asyncio
import time
from collections.abc import Awaitable, Callable

__all__ = ["cancel_beside_time_out"]

TIMEOUT_S = 1.0
STANDSTILL_S = 0.2
"""Until so long after the time-out, and after a cancellation that is due with it."""


async def cancel_beside_time_out(
    make_call: Callable[[str, float], Awaitable[object]], delay_s: float
) -> str:
    """Return how the task of a call ends that is cancelled `delay_s` seconds after its time-out.

    The loop stands still meanwhile, as that of a process which is paused: it finds both due.

    Parameters
    ----------
    make_call : callable
        Makes the call, which isn't answered; called with the address ``"IP:PORT"`` of the service
        and the time-out in seconds.
    delay_s : float
        Seconds, negative for a cancellation before the time-out.

    Returns
    -------
    str
        ``"cancelled"``, or the name of the exception.
    """
    has_arrived, loop = asyncio.Event(), asyncio.get_running_loop()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        has_arrived.set()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    due_s = loop.time() + TIMEOUT_S
    task = asyncio.ensure_future(make_call(f"{host}:{port}", TIMEOUT_S))
    await has_arrived.wait()
    loop.call_at(due_s + delay_s, task.cancel)
    loop.call_soon(time.sleep, due_s + STANDSTILL_S - loop.time())
    await asyncio.wait((task,))
    server.close()
    return "cancelled" if task.cancelled() else type(task.exception()).__name__
