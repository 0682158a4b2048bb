"""Reads the platform's list of VMs for all shards of the process."""

import asyncio
from collections.abc import Callable

from redwingplank.core import log_event, make_logger
from redwingplank.platform import ListedVm, PlatformError, VmList, VmRole
from redwingplank.runtime.counters import ProcessCounters

__all__ = ["VmPoller"]


class VmPoller:
    """Polls the list of VMs of one failure domain.

    Parameters
    ----------
    vm_list : VmList
        Client of the platform's list of VMs.
    failure_domain : str
        Failure domain whose VMs are read.
    interval_s : float
        Seconds between two reads.
    counters : ProcessCounters
        Counts the reads.
    on_listed : callable
        Called with all workers of the domain after each successful read.
    """

    def __init__(
        self,
        vm_list: VmList,
        failure_domain: str,
        interval_s: float,
        counters: ProcessCounters,
        on_listed: Callable[[tuple[ListedVm, ...]], None],
    ) -> None:
        self.workers: tuple[ListedVm, ...] | None = None
        self._vm_list = vm_list
        self._failure_domain = failure_domain
        self._interval_s = interval_s
        self._counters = counters
        self._on_listed = on_listed
        self._logger = make_logger("vms")

    async def run(self) -> None:
        """Poll until cancelled; after a failed read the last list stays in use."""
        while True:
            await self._read()
            await asyncio.sleep(self._interval_s)

    async def _read(self) -> None:
        self._counters.increment("vm_list.reads")
        try:
            listing = await self._vm_list.read(self._failure_domain)
        except PlatformError as error:
            log_event(self._logger, "list_read_failed", reason=error)
            return
        self.workers = tuple(vm for vm in listing.vms if vm.role is VmRole.WORKER)
        self._on_listed(self.workers)
