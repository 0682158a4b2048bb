"""Entries of the cell's system keys in the store: live nodes, and epochs of ownership."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from redwingplank.core import check_address, decode_json

__all__ = ["EpochEntry", "NodeEntry", "Ownership", "decode_epoch", "decode_node"]

MAX_CORE_SHARE = 1000.0
MAX_EPOCH = 2**40
"""Larger numbers are not believed; one epoch a second would reach it after 130 years."""


class NodeEntry(msgspec.Struct, frozen=True):
    """A live node: address for peers, failure domain, and the part of a core that a thread gets."""

    address: str
    failure_domain: str
    core_share: Annotated[float, msgspec.Meta(ge=0, le=MAX_CORE_SHARE)] = 1.0


class EpochEntry(msgspec.Struct, frozen=True):
    """An epoch of ownership: its number and the owner's name, address and incarnation.

    Value of the owner key and of the epoch key; the latter is stored as "term". `bounded_since` is
    the first epoch of the unbroken series, up to this one, of owners that bound the leases of all
    workers, restarted ones too; it is 0 for owners of earlier versions, which do not. The number is
    the last one of the fencing tokens that the owner may use.
    """

    number: Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
    owner: str
    address: str
    incarnation: str = ""
    # Earlier versions bound only the leases of workers that have not restarted ("bounded_since").
    bounded_since: Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)] = msgspec.field(
        name="fenced_since", default=0
    )


@dataclass(frozen=True, slots=True)
class Ownership:
    """An epoch that this node has won, at `won_s`.

    `epoch_revision` and `sequence_revision` are the store revisions of the two keys that the
    owner's writes depend on, `bounded_since` is that of its entry.
    """

    epoch: int
    epoch_revision: int
    sequence_revision: int
    won_s: float
    bounded_since: int


def decode_node(value: bytes) -> NodeEntry:
    """Return the entry of a live node.

    Raises
    ------
    InvalidValueError
        If the value is not such an entry, or names no address.
    """
    entry = decode_json(value, NodeEntry)
    check_address(entry.address)
    return entry


def decode_epoch(value: bytes) -> EpochEntry:
    """Return the entry of an epoch.

    Raises
    ------
    InvalidValueError
        If the value is not such an entry, or names no address.
    """
    entry = decode_json(value, EpochEntry)
    check_address(entry.address)
    return entry
