"""Answers of handlers that are cancelled at the end of a graceful shutdown, on real sockets."""

import asyncio
import socket

from redwingplank.platform.http import serve_http, server

REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
BODY = b"cancelled"
TURNS = 20
"""Turns of the event loop that a cancelled handler takes; the server alone waits for none."""
LONG_S = 10.0


class CancelledApp:
    """Answers requests only when their handlers are cancelled."""

    def __init__(self):
        self.begun = asyncio.Event()

    async def __call__(self, scope, receive, send):
        self.begun.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            for _ in range(TURNS):
                await asyncio.sleep(0)
        headers = [(b"content-length", b"%d" % len(BODY)), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": 504, "headers": headers})
        await send({"type": "http.response.body", "body": BODY})


def read_answer(connection):
    """Return what has been sent, without a turn of the event loop; fail if it is no answer."""
    connection.settimeout(1.0)
    answer = b""
    while not answer.endswith(BODY):
        received = connection.recv(4096)
        assert received, f"the connection was closed after {answer!r}"
        answer += received
    return answer


class TestStop:
    # Guards against a program that ends before the answer, so that its caller sees none.
    def test_returns_after_cancelled_handlers_have_sent_their_answers(self, monkeypatch):
        monkeypatch.setattr(server, "CANCELLED_S", LONG_S)

        async def scenario():
            app = CancelledApp()
            stopping = await serve_http(app, ["127.0.0.1:0"], graceful_s=0)
            address = stopping._sockets[0].getsockname()
            with socket.create_connection(address) as connection:
                connection.sendall(REQUEST)
                await app.begun.wait()
                await stopping.stop()
                return read_answer(connection)

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 504 ")
