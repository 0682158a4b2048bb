"""Client connections to the other processes of the system, opened on demand and reused."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import capnp

from redwingplank.rpc.errors import (
    CallFailedError,
    CallOutcomeUnknownError,
    PeerUnreachableError,
)
from redwingplank.rpc.schema import MESSAGE_VERSION, load_schema

__all__ = ["PeerConnections", "is_refused", "split_address"]

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.3
"""Nodes answer each other within milliseconds, and an absent VM does not answer at all."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``"IP:PORT"`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def is_refused(address: str) -> bool:
    """Return whether the VM at ``"IP:PORT"`` is reachable but refuses the connection."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*split_address(address))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


@dataclass(slots=True)
class _Connection:
    stream: Any
    client: Any
    node: Any
    capabilities_by_service: dict[str, Any] = field(default_factory=dict)


class PeerConnections:
    """Calls services of other processes by address.

    Notes
    -----
    Must be used inside ``capnp.kj_loop()``. Each address has one connection, which is closed
    after a call that timed out or failed in the transport rather than in the service.
    """

    def __init__(self) -> None:
        self._connections_by_address: dict[str, _Connection] = {}
        self._locks_by_address: dict[str, asyncio.Lock] = {}

    async def call(
        self,
        address: str,
        service: str,
        interface: Any,
        method: Callable[[Any], Awaitable[Any]],
        timeout_s: float,
    ) -> Any:
        """Call one method of a peer's service.

        Parameters
        ----------
        address : str
            ``"IP:PORT"`` of the peer.
        service : str
            Name under which the peer offers the service with `serve_node`.
        interface : capnp interface
            Interface to which the capability is cast.
        method : callable
            Receives the capability and returns the promise of the call.
        timeout_s : float
            Time limit in seconds for connecting and calling together.

        Returns
        -------
        capnp response

        Raises
        ------
        PeerUnreachableError
            The call was not sent.
        CallOutcomeUnknownError
            The connection broke or the call timed out after it was sent.
        CallFailedError
            The peer answered with an error.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        capability = await self._open(address, service, interface, timeout_s)
        remaining_s = max(0.001, deadline_s - asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(remaining_s):
                return await method(capability)
        except TimeoutError as error:
            self.close_connection(address)
            raise CallOutcomeUnknownError(f"{service} at {address} did not answer") from error
        except capnp.KjException as error:
            if "remote exception" in str(error):
                raise CallFailedError(_error_message(error)) from error
            self.close_connection(address)
            raise CallOutcomeUnknownError(f"lost the connection to {address}") from error

    def close_connection(self, address: str) -> None:
        """Close the connection to a peer, if there is one."""
        connection = self._connections_by_address.pop(address, None)
        if connection is not None:
            connection.client.close()

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._connections_by_address):
            self.close_connection(address)

    async def _open(self, address: str, service: str, interface: Any, timeout_s: float) -> Any:
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)), lock:
                connection = self._connections_by_address.get(address)
                if connection is None:
                    connection = await _connect(address)
                    self._connections_by_address[address] = connection
                capability = connection.capabilities_by_service.get(service)
                if capability is None:
                    answer = await connection.node.open(MESSAGE_VERSION, service)
                    capability = answer.capability.as_interface(interface)
                    connection.capabilities_by_service[service] = capability
                return capability
        except (OSError, TimeoutError, capnp.KjException) as error:
            self.close_connection(address)
            raise PeerUnreachableError(f"cannot reach {service} at {address}: {error}") from error


async def _connect(address: str) -> _Connection:
    host, port = split_address(address)
    stream = await capnp.AsyncIoStream.create_connection(host, port)
    client = capnp.TwoPartyClient(stream)
    node = client.bootstrap().cast_as(load_schema("node").Node)
    return _Connection(stream, client, node)


def _error_message(error: Exception) -> str:
    lines = [line.strip() for line in str(error).splitlines() if line.strip()]
    error_lines = [line for line in lines if "Error: " in line]
    return error_lines[-1] if error_lines else lines[0] if lines else "the peer gave no reason"
