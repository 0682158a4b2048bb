"""A service on a real socket that gives scripted answers."""

import asyncio
import socket
from contextlib import asynccontextmanager

__all__ = ["REDIRECTS", "make_answer", "redirect_to_nowhere", "service"]

REDIRECTS = (301, 302, 303, 307, 308)


@asynccontextmanager
async def service(*answers):
    """Yield the address of a service and the requests that it carried out.

    Each of `answers` is sent whole; None stops listening and closes the connection without one.
    """
    carried_out: list[bytes] = []
    left = list(answers)

    async def serve(reader, writer):
        try:
            while left:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].split()
                await reader.readexactly(int(length[0]) if length else 0)
                carried_out.append(head.split(b" ", 1)[0])
                answer = left.pop(0)
                if answer is None:
                    server.close()
                    return
                writer.write(answer)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}", carried_out
    server.close()


def make_answer(status, body=b"{}", headers=b""):
    head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, headers, len(body))
    return head + body


def redirect_to_nowhere(status, ran="unknown"):
    """Return an answer of an entry that leads to a port at which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    headers = f"Location: http://127.0.0.1:{port}/\r\nX-Redwing-Ran: {ran}\r\n".encode()
    return make_answer(status, headers=headers)
