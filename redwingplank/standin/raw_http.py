"""HTTP/1.1 on a non-blocking socket, byte by byte, without a framework in between."""

import asyncio
import re
import socket
import struct
from dataclasses import dataclass

from redwingplank.standin.exchange_script import Answer, AnswerPlan, Cut

__all__ = ["Request", "RequestReader", "reset_when_closed", "send_answer", "wait_for_bytes"]

HEAD_END = b"\r\n\r\n"
CHUNK_BYTES = 65536
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was read whole."""

    method: str
    target: str
    body: bytes


class RequestReader:
    """Reads one request from a connection, and no byte beyond it.

    Parameters
    ----------
    connection : socket.socket
        Non-blocking socket.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._received = b""

    async def read_part(self, count: int) -> None:
        """Read until `count` bytes of the request have been read.

        Raises
        ------
        ConnectionError
            The connection ended before.
        """
        while len(self._received) < count:
            await self._receive(count - len(self._received))

    async def read_all(self) -> Request:
        """Read the rest of the request.

        Raises
        ------
        ConnectionError
            The connection ended before.
        """
        while HEAD_END not in self._received:
            await self._receive(CHUNK_BYTES)
        head, _, _ = self._received.partition(HEAD_END)
        length = _LENGTH.search(head)
        await self.read_part(len(head) + len(HEAD_END) + (int(length[1]) if length else 0))
        method, target, _ = head.decode("latin-1").split(" ", 2)
        return Request(method, target, self._received[len(head) + len(HEAD_END) :])

    async def _receive(self, count: int) -> None:
        data = await asyncio.get_running_loop().sock_recv(self._connection, count)
        if not data:
            raise ConnectionResetError("the caller closed the connection within a request")
        self._received += data


async def wait_for_bytes(connection: socket.socket) -> bool:
    """Wait until bytes arrive, without reading them; return False if the connection ends."""
    loop = asyncio.get_running_loop()
    has_arrived = asyncio.Event()
    loop.add_reader(connection, has_arrived.set)
    try:
        await has_arrived.wait()
    finally:
        loop.remove_reader(connection)
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


async def send_answer(connection: socket.socket, answer: Answer, plan: AnswerPlan) -> None:
    """Send an answer as planned, up to its cut."""
    head = f"HTTP/1.1 {answer.status} X\r\nContent-Type: application/json\r\n"
    head += f"Location: {answer.location}\r\n" if answer.location else ""
    head += f"Content-Length: {len(answer.body)}\r\n\r\n"
    text = head.encode("latin-1") + answer.body
    if plan.cut is Cut.IN_HEAD:
        text = text[: len(head) // 2]
    elif plan.cut is Cut.IN_BODY:
        text = text[: len(head) + len(answer.body) // 2]
    size = -(-len(text) // plan.pieces)
    for begin in range(0, len(text), size):
        if begin:
            await asyncio.sleep(plan.interval_s)
        await asyncio.get_running_loop().sock_sendall(connection, text[begin : begin + size])


def reset_when_closed(connection: socket.socket) -> None:
    """Make the close of a connection a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
