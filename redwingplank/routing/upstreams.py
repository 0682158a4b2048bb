"""Table of the upstreams with their slots in use, learnt speed and health."""

from collections.abc import Iterable

from redwingplank.platform import ListedVm, VmRole, VmState
from redwingplank.routing.pools import UpstreamPool
from redwingplank.routing.settings import RouterSettings
from redwingplank.routing.upstream_rows import UpstreamRow

__all__ = ["UpstreamTable"]


class UpstreamTable:
    """All upstreams by name, and pools of them by service and failure domain.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the entry.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self.rows_by_name: dict[str, UpstreamRow] = {}
        self._empty_pool = UpstreamPool(settings.slow_start_s)
        self.own_pools_by_service: dict[str, UpstreamPool] = {}
        self._other_pools_by_service: dict[str, UpstreamPool] = {}
        self._credits_by_name: dict[str, int] = {}

    def own_pool(self, service: str) -> UpstreamPool | None:
        """Return the upstreams of a service in the entry's own failure domain."""
        return self.own_pools_by_service.get(service)

    def other_pool(self, service: str) -> UpstreamPool | None:
        """Return the upstreams of a service in all other failure domains."""
        return self._other_pools_by_service.get(service)

    def pool_of(self, row: UpstreamRow) -> UpstreamPool:
        """Return the pool of a row, or an empty pool if there is none for its service."""
        is_own = row.failure_domain == self._settings.failure_domain
        pool = self.own_pool(row.service) if is_own else self.other_pool(row.service)
        return pool if pool is not None else self._empty_pool

    def update_from_list(self, now_s: float, listed: Iterable[ListedVm]) -> None:
        """Update the rows from a list of VMs; unlisted upstreams get no new requests."""
        vms_by_name = {vm.name: vm for vm in listed if vm.role is VmRole.UPSTREAM}
        for name, row in list(self.rows_by_name.items()):
            if name not in vms_by_name:
                row.is_leaving = True
                if row.in_flight == 0:
                    del self.rows_by_name[name]
        for vm in vms_by_name.values():
            self._update_row(now_s, vm)
        self._make_pools()
        self._refresh(now_s)

    def set_credits(self, now_s: float, credits_by_name: dict[str, int]) -> None:
        """Replace the credits that this entry holds; upstreams not named have none."""
        self._credits_by_name = dict(credits_by_name)
        if not self._settings.uses_credits:
            return
        for row in self.rows_by_name.values():
            row.credits = self._credits_by_name.get(row.name, 0)
        self._refresh(now_s)

    def acquire_slot(self, row: UpstreamRow) -> None:
        """Count a request of this entry as in flight at an upstream."""
        row.in_flight += 1
        self.pool_of(row).update_row(row)

    def release_slot(self, row: UpstreamRow) -> None:
        """Count a request of this entry as no longer in flight at an upstream."""
        row.in_flight -= 1
        self.pool_of(row).update_row(row)

    def block(self, now_s: float, row: UpstreamRow, for_s: float) -> None:
        """Give an upstream no new requests for some seconds; it then returns by slow start."""
        row.block(now_s + for_s)
        self.pool_of(row).refresh(now_s)

    def _refresh(self, now_s: float) -> None:
        for pools in (self.own_pools_by_service, self._other_pools_by_service):
            for pool in pools.values():
                pool.refresh(now_s)

    def _update_row(self, now_s: float, vm: ListedVm) -> None:
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
            pool = pools.setdefault(row.service, UpstreamPool(self._settings.slow_start_s))
            pool.add(row)
        self.own_pools_by_service = own
        self._other_pools_by_service = other
