"""Server side of the RPC layer: offers services of this process to other processes."""

import asyncio
from collections.abc import Mapping
from typing import Any

import capnp

from redwingplank.rpc.errors import RpcError
from redwingplank.rpc.peers import split_address
from redwingplank.rpc.schema import MESSAGE_VERSION, load_schema
from redwingplank.rpc.served_calls import ServedCalls

__all__ = ["NodeServer", "serve_node"]

MESSAGE_BYTES = 8 * 1024 * 1024
"""Longest message, eight times the largest value of the store; it also bounds how much of a message
may be read, where a part that is read again counts again."""
WORD_BYTES = 8
DEFAULT_DESCRIPTORS = 4100
CONNECTION_PARTS = 4
"""Connections take at most one of so many equal parts of the descriptors."""
END_TIMEOUT_S = 1.0
"""For handlers that are cancelled as the server stops."""

_NodeServer: Any = load_schema("node").Node.Server


class _Node(_NodeServer):
    def __init__(self, services_by_name: Mapping[str, Any], calls: ServedCalls) -> None:
        self._services_by_name = services_by_name
        self._calls = calls

    async def open(self, version: int, service: str, _context: Any, **_: Any) -> tuple[int, Any]:
        if version != MESSAGE_VERSION:
            raise RpcError(f"message version {version} is not spoken here, use {MESSAGE_VERSION}")
        offered = self._services_by_name.get(service)
        if offered is None:
            raise RpcError(f"service {service!r} is not offered here")
        return MESSAGE_VERSION, self._calls.wrap(offered)


class NodeServer:
    """Accepts connections on one address and serves the named services on each.

    Parameters
    ----------
    services_by_name : mapping of str to capnp server
        Services by the name that callers pass to `PeerConnections.call`.
    descriptors : int
        Number of descriptors that the process may open. A connection beyond a quarter of them takes
        the place of the oldest, as the other processes open theirs again on demand.
    """

    def __init__(
        self, services_by_name: Mapping[str, Any], descriptors: int = DEFAULT_DESCRIPTORS
    ) -> None:
        self._services_by_name = services_by_name
        self._limit = descriptors // CONNECTION_PARTS
        self._connections: dict[asyncio.Task, None] = {}
        """Tasks that serve the open connections, the oldest first."""
        self._calls = ServedCalls()
        self._server: Any = None

    async def start(self, address: str) -> None:
        """Start to listen at ``"IP:PORT"``."""
        host, port = split_address(address)
        self._server = await capnp.AsyncIoStream.create_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop listening, close the open connections, and end the handlers of their calls."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        await self._calls.end(END_TIMEOUT_S)

    async def _serve(self, stream: Any) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._make_place()
        self._connections[task] = None
        try:
            server = capnp.TwoPartyServer(
                stream,
                bootstrap=_Node(self._services_by_name, self._calls),
                traversal_limit_in_words=MESSAGE_BYTES // WORD_BYTES,
            )
            await server.on_disconnect()
        except (capnp.KjException, asyncio.CancelledError):
            pass
        finally:
            stream.close()
            self._connections.pop(task, None)

    def _make_place(self) -> None:
        while len(self._connections) >= self._limit:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.cancel()


async def serve_node(address: str, services_by_name: Mapping[str, Any]) -> NodeServer:
    """Start a server that offers services at an address.

    Parameters
    ----------
    address : str
        ``"IP:PORT"`` to listen at.
    services_by_name : mapping of str to capnp server
        Services by the name that callers pass to `PeerConnections.call`. Services may be
        added to the mapping later.

    Returns
    -------
    NodeServer
        The running server; the caller stops it.
    """
    server = NodeServer(services_by_name)
    await server.start(address)
    return server
