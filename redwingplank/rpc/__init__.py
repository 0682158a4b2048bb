"""Calls between the processes of the system, over Cap'n Proto RPC."""

from redwingplank.rpc.errors import (
    CallFailedError,
    CallOutcomeUnknownError,
    NotOwnerError,
    PeerUnreachableError,
    RpcError,
)
from redwingplank.rpc.peers import PeerConnections, is_refused, split_address
from redwingplank.rpc.schema import MESSAGE_VERSION, load_schema
from redwingplank.rpc.server import NodeServer, serve_node

__all__ = [
    "MESSAGE_VERSION",
    "CallFailedError",
    "CallOutcomeUnknownError",
    "NodeServer",
    "NotOwnerError",
    "PeerConnections",
    "PeerUnreachableError",
    "RpcError",
    "is_refused",
    "load_schema",
    "serve_node",
    "split_address",
]
