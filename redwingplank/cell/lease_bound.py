"""What an owner knows of the leases of its predecessors, by the store.

Owners of this version grant no lease that lasts longer than a fixed time after the last proof of
their ownership, so that the next one knows when all of them have expired. Owners of earlier
versions kept to no such bound. Each epoch names the first of the unbroken series of owners that
keep to it, and once every lease from before a series has expired, its owner writes that down.
"""

import msgspec

from redwingplank.cell.keys import LEASES_KEY
from redwingplank.cell.system_entries import Ownership
from redwingplank.core import InvalidValueError, decode_json
from redwingplank.platform.site.store import Item, Put

__all__ = ["are_leases_bounded", "make_lease_bound_put"]


class _LeaseBoundEntry(msgspec.Struct, frozen=True):
    """Every lease granted before the series of owners that `epoch` belongs to has expired."""

    epoch: int


def make_lease_bound_put(epoch: int) -> Put:
    """Return the write with which the owner of an epoch tells that earlier leases have expired."""
    return Put(LEASES_KEY, msgspec.json.encode(_LeaseBoundEntry(epoch)))


def are_leases_bounded(item: Item | None, ownership: Ownership) -> bool:
    """Return whether all leases that may last were granted by owners that keep to the bound.

    Parameters
    ----------
    item : Item or None
        Stored entry, read after the ownership was won; one that cannot be read tells nothing.
    ownership : Ownership
        Ownership with the beginning of the present series of owners.
    """
    if item is None or item.value is None:
        return False
    try:
        entry = decode_json(item.value, _LeaseBoundEntry)
    except InvalidValueError:
        return False
    return entry.epoch >= ownership.bounded_since
