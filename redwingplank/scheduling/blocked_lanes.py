"""Lanes that found no room or no quota, kept aside until that changes."""

from dataclasses import dataclass
from functools import partial
from itertools import islice

import numpy as np

from redwingplank.core import Resources, sum_resources
from redwingplank.scheduling.messages import GrantWanted
from redwingplank.scheduling.queue import Lane
from redwingplank.scheduling.shares import OrganisationUsage
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["BlockedLanes"]

MAX_WISH_JOBS = 256
"""Jobs of a lane that one wish counts; those behind them are counted by later wishes."""

NeedKey = tuple[bool, tuple[int, ...]]
"""Whether lanes need more than one place with room, and what each of their tasks needs."""


@dataclass(frozen=True, slots=True)
class _Wish:
    """What a lane needs: at least `count` tasks, at most all that wait in it."""

    lane: Lane
    need: Resources
    count: int

    def wanted(self) -> Resources:
        jobs = islice(self.lane.jobs, MAX_WISH_JOBS)
        waiting = sum(len(job.queued) for _, _, _, job in jobs)
        return self.need * max(self.count, waiting)


class BlockedLanes:
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
        self._lanes_by_mode: list[Lane] = []
        self._wishes_by_organisation: dict[str, dict[int, _Wish]] = {}

    def is_full(self, need: Amounts) -> bool:
        """Return whether lanes of the same need found no place already."""
        return (False, tuple(need.tolist())) in self._lanes_by_need

    def park_for_room(self, lane: Lane, need: Amounts) -> None:
        """Park a lane until a row has room for its need."""
        self._state.queue.block_lane(lane)
        head = lane.head()
        is_choosy = head is not None and bool(head.queued[0].failure_workers)
        key = (lane.gang_size > 0 or is_choosy, tuple(need.tolist()))
        lane.parked_need = key
        self._lanes_by_need.setdefault(key, []).append(lane)

    def park_for_quota(self, lane: Lane, need: Amounts, count: int, now_s: float) -> None:
        """Park a lane until its organisation holds less or may hold more."""
        state = self._state
        state.queue.block_lane(lane)
        usage = lane.usage
        wish = _Wish(lane, state.resources(need), count)
        self._wishes_by_organisation.setdefault(usage.name, {})[lane.number] = wish
        self._lanes_by_organisation.setdefault(usage.name, []).append(lane)
        if not usage.is_wish_due:
            usage.is_wish_due = True
            due_s = max(now_s, usage.wanted_at_s + state.settings.grant_repeat_s)
            state.due.call_at(due_s, partial(self._wish, usage))

    def _wish(self, usage: OrganisationUsage, now_s: float) -> None:
        """Ask for what all parked lanes of an organisation need, again and again."""
        wishes = self._wishes_by_organisation.get(usage.name)
        usage.is_wish_due = bool(wishes)
        if not wishes:
            return
        wanted = sum_resources(wish.wanted() for wish in wishes.values())
        state = self._state
        usage.wanted_at_s = now_s
        state.messages.append(GrantWanted(usage.name, wanted))
        state.due.call_at(now_s + state.settings.grant_repeat_s, partial(self._wish, usage))

    def park_for_mode(self, lane: Lane) -> None:
        """Park a lane until the lease allows its jobs to start."""
        self._state.queue.block_lane(lane)
        self._lanes_by_mode.append(lane)

    def release_mode(self) -> None:
        """Bring back the lanes that waited for the lease."""
        lanes, self._lanes_by_mode = self._lanes_by_mode, []
        for lane in lanes:
            self._state.queue.unblock_lane(lane)

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
            self._state.queue.unblock_lane(lane)

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
        self._wishes_by_organisation.pop(organisation, None)
        for lane in self._lanes_by_organisation.pop(organisation, ()):
            self._state.queue.unblock_lane(lane)

    def release_fitting(self) -> None:
        """Bring back the lanes whose need or quota fits after what was released."""
        state = self._state
        for organisation, usage in state.changed_organisations.items():
            state.shares.update(usage)
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
                state.queue.unblock_lane(lane)

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
        is_fitting &= table.is_schedulable[rows]
        return [needs[number] for number in np.flatnonzero(is_fitting.any(axis=1))]
