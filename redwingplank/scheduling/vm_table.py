"""Table of the shard's VMs: free and whole resources as integer columns."""

from collections.abc import Iterable

import numpy as np
from numpy.typing import NDArray

from redwingplank.config import DeadlineClass
from redwingplank.core import Resources, make_resources

__all__ = ["Amounts", "VmTable"]

Amounts = NDArray[np.int64]

_FIRST_ROWS = 32
_MAX_CHANGES = 8192
_FIXED_DIMENSIONS = ("millicores", "memory_mib")


class VmTable:
    """Columns of VM resources, one row for each VM.

    Attributes
    ----------
    dimensions : list of str
        ``millicores``, ``memory_mib`` and one ``accelerators.KIND`` for each kind seen so far.
    free, capacity : ndarray of int64, shape (dimensions, rows)
        What is not reserved, and the whole.
    is_open, is_held : ndarray of bool
        Rows that take new tasks, and rows that are kept for a reservation.
    standing : ndarray of int64, shape (dimensions, rows)
        What tasks of standing services reserve.
    preemptible : list of ndarray of int64, shape (dimensions, rows)
        What preemptible tasks reserve, by deadline class.
    speed : ndarray of float
        Learnt speed relative to the shard's average.
    rack : ndarray of int64
        Number of the rack.
    """

    def __init__(self) -> None:
        self.dimensions: list[str] = list(_FIXED_DIMENSIONS)
        self.free = np.zeros((2, _FIRST_ROWS), np.int64)
        self.capacity = np.zeros((2, _FIRST_ROWS), np.int64)
        self.inverse = np.zeros((2, _FIRST_ROWS))
        self.is_schedulable = np.zeros(_FIRST_ROWS, np.bool_)
        self.is_held = np.zeros(_FIRST_ROWS, np.bool_)
        self.standing = np.zeros((2, _FIRST_ROWS), np.int64)
        self.preemptible = [np.zeros((2, _FIRST_ROWS), np.int64) for _ in DeadlineClass]
        self.speed = np.ones(_FIRST_ROWS)
        self.rack = np.zeros(_FIRST_ROWS, np.int64)
        self.row_count = 0
        self.changed_rows: list[int] = []
        self.first_change = 0
        self._racks_by_name: dict[str, int] = {}
        self._free_rows: list[int] = []

    @property
    def rack_count(self) -> int:
        """Racks seen so far."""
        return len(self._racks_by_name)

    @property
    def change_count(self) -> int:
        """Changes of rows so far; grows with each of them."""
        return self.first_change + len(self.changed_rows)

    def add(self, capacity: Resources, rack: str) -> int:
        """Add a VM with everything free, closed to new tasks, and return its row."""
        amounts = self.amounts(capacity)
        row = self._free_rows.pop() if self._free_rows else self._next_row()
        self.capacity[:, row] = amounts
        self.free[:, row] = amounts
        self.inverse[:, row] = 1.0 / np.maximum(amounts, 1)
        self.speed[row] = 1.0
        self.rack[row] = self._racks_by_name.setdefault(rack, len(self._racks_by_name))
        self.is_schedulable[row] = self.is_held[row] = False
        self.mark_changed(row)
        return row

    def remove(self, row: int) -> None:
        """Forget a VM; its row may be used again."""
        self.capacity[:, row] = 0
        self.free[:, row] = 0
        self.standing[:, row] = 0
        for amounts in self.preemptible:
            amounts[:, row] = 0
        self.is_schedulable[row] = self.is_held[row] = False
        self._free_rows.append(row)
        self.mark_changed(row)

    def resize(self, row: int, capacity: Resources) -> None:
        """Change a VM's whole; what is reserved stays reserved."""
        amounts = self.amounts(capacity)
        self.free[:, row] += amounts - self.capacity[:, row]
        self.capacity[:, row] = amounts
        self.inverse[:, row] = 1.0 / np.maximum(amounts, 1)
        self.mark_changed(row)

    def reserve(self, row: int, amounts: Amounts) -> None:
        """Take `amounts` from a row."""
        self.free[: len(amounts), row] -= amounts
        self.mark_changed(row)

    def release(self, row: int, amounts: Amounts) -> None:
        """Give `amounts` back to a row."""
        self.free[: len(amounts), row] += amounts
        self.mark_changed(row)

    def add_standing(self, row: int, amounts: Amounts, sign: int) -> None:
        """Count a service task's reservation, or stop counting it with sign -1."""
        self.standing[: len(amounts), row] += sign * amounts

    def add_preemptible(self, row: int, queue_class: int, amounts: Amounts, sign: int) -> None:
        """Count a preemptible task's reservation, or stop counting it with sign -1."""
        reserved = self.preemptible[queue_class]
        if sign > 0:
            reserved[: len(amounts), row] += amounts
        else:
            reserved[: len(amounts), row] -= amounts

    def set_schedulable(self, row: int, is_open: bool) -> None:
        """Open a row to new tasks, or close it."""
        if self.is_schedulable[row] != is_open:
            self.is_schedulable[row] = is_open
            self.mark_changed(row)

    def set_held(self, row: int, is_held: bool) -> None:
        """Keep a row for a reservation, or end that."""
        self.is_held[row] = is_held
        self.mark_changed(row)

    def mark_changed(self, row: int) -> None:
        """Note that a row's score is out of date."""
        if len(self.changed_rows) >= _MAX_CHANGES:
            self.first_change += len(self.changed_rows)
            self.changed_rows.clear()
        self.changed_rows.append(row)

    def fits(self, row: int, amounts: Amounts) -> bool:
        """Return whether a row has `amounts` free, open or not."""
        return bool((self.free[: len(amounts), row] >= amounts).all())

    def fitting_rows(self, amounts: Amounts) -> NDArray[np.bool_]:
        """Return which rows have `amounts` free, open or not."""
        fitting = self.free[0] >= amounts[0]
        for dimension in range(1, len(amounts)):
            if amounts[dimension]:
                fitting &= self.free[dimension] >= amounts[dimension]
        return fitting

    def amounts(self, resources: Resources) -> Amounts:
        """Return `resources` as one integer for each dimension, adding kinds not seen so far."""
        for kind, _ in resources.accelerators:
            self._add_dimension(f"accelerators.{kind}")
        amounts = np.zeros(len(self.dimensions), np.int64)
        amounts[0] = resources.millicores
        amounts[1] = resources.memory_mib
        for kind, count in resources.accelerators:
            amounts[self.dimensions.index(f"accelerators.{kind}")] = count
        return amounts

    def resources(self, amounts: Iterable[int]) -> Resources:
        """Return the inverse of `amounts`, with negative amounts as zero."""
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
        self.is_held = np.pad(self.is_held, (0, extra))
        self.standing = np.pad(self.standing, ((0, 0), (0, extra)))
        self.preemptible = [np.pad(each, ((0, 0), (0, extra))) for each in self.preemptible]
        self.speed = np.pad(self.speed, (0, extra), constant_values=1.0)
        self.rack = np.pad(self.rack, (0, extra))
