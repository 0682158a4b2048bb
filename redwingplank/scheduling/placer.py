"""Choice of a VM for a task, from scores that are updated row by row."""

from collections.abc import Collection
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from redwingplank.config import PlacementPolicyName
from redwingplank.scheduling.policies import PlacementPolicy, make_policy
from redwingplank.scheduling.vm_table import Amounts, VmTable

__all__ = ["NO_CHOICE", "NO_ROW", "Choice", "Placer"]

NO_ROW = -1
_MAX_CACHES = 256
"""Pairs of policy and amounts for which scores are cached."""
_SPREAD_WEIGHT = 10.0
"""Score added for each task of the same job that runs in the rack."""
_INFEASIBLE = float("inf")
"""Score of a row that cannot take the task."""


@dataclass(frozen=True, slots=True)
class Choice:
    """VM that was chosen for a task.

    Parameters
    ----------
    row : int
        Row of the VM, or `NO_ROW`.
    candidates : int
        Number of VMs with enough free capacity.
    reason : str
        Policy by which the VM was chosen, or why there is none.
    """

    row: int
    candidates: int
    reason: str


NO_CHOICE = Choice(NO_ROW, 0, "no_room")


@dataclass(slots=True)
class _Scores:
    amounts: tuple[int, ...]
    scores: NDArray[np.float64]
    change_count: int
    feasible_count: int


class Placer:
    """Finds the best VM for an amount of resources.

    Parameters
    ----------
    table : VmTable
        Table of VMs.
    rng : numpy.random.Generator
        Generator of random scores.

    Notes
    -----
    The scores of all rows are computed once for each pair of policy and amounts. After that only
    rows that changed are scored again, so that a choice costs little more than a minimum over the
    rows.
    """

    def __init__(self, table: VmTable, rng: np.random.Generator) -> None:
        self._table = table
        self._policies_by_name: dict[PlacementPolicyName, PlacementPolicy] = {
            name: make_policy(name, rng) for name in PlacementPolicyName
        }
        self._caches_by_key: dict[tuple[PlacementPolicyName, bytes], _Scores] = {}

    def choose(
        self,
        amounts: Amounts,
        policy: PlacementPolicyName,
        avoided_rows: Collection[int] = (),
        used_by_rack: NDArray[np.int64] | None = None,
    ) -> Choice:
        """Return the best row with enough free capacity, or `NO_CHOICE`.

        Parameters
        ----------
        amounts : ndarray of int64
            Resources that the task needs.
        policy : PlacementPolicyName
            Policy that scores the rows.
        avoided_rows : collection of int
            Rows that are chosen only if no other row is schedulable.
        used_by_rack : ndarray of int64, optional
            Number of the job's tasks in each rack, to spread the job over racks.
        """
        cache = self._current_scores(amounts, policy)
        if not cache.feasible_count:
            return NO_CHOICE
        scores = cache.scores
        if used_by_rack is not None:
            scores = scores + _SPREAD_WEIGHT * used_by_rack[self._table.rack]
        if avoided_rows and self._is_other_schedulable(avoided_rows):
            scores = scores.copy()
            scores[list(avoided_rows)] = np.inf
        row = int(scores.argmin())
        if scores.item(row) == _INFEASIBLE:
            return NO_CHOICE
        return Choice(row, cache.feasible_count, policy)

    def _is_other_schedulable(self, rows: Collection[int]) -> bool:
        is_schedulable = self._table.is_schedulable
        return int(np.count_nonzero(is_schedulable)) > sum(
            bool(is_schedulable[row]) for row in set(rows)
        )

    def _current_scores(self, amounts: Amounts, policy: PlacementPolicyName) -> _Scores:
        table = self._table
        key = (policy, amounts.tobytes())
        cache = self._caches_by_key.get(key)
        change_count = table.first_change + len(table.changed_rows)
        if cache is None or self._is_stale(cache, change_count):
            cache = self._caches_by_key[key] = self._make_scores(amounts, policy)
            if len(self._caches_by_key) > _MAX_CACHES:
                self._caches_by_key.pop(next(iter(self._caches_by_key)))
        elif cache.change_count < change_count:
            for row in set(table.changed_rows[cache.change_count - table.first_change :]):
                self._update_row(cache, policy, row)
            cache.change_count = change_count
        return cache

    def _make_scores(self, amounts: Amounts, policy: PlacementPolicyName) -> _Scores:
        scores = self._score_all(amounts, policy)
        feasible_count = int(np.count_nonzero(scores < np.inf))
        need = tuple(amounts.tolist())
        return _Scores(need, scores, self._table.change_count, feasible_count)

    def _update_row(self, cache: _Scores, policy: PlacementPolicyName, row: int) -> None:
        score = self._score_one(cache.amounts, policy, row)
        was_feasible = cache.scores.item(row) < _INFEASIBLE
        cache.feasible_count += (score < _INFEASIBLE) - was_feasible
        cache.scores[row] = score

    def _is_stale(self, cache: _Scores, change_count: int) -> bool:
        """Return whether all rows have to be scored again.

        This is so after many changes, if older changes are no longer recorded, or if the table has
        grown.
        """
        table = self._table
        missed_changes = change_count - cache.change_count
        if missed_changes > 4 + table.row_count // 8 or cache.change_count < table.first_change:
            return True
        return len(cache.scores) != len(table.is_schedulable)

    def _score_all(self, amounts: Amounts, policy: PlacementPolicyName) -> NDArray[np.float64]:
        table = self._table
        is_feasible = table.is_schedulable & ~table.is_reserved & table.fitting_rows(amounts)
        left = [
            (table.free[dimension] - amount) * table.inverse[dimension]
            for dimension, amount in enumerate(amounts)
        ]
        left.extend(
            table.free[dimension] * table.inverse[dimension]
            for dimension in range(len(amounts), len(table.dimensions))
        )
        rows = np.arange(len(table.is_schedulable))
        scores = self._policies_by_name[policy].score(left, table.speed, rows)
        return np.where(is_feasible, scores, np.inf)

    def _score_one(self, amounts: tuple[int, ...], policy: PlacementPolicyName, row: int) -> float:
        table = self._table
        if not table.is_schedulable[row] or table.is_reserved[row]:
            return _INFEASIBLE
        free = table.free[:, row].tolist()
        inverse = table.inverse[:, row].tolist()
        left = []
        for dimension, amount in enumerate(free):
            if dimension < len(amounts):
                amount -= amounts[dimension]
            if amount < 0:
                return _INFEASIBLE
            left.append(amount * inverse[dimension])
        return float(self._policies_by_name[policy].score(left, table.speed.item(row), row))
