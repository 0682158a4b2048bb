"""Table of the shard's VMs, with free and total resources as integer columns."""

from collections.abc import Iterable

import numpy as np
from numpy.typing import NDArray

from redwingplank.config import DeadlineClass
from redwingplank.core import Resources, make_resources

__all__ = ["Amounts", "VmTable"]

Amounts = NDArray[np.int64]

_INITIAL_ROWS = 32
_MAX_CHANGES = 8192  # entries kept in `VmTable.changed_rows`
_FIXED_DIMENSIONS = ("millicores", "memory_mib")


class VmTable:
    """Table of VM resources; each VM has one row index in all columns.

    Attributes
    ----------
    dimensions : list of str
        ``millicores``, ``memory_mib`` and one ``accelerators.KIND`` for each accelerator kind
        encountered so far.
    free, capacity : ndarray of int64, shape (dimensions, rows)
        Unreserved and total amounts.
    inverse : ndarray of float, shape (dimensions, rows)
        Reciprocals of `capacity`, with capacities below 1 counted as 1.
    is_schedulable, is_held : ndarray of bool
        Rows on which new tasks may be placed, and rows that are kept for a reservation.
    standing : ndarray of int64, shape (dimensions, rows)
        Amounts reserved by tasks of standing services.
    preemptible : list of ndarray of int64, shape (dimensions, rows)
        Amounts reserved by preemptible tasks, by deadline class.
    speed : ndarray of float
        Learnt speed relative to the shard's average.
    rack : ndarray of int64
        Number of the VM's rack.
    row_count : int
        Number of rows used so far, including those of removed VMs.
    changed_rows : list of int
        Row of each change, in order; cleared when it has reached its greatest length.
    first_change : int
        Number of changes before the first one in `changed_rows`.
    """

    def __init__(self) -> None:
        self.dimensions: list[str] = list(_FIXED_DIMENSIONS)
        self.free = np.zeros((2, _INITIAL_ROWS), np.int64)
        self.capacity = np.zeros((2, _INITIAL_ROWS), np.int64)
        self.inverse = np.zeros((2, _INITIAL_ROWS))
        self.is_schedulable = np.zeros(_INITIAL_ROWS, np.bool_)
        self.is_reserved = np.zeros(_INITIAL_ROWS, np.bool_)
        self.standing = np.zeros((2, _INITIAL_ROWS), np.int64)
        self.preemptible = [np.zeros((2, _INITIAL_ROWS), np.int64) for _ in DeadlineClass]
        self.speed = np.ones(_INITIAL_ROWS)
        self.rack = np.zeros(_INITIAL_ROWS, np.int64)
        self.row_count = 0
        self.changed_rows: list[int] = []
        self.first_change = 0
        self._racks_by_name: dict[str, int] = {}
        self._free_rows: list[int] = []

    @property
    def rack_count(self) -> int:
        """Number of racks encountered so far."""
        return len(self._racks_by_name)

    @property
    def change_count(self) -> int:
        """Number of row changes so far."""
        return self.first_change + len(self.changed_rows)

    def add(self, capacity: Resources, rack: str) -> int:
        """Add a VM and return its row; all its resources are free, and it is not schedulable."""
        amounts = self.amounts(capacity)
        row = self._free_rows.pop() if self._free_rows else self._next_row()
        self.capacity[:, row] = amounts
        self.free[:, row] = amounts
        self.inverse[:, row] = 1.0 / np.maximum(amounts, 1)
        self.speed[row] = 1.0
        self.rack[row] = self._racks_by_name.setdefault(rack, len(self._racks_by_name))
        self.is_schedulable[row] = self.is_reserved[row] = False
        self.mark_changed(row)
        return row

    def remove(self, row: int) -> None:
        """Remove a VM; its row may be reused."""
        self.capacity[:, row] = 0
        self.free[:, row] = 0
        self.standing[:, row] = 0
        for amounts in self.preemptible:
            amounts[:, row] = 0
        self.is_schedulable[row] = self.is_reserved[row] = False
        self._free_rows.append(row)
        self.mark_changed(row)

    def resize(self, row: int, capacity: Resources) -> None:
        """Change a VM's capacity; its reservations stay."""
        amounts = self.amounts(capacity)
        self.free[:, row] += amounts - self.capacity[:, row]
        self.capacity[:, row] = amounts
        self.inverse[:, row] = 1.0 / np.maximum(amounts, 1)
        self.mark_changed(row)

    def reserve(self, row: int, amounts: Amounts) -> None:
        """Subtract `amounts` from the free amounts of a row."""
        self.free[: len(amounts), row] -= amounts
        self.mark_changed(row)

    def release(self, row: int, amounts: Amounts) -> None:
        """Add `amounts` to the free amounts of a row."""
        self.free[: len(amounts), row] += amounts
        self.mark_changed(row)

    def add_standing(self, row: int, amounts: Amounts, sign: int) -> None:
        """Add a service task's reservation to `standing`, or subtract it with sign -1."""
        self.standing[: len(amounts), row] += sign * amounts

    def add_preemptible(self, row: int, queue_class: int, amounts: Amounts, sign: int) -> None:
        """Add a preemptible task's reservation to `preemptible`, or subtract it with sign -1."""
        reserved = self.preemptible[queue_class]
        if sign > 0:
            reserved[: len(amounts), row] += amounts
        else:
            reserved[: len(amounts), row] -= amounts

    def set_schedulable(self, row: int, is_schedulable: bool) -> None:
        """Set whether new tasks may be placed on a row."""
        if self.is_schedulable[row] != is_schedulable:
            self.is_schedulable[row] = is_schedulable
            self.mark_changed(row)

    def set_reserved(self, row: int, is_held: bool) -> None:
        """Set whether a row is kept for a reservation."""
        self.is_reserved[row] = is_held
        self.mark_changed(row)

    def mark_changed(self, row: int) -> None:
        """Record that the score of a row is out of date."""
        if len(self.changed_rows) >= _MAX_CHANGES:
            self.first_change += len(self.changed_rows)
            self.changed_rows.clear()
        self.changed_rows.append(row)

    def fits(self, row: int, amounts: Amounts) -> bool:
        """Return whether a row has `amounts` free, whether or not it is schedulable."""
        return bool((self.free[: len(amounts), row] >= amounts).all())

    def fitting_rows(self, amounts: Amounts) -> NDArray[np.bool_]:
        """Return which rows have `amounts` free, whether or not they are schedulable."""
        fitting = self.free[0] >= amounts[0]
        for dimension in range(1, len(amounts)):
            if amounts[dimension]:
                fitting &= self.free[dimension] >= amounts[dimension]
        return fitting

    def amounts(self, resources: Resources) -> Amounts:
        """Return `resources` as one integer per dimension; new accelerator kinds are added."""
        for kind, _ in resources.accelerators:
            self._add_dimension(f"accelerators.{kind}")
        amounts = np.zeros(len(self.dimensions), np.int64)
        amounts[0] = resources.millicores
        amounts[1] = resources.memory_mib
        for kind, count in resources.accelerators:
            amounts[self.dimensions.index(f"accelerators.{kind}")] = count
        return amounts

    def resources(self, amounts: Iterable[int]) -> Resources:
        """Return the `Resources` that `amounts` represents, with negative amounts as zero."""
        by_name = {
            name: max(0, int(amount))
            for name, amount in zip(self.dimensions, amounts, strict=False)
        }
        millicores = by_name.pop("millicores", 0)
        memory_mib = by_name.pop("memory_mib", 0)
        kinds = {name.partition(".")[2]: count for name, count in by_name.items()}
        return make_resources(millicores, memory_mib, kinds)

    def _add_dimension(self, name: str) -> None:
        if name in self.dimensions:
            return
        self.dimensions.append(name)
        width = self.free.shape[1]
        self.free = np.vstack([self.free, np.zeros((1, width), np.int64)])
        self.capacity = np.vstack([self.capacity, np.zeros((1, width), np.int64)])
        self.inverse = np.vstack([self.inverse, np.ones((1, width))])
        self.standing = np.vstack([self.standing, np.zeros((1, width), np.int64)])
        self.preemptible = [np.pad(each, ((0, 1), (0, 0))) for each in self.preemptible]

    def _next_row(self) -> int:
        if self.row_count == len(self.is_schedulable):
            self._grow()
        self.row_count += 1
        return self.row_count - 1

    def _grow(self) -> None:
        extra = len(self.is_schedulable)
        self.free = np.pad(self.free, ((0, 0), (0, extra)))
        self.capacity = np.pad(self.capacity, ((0, 0), (0, extra)))
        self.inverse = np.pad(self.inverse, ((0, 0), (0, extra)))
        self.is_schedulable = np.pad(self.is_schedulable, (0, extra))
        self.is_reserved = np.pad(self.is_reserved, (0, extra))
        self.standing = np.pad(self.standing, ((0, 0), (0, extra)))
        self.preemptible = [np.pad(each, ((0, 0), (0, extra))) for each in self.preemptible]
        self.speed = np.pad(self.speed, (0, extra), constant_values=1.0)
        self.rack = np.pad(self.rack, (0, extra))
