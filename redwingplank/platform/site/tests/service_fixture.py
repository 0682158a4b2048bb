"""A service over a real socket that answers, stays silent or breaks connections as told."""

import asyncio
import re

__all__ = ["ScriptedService"]

HANG_S = 3.0
"""Longer than the time-outs of tests."""
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
_find_length = re.compile(rb"content-length: (\d+)", re.I).search


class ScriptedService:
    """Answers each call with the next of some statuses; 0 closes instead, None does nothing."""

    def __init__(self, *statuses: int | None, body: bytes = b"{}") -> None:
        self._statuses = list(statuses)
        self._body = body
        self.ports: list[int] = []
        self.received: list[bytes] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while self._statuses:
                head = await reader.readuntil(b"\r\n\r\n")
                size = _find_length(head)
                self.received.append(await reader.readexactly(int(size[1]) if size else 0))
                self.ports.append(writer.get_extra_info("peername")[1])
                status = self._statuses.pop(0)
                if status is None:
                    await asyncio.sleep(HANG_S)
                if not status:
                    return
                length = len(self._body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, length))
                writer.write(self._body)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()
