"""A TCP relay between a failure domain and the platform that can simulate a network cut."""

import asyncio
import contextlib
import threading

__all__ = ["Relay"]

CHUNK_BYTES = 65_536

Address = tuple[str, int]


class Relay:
    """Forwards every connection to a target, with an event loop in a thread of its own.

    Parameters
    ----------
    listen : tuple of (str, int)
        Host and port to listen on.
    target : tuple of (str, int)
        Host and port that connections are forwarded to.

    Notes
    -----
    `bytes_forwarded` and `bytes_returned` count the bytes sent to the target and back from it.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self._target = target
        self._is_cut = False
        self.bytes_forwarded = self.bytes_returned = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        start = asyncio.start_server(self._serve, *listen)
        self._server = asyncio.run_coroutine_threadsafe(start, self._loop).result()
        self.address = f"{listen[0]}:{listen[1]}"

    def set_cut(self, is_cut: bool) -> None:
        """Abort all connections; while cut, new connections are aborted as well."""

        async def apply_cut() -> None:
            self._is_cut = is_cut
            for writer in list(self._writers):
                writer.transport.abort()

        asyncio.run_coroutine_threadsafe(apply_cut(), self._loop).result()

    def close(self) -> None:
        """Stop listening, abort all connections and end the thread."""
        self.set_cut(True)
        self._loop.call_soon_threadsafe(self._server.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._copy(reader, target_writer, is_forward=True),
                self._copy(target_reader, writer, is_forward=False),
            )
        for stream in (writer, target_writer):
            self._writers.discard(stream)
            stream.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_forward: bool
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if is_forward:
                self.bytes_forwarded += len(chunk)
            else:
                self.bytes_returned += len(chunk)
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
