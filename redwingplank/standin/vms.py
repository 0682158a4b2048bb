"""A stand-in for the platform's list of VMs, which shows changes with a delay."""

from collections import deque

from redwingplank.core import Clock
from redwingplank.platform import ListedVm, VmList, VmListing
from redwingplank.standin.faults import Faults

__all__ = ["LaggingVmList", "MemoryVmList"]


class LaggingVmList:
    """State of the list; every change becomes visible `lag_s` seconds later.

    Parameters
    ----------
    clock : Clock
        Clock that decides which version is visible.
    lag_s : float
        Delay until a change becomes visible, in seconds.
    """

    def __init__(self, clock: Clock, lag_s: float = 0.0) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self._version = 0
        self._visible = VmListing((), 0)
        self._pending: deque[tuple[float, VmListing]] = deque()
        self._vms_by_name: dict[str, ListedVm] = {}

    def put(self, *vms: ListedVm) -> None:
        """Add VMs, or replace those with the same names."""
        for vm in vms:
            self._vms_by_name[vm.name] = vm
        self._publish()

    def remove(self, *names: str) -> None:
        """Remove VMs from the list."""
        for name in names:
            self._vms_by_name.pop(name, None)
        self._publish()

    def read(self, failure_domain: str) -> VmListing:
        """Return the list as it was `lag_s` ago, of one failure domain or of all."""
        now_s = self.clock.now_s()
        while self._pending and self._pending[0][0] + self.lag_s <= now_s:
            self._visible = self._pending.popleft()[1]
        if not failure_domain:
            return self._visible
        vms = tuple(vm for vm in self._visible.vms if vm.failure_domain == failure_domain)
        return VmListing(vms, self._visible.version)

    def _publish(self) -> None:
        self._version += 1
        listing = VmListing(tuple(self._vms_by_name.values()), self._version)
        self._pending.append((self.clock.now_s(), listing))


class MemoryVmList(VmList):
    """Client of a `LaggingVmList`, with its own faults."""

    def __init__(self, state: LaggingVmList, faults: Faults | None = None) -> None:
        self.state = state
        self.faults = faults or Faults()

    async def read(self, failure_domain: str = "") -> VmListing:
        await self.faults.before_effect()
        listing = self.state.read(failure_domain)
        await self.faults.after_effect()
        return listing
