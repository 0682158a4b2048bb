"""The table of upstreams: slots in use, learnt speed and health."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from redwingplank.platform import ListedVm, VmRole, VmState
from redwingplank.routing.settings import RouterSettings

__all__ = ["UpstreamPool", "UpstreamRow", "UpstreamTable"]

SORT_INTERVAL_S = 0.05


@dataclass(slots=True)
class UpstreamRow:
    """One upstream as this entry knows it.

    Parameters
    ----------
    name, address, service, failure_domain : str
        As listed.
    slots : int
        Concurrent requests that it takes from all entries together.
    credits : int
        Of its slots, those that this entry may use.
    in_flight : int
        Requests of this entry that it works on.
    slowness : float
        Learnt service time, relative to what the same requests take on average.
    samples : int
        Answers that `slowness` was learnt from.
    is_leaving : bool
        Takes nothing new, by the list.
    blocked_until_s : float
        Takes nothing new before, after its own word that it leaves, a refused connection or an
        ejection.
    is_ejected : bool
        Whether `blocked_until_s` comes from an ejection.
    returned_at_s : float
        When it came back; the start of its slow start.
    failures : int
        Failures since its last answer.
    ejections : int
        Ejections since it last stayed healthy.
    """

    name: str
    address: str
    service: str
    failure_domain: str
    slots: int
    credits: int
    in_flight: int = 0
    slowness: float = 1.0
    samples: int = 0
    is_leaving: bool = False
    blocked_until_s: float = 0.0
    is_ejected: bool = False
    returned_at_s: float = float("-inf")
    failures: int = 0
    ejections: int = 0

    def limit(self, now_s: float, slow_start_s: float) -> int:
        """Return how many requests of this entry it may have now."""
        if self.is_leaving or now_s < self.blocked_until_s:
            return 0
        since_s = now_s - self.returned_at_s
        if since_s >= slow_start_s:
            return self.credits
        return min(self.credits, max(1, int(self.credits * since_s / slow_start_s)))

    def has_free_slot(self, now_s: float, slow_start_s: float) -> bool:
        """Return whether it may take another request of this entry now."""
        if self.in_flight >= self.credits or self.is_leaving or now_s < self.blocked_until_s:
            return False
        if now_s - self.returned_at_s >= slow_start_s:
            return True
        return self.in_flight < self.limit(now_s, slow_start_s)

    def block(self, until_s: float) -> None:
        """Give it nothing new before a time; it then comes back by slow start."""
        if until_s > self.blocked_until_s:
            self.blocked_until_s = until_s
            self.returned_at_s = until_s


@dataclass(slots=True)
class UpstreamPool:
    """The upstreams of one service in one failure domain, fastest first.

    Parameters
    ----------
    rows : list of UpstreamRow
        The upstreams.
    sorted_at_s : float
        When they were last sorted.
    """

    rows: list[UpstreamRow] = field(default_factory=list)
    sorted_at_s: float = float("-inf")

    def needs_sort(self, now_s: float) -> bool:
        """Return whether the order is older than `SORT_INTERVAL_S`."""
        return now_s - self.sorted_at_s >= SORT_INTERVAL_S

    def sort(self, now_s: float) -> None:
        """Bring the rows into the order of their learnt speed."""
        self.rows.sort(key=_slowness_of)
        self.sorted_at_s = now_s

    def speed(self, now_s: float, slow_start_s: float) -> float:
        """Return the usable slots of this entry, each divided by its slowness."""
        return sum(row.limit(now_s, slow_start_s) / row.slowness for row in self.rows)

    def usable_after_s(self, now_s: float) -> float:
        """Return in how many seconds the first upstream takes requests again, or infinity."""
        return min(
            (max(0.0, row.blocked_until_s - now_s) for row in self.rows if not row.is_leaving),
            default=float("inf"),
        )

    def has_free(self, now_s: float, slow_start_s: float) -> bool:
        """Return whether any upstream has a free slot."""
        return any(row.has_free_slot(now_s, slow_start_s) for row in self.rows)


class UpstreamTable:
    """All upstreams by name, and by service and failure domain.

    Parameters
    ----------
    settings : RouterSettings
        Of the entry.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self.rows_by_name: dict[str, UpstreamRow] = {}
        self.own_pools_by_service: dict[str, UpstreamPool] = {}
        self._other_pools_by_service: dict[str, UpstreamPool] = {}
        self._credits_by_name: dict[str, int] = {}

    def own_pool(self, service: str) -> UpstreamPool | None:
        """Return the upstreams of a service in the entry's own failure domain."""
        return self.own_pools_by_service.get(service)

    def other_pool(self, service: str) -> UpstreamPool | None:
        """Return the upstreams of a service in other failure domains."""
        return self._other_pools_by_service.get(service)

    def pool_of(self, row: UpstreamRow) -> UpstreamPool:
        """Return the pool that a row stands in, an empty one for an upstream that is gone."""
        is_own = row.failure_domain == self._settings.failure_domain
        pool = self.own_pool(row.service) if is_own else self.other_pool(row.service)
        return pool or UpstreamPool()

    def set_listed(self, now_s: float, listed: Iterable[ListedVm]) -> None:
        """Take a list of VMs; upstreams that are no longer listed get nothing new."""
        vms_by_name = {vm.name: vm for vm in listed if vm.role is VmRole.UPSTREAM}
        for name, row in list(self.rows_by_name.items()):
            if name not in vms_by_name:
                row.is_leaving = True
                if row.in_flight == 0:
                    del self.rows_by_name[name]
        for vm in vms_by_name.values():
            self._take(now_s, vm)
        self._make_pools()

    def set_credits(self, credits_by_name: dict[str, int]) -> None:
        """Take the credits that this entry holds; others are none."""
        self._credits_by_name = dict(credits_by_name)
        if self._settings.uses_credits:
            for row in self.rows_by_name.values():
                row.credits = self._credits_by_name.get(row.name, 0)

    def _take(self, now_s: float, vm: ListedVm) -> None:
        row = self.rows_by_name.get(vm.name)
        if row is None:
            is_first_list = not self.own_pools_by_service
            row = self._make_row(vm)
            row.returned_at_s = float("-inf") if is_first_list else now_s
            self.rows_by_name[vm.name] = row
        row.is_leaving = vm.state is VmState.LEAVING

    def _make_row(self, vm: ListedVm) -> UpstreamRow:
        usable = min(vm.slots, vm.connections)
        held = self._credits_by_name.get(vm.name, 0) if self._settings.uses_credits else usable
        return UpstreamRow(
            name=vm.name,
            address=vm.address,
            service=vm.service,
            failure_domain=vm.failure_domain,
            slots=usable,
            credits=held,
        )

    def _make_pools(self) -> None:
        own: dict[str, UpstreamPool] = {}
        other: dict[str, UpstreamPool] = {}
        for row in self.rows_by_name.values():
            is_own = row.failure_domain == self._settings.failure_domain
            pools = own if is_own else other
            pools.setdefault(row.service, UpstreamPool()).rows.append(row)
        self.own_pools_by_service = own
        self._other_pools_by_service = other


def _slowness_of(row: UpstreamRow) -> float:
    return row.slowness
