"""Exchanges with workers: in parallel between workers, in order for each of them."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import (
    ListedVm,
    PlatformError,
    StaleEpochError,
    TaskCompletion,
    TaskCompletionReason,
    UnavailableError,
    WorkerClient,
    WorkerRequest,
)
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.scheduling.messages import (
    InboxMessage,
    OwnershipMode,
    WorkerAdopted,
    WorkerReported,
    WorkerUnreachable,
)
from redwingplank.scheduling.ownership import ShardOwnership

__all__ = ["MAX_RESULT_BYTES", "WorkerExchanges"]

MAX_RESULT_BYTES = 256_000


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
    settings : SchedulerProcessSettings
        Of the process.
    epoch : int
        The term's epoch.
    fence_at_s : float
        When tasks on workers that were never adopted count as stopped.
    clock, unix_clock : Clock
        Monotonic time and wall clock.
    counters : ProcessCounters
        Counts exchanges.
    deliver : callable
        Takes messages for the decision core.
    on_stale : callable
        Called when a worker has seen a higher epoch.
    """

    def __init__(
        self,
        client: WorkerClient,
        ownership: ShardOwnership,
        settings: SchedulerProcessSettings,
        epoch: int,
        fence_at_s: float,
        clock: Clock,
        unix_clock: Clock,
        counters: ProcessCounters,
        deliver: Callable[[InboxMessage], None],
        on_stale: Callable[[], None],
    ) -> None:
        self._client = client
        self._ownership = ownership
        self._settings = settings
        self._epoch = epoch
        self._fence_at_s = fence_at_s
        self._clock = clock
        self._unix_clock = unix_clock
        self._counters = counters
        self._deliver = deliver
        self._on_stale = on_stale
        self._links_by_worker: dict[str, _Link] = {}
        self._adoptions_by_worker: dict[str, asyncio.Task] = {}
        self._logger = make_logger("workers")

    def adopt_missing(self, workers: Mapping[str, ListedVm]) -> None:
        """Begin to adopt every listed worker that is not adopted yet."""
        for name, vm in workers.items():
            link = self._links_by_worker.get(name)
            if link is not None:
                link.vm = vm
            else:
                self._begin_adoption(vm, self._adoption_lease_s())

    def request_inventories(self, workers: Iterable[str]) -> None:
        """Ask workers for their inventories; this renews nothing."""
        for name in workers:
            link = self._links_by_worker.get(name)
            if link is not None:
                self._begin_adoption(link.vm, 0.0)

    def queue_requests(self, requests_by_worker: Mapping[str, WorkerRequest]) -> None:
        """Queue one request for each worker."""
        for worker, request in requests_by_worker.items():
            link = self._links_by_worker.get(worker)
            if link is None:
                self._deliver(WorkerUnreachable(worker, is_effect_possible=False))
                continue
            _enqueue(link.waiting, request)
            if link.task is None:
                link.task = asyncio.create_task(self._drain(worker, link))

    def stop(self) -> list[asyncio.Task]:
        """Send nothing more, and return the tasks that are to be cancelled."""
        tasks = list(self._adoptions_by_worker.values())
        tasks += [link.task for link in self._links_by_worker.values() if link.task is not None]
        self._links_by_worker.clear()
        return tasks

    def _begin_adoption(self, vm: ListedVm, lease_s: float) -> None:
        if vm.name not in self._adoptions_by_worker:
            self._adoptions_by_worker[vm.name] = asyncio.create_task(self._adopt(vm, lease_s))

    def _adoption_lease_s(self) -> float:
        """Return the lease that an adoption may give to tasks of earlier epochs.

        Notes
        -----
        Its answer may be lost. The tasks then count as stopped at the fence, so that no lease may
        reach beyond it. Where workers give no inventory or know no epochs, the fence is the only
        proof, and nothing is renewed before it.
        """
        if not self._settings.is_adoption_conclusive:
            return 0.0
        left_s = self._fence_at_s - self._clock.now_s() - self._settings.worker_timeout_s
        usable_s = left_s * (1.0 - self._settings.lease.clock_rate_error)
        return min(self._settings.task_lease_s, max(0.0, usable_s))

    async def _adopt(self, vm: ListedVm, lease_s: float) -> None:
        self._counters.increment("worker.adoptions")
        try:
            async with asyncio.timeout(self._settings.worker_timeout_s):
                inventory = await self._client.adopt(vm.address, self._epoch, lease_s)
        except StaleEpochError as error:
            self._refused(vm.name, error)
        except (PlatformError, TimeoutError) as error:
            log_event(self._logger, "adoption_failed", worker=vm.name, reason=error)
        else:
            self._links_by_worker.setdefault(vm.name, _Link(vm))
            bounded = replace(inventory, ended=_bounded_ends(inventory.ended))
            self._deliver(WorkerAdopted(vm, bounded))
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
        self._counters.increment("worker.exchanges")
        try:
            async with asyncio.timeout(self._settings.worker_timeout_s):
                report = await self._client.exchange(link.vm.address, request)
        except StaleEpochError as error:
            self._refused(worker, error)
            self._failed(worker, link, is_effect_possible=False)
        except UnavailableError:
            self._failed(worker, link, is_effect_possible=False)
        except (PlatformError, TimeoutError):
            self._failed(worker, link, is_effect_possible=True)
        else:
            bounded = replace(report, ended=_bounded_ends(report.ended)) if report.ended else report
            self._deliver(WorkerReported(bounded))

    def _checked(self, request: WorkerRequest) -> WorkerRequest | None:
        """Return what the lease still allows of a request, None for nothing.

        Notes
        -----
        Workers that know no epochs get the end of the owner's lease with every start.
        """
        now_s = self._clock.now_s()
        mode = self._ownership.mode(now_s)
        if mode is OwnershipMode.LOST:
            return None
        if not request.starts:
            return request
        if mode is not OwnershipMode.OWNING:
            return None
        if self._settings.workers_know_epochs:
            return request
        remaining_s = self._ownership.valid_until_s - now_s
        return replace(request, start_before_unix_s=self._unix_clock.now_s() + remaining_s)

    def _failed(self, worker: str, link: _Link, is_effect_possible: bool) -> None:
        """Report one failure for the request and all that wait behind it."""
        link.waiting.clear()
        self._deliver(WorkerUnreachable(worker, is_effect_possible))

    def _refused(self, worker: str, error: StaleEpochError) -> None:
        log_event(self._logger, "epoch_refused", worker=worker, epoch=self._epoch, reason=error)
        self._on_stale()


def _bounded_ends(ended: tuple[TaskCompletion, ...]) -> tuple[TaskCompletion, ...]:
    """Replace ends whose results no journal record can hold by failures that say so."""
    return tuple(_bounded_end(end) for end in ended)


def _bounded_end(end: TaskCompletion) -> TaskCompletion:
    size_bytes = len(end.result)
    if size_bytes <= MAX_RESULT_BYTES:
        return end
    detail = f"the result of {size_bytes} bytes is over {MAX_RESULT_BYTES}: return a smaller one"
    return replace(end, reason=TaskCompletionReason.FAILED, result=b"", detail=detail)


def _enqueue(waiting: deque[WorkerRequest], request: WorkerRequest) -> None:
    """Append a request; one that only renews takes the place of another such one."""
    if waiting and not waiting[-1].starts and not waiting[-1].actions:
        last = waiting.pop()
        acknowledged = max(last.acknowledged_sequence, request.acknowledged_sequence)
        request = replace(request, acknowledged_sequence=acknowledged)
    waiting.append(request)
