"""Exchanges with workers: in parallel between workers, in order for each of them."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import (
    ListedVm,
    PlatformError,
    StaleEpochError,
    UnavailableError,
    WorkerClient,
    WorkerInventory,
    WorkerRequest,
)
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.scheduling.messages import (
    InboxMessage,
    OwnershipMode,
    WorkerAdopted,
    WorkerReported,
    WorkerUnreachable,
)
from redwingplank.scheduling.ownership import ShardOwnership

__all__ = ["WorkerExchanges"]


@dataclass(slots=True)
class _Link:
    vm: ListedVm
    waiting: deque[WorkerRequest] = field(default_factory=deque)
    task: asyncio.Task | None = None


class WorkerExchanges:
    """All exchanges of one term of ownership.

    Parameters
    ----------
    client : WorkerClient
        Reaches workers by address.
    ownership : ShardOwnership
        Checked once more just before a request is sent.
    epoch : int
        The term's epoch.
    clock, unix_clock : Clock
        Monotonic time and wall clock.
    counters : ProcessCounters
        Counts exchanges.
    deliver : callable
        Takes messages for the decision core.
    on_stale : callable
        Called when a worker has seen a higher epoch.
    timeout_s : float
        Bound of one call.
    task_lease_s : float
        Handed over with an adoption.
    complete_inventory : callable
        Fills in an inventory from the journal where workers give none.
    """

    def __init__(
        self,
        client: WorkerClient,
        ownership: ShardOwnership,
        epoch: int,
        clock: Clock,
        unix_clock: Clock,
        counters: ProcessCounters,
        deliver: Callable[[InboxMessage], None],
        on_stale: Callable[[], None],
        timeout_s: float,
        task_lease_s: float,
        complete_inventory: Callable[[WorkerInventory], WorkerInventory],
    ) -> None:
        self._client = client
        self._ownership = ownership
        self._epoch = epoch
        self._clock = clock
        self._unix_clock = unix_clock
        self._counters = counters
        self._deliver = deliver
        self._on_stale = on_stale
        self._timeout_s = timeout_s
        self._task_lease_s = task_lease_s
        self._complete_inventory = complete_inventory
        self._links_by_worker: dict[str, _Link] = {}
        self._adoptions_by_worker: dict[str, asyncio.Task] = {}
        self._logger = make_logger("workers")

    def adopt_missing(self, workers: Mapping[str, ListedVm]) -> None:
        """Begin to adopt every listed worker that is not adopted yet."""
        for name, vm in workers.items():
            link = self._links_by_worker.get(name)
            if link is not None:
                link.vm = vm
            elif name not in self._adoptions_by_worker:
                self._adoptions_by_worker[name] = asyncio.create_task(self._adopt(vm))

    def send(self, requests_by_worker: Mapping[str, WorkerRequest]) -> None:
        """Queue one request for each worker."""
        for worker, request in requests_by_worker.items():
            link = self._links_by_worker.get(worker)
            if link is None:
                self._deliver(WorkerUnreachable(worker, is_effect_possible=False))
                continue
            _enqueue(link.waiting, request)
            if link.task is None:
                link.task = asyncio.create_task(self._drain(worker, link))

    async def stop(self) -> None:
        """Cancel everything that is in flight."""
        tasks = list(self._adoptions_by_worker.values())
        tasks += [link.task for link in self._links_by_worker.values() if link.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _adopt(self, vm: ListedVm) -> None:
        self._counters.add("worker.adoptions")
        try:
            call = self._client.adopt(vm.address, self._epoch, self._task_lease_s)
            inventory = await asyncio.wait_for(call, self._timeout_s)
        except StaleEpochError as error:
            self._refused(vm.name, error)
        except (PlatformError, TimeoutError) as error:
            log_event(self._logger, "adoption_failed", worker=vm.name, reason=error)
        else:
            self._links_by_worker[vm.name] = _Link(vm)
            self._deliver(WorkerAdopted(vm, self._complete_inventory(inventory)))
        finally:
            self._adoptions_by_worker.pop(vm.name, None)

    async def _drain(self, worker: str, link: _Link) -> None:
        try:
            while link.waiting:
                await self._exchange(worker, link)
        finally:
            link.task = None

    async def _exchange(self, worker: str, link: _Link) -> None:
        request = self._checked(link.waiting.popleft())
        if request is None:
            self._failed(worker, link, is_effect_possible=False)
            return
        self._counters.add("worker.exchanges")
        try:
            call = self._client.exchange(link.vm.address, request)
            report = await asyncio.wait_for(call, self._timeout_s)
        except StaleEpochError as error:
            self._refused(worker, error)
            self._failed(worker, link, is_effect_possible=False)
        except UnavailableError:
            self._failed(worker, link, is_effect_possible=False)
        except (PlatformError, TimeoutError):
            self._failed(worker, link, is_effect_possible=True)
        else:
            self._deliver(WorkerReported(report))

    def _checked(self, request: WorkerRequest) -> WorkerRequest | None:
        """Return what the lease still allows of a request, None for nothing.

        Notes
        -----
        The bound on starts goes with the request, for workers that know no epochs.
        """
        now_s = self._clock.now_s()
        mode = self._ownership.mode(now_s)
        if mode is OwnershipMode.LOST:
            return None
        if not request.starts:
            return request
        if mode is not OwnershipMode.OWNING:
            return None
        remaining_s = self._ownership.valid_until_s - now_s
        return replace(request, start_before_unix_s=self._unix_clock.now_s() + remaining_s)

    def _failed(self, worker: str, link: _Link, is_effect_possible: bool) -> None:
        """Report one failure for the request and all that wait behind it."""
        link.waiting.clear()
        self._deliver(WorkerUnreachable(worker, is_effect_possible))

    def _refused(self, worker: str, error: StaleEpochError) -> None:
        log_event(self._logger, "epoch_refused", worker=worker, epoch=self._epoch, reason=error)
        self._on_stale()


def _enqueue(waiting: deque[WorkerRequest], request: WorkerRequest) -> None:
    """Append a request; one that only renews takes the place of another such one."""
    if waiting and not waiting[-1].starts and not waiting[-1].actions:
        last = waiting.pop()
        acknowledged = max(last.acknowledged_sequence, request.acknowledged_sequence)
        request = replace(request, acknowledged_sequence=acknowledged)
    waiting.append(request)
