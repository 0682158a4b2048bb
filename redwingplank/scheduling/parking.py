"""Lanes that found no room or no quota, kept aside until that changes."""

from functools import partial

import numpy as np

from redwingplank.scheduling.messages import GrantWanted
from redwingplank.scheduling.queue import Lane
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["Parking"]

NeedKey = tuple[bool, tuple[int, ...]]
"""Whether lanes need more than one place with room, and what each of their tasks needs."""


class Parking:
    """Parks lanes by their need and brings them back when a place of that size appears.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._lanes_by_need: dict[NeedKey, list[Lane]] = {}
        self._lanes_by_organisation: dict[str, list[Lane]] = {}

    def is_full(self, need: Amounts) -> bool:
        """Return whether lanes of the same need found no place already."""
        return (False, tuple(need.tolist())) in self._lanes_by_need

    def park_for_room(self, lane: Lane, need: Amounts) -> None:
        """Park a lane until a row has room for its need."""
        self._state.queue.park(lane)
        head = lane.head()
        is_choosy = head is not None and bool(head.queued[0].failure_workers)
        key = (lane.gang_size > 0 or is_choosy, tuple(need.tolist()))
        lane.parked_need = key
        self._lanes_by_need.setdefault(key, []).append(lane)

    def park_for_quota(self, lane: Lane, need: Amounts, count: int, now_s: float) -> None:
        """Park a lane until its organisation holds less or may hold more."""
        state = self._state
        state.queue.park(lane)
        self._lanes_by_organisation.setdefault(lane.usage.name, []).append(lane)
        if now_s >= lane.usage.wanted_at_s + state.settings.grant_repeat_s:
            lane.usage.wanted_at_s = now_s
            wanted = state.resources(need) * count
            state.messages.append(GrantWanted(lane.usage.name, wanted))

    def retry_at(self, lane: Lane, due_s: float) -> None:
        """Bring a parked lane back at `due_s` if it is still parked."""
        if not lane.retry_at_s or due_s < lane.retry_at_s:
            lane.retry_at_s = due_s
            self._state.due.call_at(due_s, partial(self._retry, lane))

    def _retry(self, lane: Lane, now_s: float) -> None:
        if now_s < lane.retry_at_s or not lane.retry_at_s:
            return
        lane.retry_at_s = 0.0
        if lane.is_parked and lane.parked_need is not None:
            self._remove(lane)
            self._state.queue.unpark(lane)

    def _remove(self, lane: Lane) -> None:
        key = lane.parked_need
        lane.parked_need = None
        lanes = self._lanes_by_need.get(key, []) if key is not None else []
        if lane in lanes:
            lanes.remove(lane)
        if key is not None and not lanes:
            self._lanes_by_need.pop(key, None)

    def release_organisation(self, organisation: str) -> None:
        """Bring back the lanes that wait for an organisation's quota."""
        for lane in self._lanes_by_organisation.pop(organisation, ()):
            self._state.queue.unpark(lane)

    def release_fitting(self) -> None:
        """Bring back the lanes whose need or quota fits after what was released."""
        state = self._state
        for organisation, usage in state.changed_organisations.items():
            state.queue.reorder(usage)
            self.release_organisation(organisation)
        state.changed_organisations.clear()
        rows = [row for row in state.freed_rows if row < state.table.row_count]
        state.freed_rows.clear()
        if not rows or not self._lanes_by_need:
            return
        needs = list(self._lanes_by_need)
        for need in self._fitting(needs, rows):
            for lane in self._lanes_by_need.pop(need):
                lane.parked_need = None
                state.queue.unpark(lane)

    def _fitting(self, needs: list[NeedKey], rows: list[int]) -> list[NeedKey]:
        table = self._state.table
        width = len(table.dimensions)
        matrix = np.zeros((len(needs), width), np.int64)
        for number, (_, need) in enumerate(needs):
            matrix[number, : len(need)] = need
        free = table.free[:, rows]
        is_fitting = np.ones((len(needs), len(rows)), np.bool_)
        for dimension in range(width):
            is_fitting &= matrix[:, dimension, None] <= free[dimension]
        is_fitting &= table.is_open[rows]
        return [needs[number] for number in np.flatnonzero(is_fitting.any(axis=1))]
