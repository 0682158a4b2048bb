"""Lanes that are parked until capacity, quota or the lease allows their jobs to start."""

from dataclasses import dataclass
from functools import partial
from itertools import islice

import numpy as np

from redwingplank.core import Resources, sum_resources
from redwingplank.scheduling.messages import GrantWanted
from redwingplank.scheduling.queue import Lane
from redwingplank.scheduling.shares import GrantedUsage
from redwingplank.scheduling.state import ShardState
from redwingplank.scheduling.vm_table import Amounts

__all__ = ["BlockedLanes"]

MAX_JOBS_PER_REQUEST = 256
"""Jobs of a lane that one grant request counts; later requests count the jobs behind them."""

NeedKey = tuple[bool, tuple[int, ...]]
"""Resources that each task of a lane needs, and whether one fitting VM may not be enough.

One VM may not be enough for a gang, or for a task that avoids workers on which it failed.
"""


@dataclass(frozen=True, slots=True)
class _GrantRequest:
    """Quota that a lane waits for: enough for `count` tasks or for all that wait, if more."""

    lane: Lane
    need: Resources
    count: int

    def total(self) -> Resources:
        jobs = islice(self.lane.jobs, MAX_JOBS_PER_REQUEST)
        waiting = sum(len(job.queued) for _, _, _, job in jobs)
        return self.need * max(self.count, waiting)


class BlockedLanes:
    """Parks lanes whose jobs can't start, and unblocks them when the cause may be gone.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._lanes_by_need: dict[NeedKey, list[Lane]] = {}
        self._lanes_by_organisation: dict[str, list[Lane]] = {}
        self._lanes_waiting_for_lease: list[Lane] = []
        self._requests_by_organisation: dict[str, dict[int, _GrantRequest]] = {}

    def is_full(self, need: Amounts) -> bool:
        """Return whether a lane with the same need is parked because no VM has the capacity."""
        return (False, tuple(need.tolist())) in self._lanes_by_need

    def block_for_capacity(self, lane: Lane, need: Amounts) -> None:
        """Park a lane until a VM has enough free capacity for its need."""
        self._state.queue.block_lane(lane)
        head = lane.head()
        avoids_workers = head is not None and bool(head.queued[0].failure_workers)
        key = (lane.gang_size > 0 or avoids_workers, tuple(need.tolist()))
        lane.blocked_need = key
        self._lanes_by_need.setdefault(key, []).append(lane)

    def block_for_quota(self, lane: Lane, need: Amounts, count: int, now_s: float) -> None:
        """Park a lane until its organisation uses less of its grant or the grant changes."""
        state = self._state
        state.queue.block_lane(lane)
        usage = lane.usage
        request = _GrantRequest(lane, state.resources(need), count)
        self._requests_by_organisation.setdefault(usage.name, {})[lane.number] = request
        self._lanes_by_organisation.setdefault(usage.name, []).append(lane)
        if not usage.is_grant_request_due:
            usage.is_grant_request_due = True
            due_s = max(now_s, usage.wanted_at_s + state.settings.grant_repeat_s)
            state.due.call_at(due_s, partial(self._request_grant, usage))

    def _request_grant(self, usage: GrantedUsage, now_s: float) -> None:
        """Request a grant for an organisation's parked lanes, repeatedly while any is parked."""
        requests = self._requests_by_organisation.get(usage.name)
        usage.is_grant_request_due = bool(requests)
        if not requests:
            return
        wanted = sum_resources(request.total() for request in requests.values())
        state = self._state
        usage.wanted_at_s = now_s
        state.messages.append(GrantWanted(usage.name, wanted))
        state.due.call_at(
            now_s + state.settings.grant_repeat_s, partial(self._request_grant, usage)
        )

    def block_for_mode(self, lane: Lane) -> None:
        """Park a lane until the lease allows its jobs to start."""
        self._state.queue.block_lane(lane)
        self._lanes_waiting_for_lease.append(lane)

    def release_mode(self) -> None:
        """Unblock the lanes that waited for the lease."""
        lanes, self._lanes_waiting_for_lease = self._lanes_waiting_for_lease, []
        for lane in lanes:
            self._state.queue.unblock_lane(lane)

    def retry_at(self, lane: Lane, due_s: float) -> None:
        """Unblock a lane at `due_s` if it is still parked for capacity then."""
        if not lane.retry_at_s or due_s < lane.retry_at_s:
            lane.retry_at_s = due_s
            self._state.due.call_at(due_s, partial(self._unblock_if_due, lane))

    def _unblock_if_due(self, lane: Lane, now_s: float) -> None:
        if now_s < lane.retry_at_s or not lane.retry_at_s:
            return
        lane.retry_at_s = 0.0
        if lane.is_blocked and lane.blocked_need is not None:
            self._remove_parked(lane)
            self._state.queue.unblock_lane(lane)

    def _remove_parked(self, lane: Lane) -> None:
        key = lane.blocked_need
        lane.blocked_need = None
        lanes = self._lanes_by_need.get(key, []) if key is not None else []
        if lane in lanes:
            lanes.remove(lane)
        if key is not None and not lanes:
            self._lanes_by_need.pop(key, None)

    def release_organisation(self, organisation: str) -> None:
        """Unblock the lanes that wait for an organisation's quota."""
        self._requests_by_organisation.pop(organisation, None)
        for lane in self._lanes_by_organisation.pop(organisation, ()):
            self._state.queue.unblock_lane(lane)

    def release_fitting(self) -> None:
        """Unblock the lanes that may start after reservations changed or capacity was freed."""
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
        for need in self._find_fitting_needs(needs, rows):
            for lane in self._lanes_by_need.pop(need):
                lane.blocked_need = None
                state.queue.unblock_lane(lane)

    def _find_fitting_needs(self, needs: list[NeedKey], rows: list[int]) -> list[NeedKey]:
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
