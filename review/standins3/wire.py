"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins of this review."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict"}


class BrokenLinkError(Exception):
    """The connection of a request is to be reset."""


@dataclass
class Request:
    """One request: its method, path, query, headers (lower case) and JSON body."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None


Handler = Callable[[Request], Awaitable[tuple[int, dict[str, Any]]]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            first, headers = await _read_head(reader)
            method, target, _ = first.split(" ", 2)
            raw = await reader.readexactly(int(headers.get("content-length", "0")))
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            body = json.loads(raw) if raw else None
            status, answer = await handler(Request(method, parts.path, query, headers, body))
            data = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()
    except BrokenLinkError:
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
        # The client has gone, or the script ends.
        pass
    finally:
        with contextlib.suppress(RuntimeError):
            writer.close()


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve until the server is closed."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _serve_connection(handler, reader, writer)

    return await asyncio.start_server(accept, host, port, limit=1 << 20, backlog=512)


async def call(
    address: str,
    method: str,
    target: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int | None, Any]:
    """Send one request on a connection of its own; return (None, None) without an answer."""
    data = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host or address}",
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
        f"X-Redwingplank-Deadline-Ms: {round(timeout_s * 1000)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            first, headers = await _read_head(reader)
            raw = await reader.readexactly(int(headers.get("content-length", "0")))
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(raw) if raw else None
            except ValueError:
                return status, None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None, None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
