"""Sends requests to workers: concurrently to different workers, in order to each of them."""

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

MAX_RESULT_BYTES = 256_000  # a journal record holds the result


@dataclass(slots=True)
class _WorkerQueue:
    """Requests that wait to be sent to an adopted worker, and the task that sends them."""

    vm: ListedVm
    waiting: deque[WorkerRequest] = field(default_factory=deque)
    task: asyncio.Task | None = None


class WorkerExchanges:
    """Adopts workers and sends requests to them during one epoch of a shard's ownership.

    Parameters
    ----------
    client : WorkerClient
        Calls workers by their address.
    ownership : ShardOwnership
        State of the lease, which is checked again just before a request is sent.
    settings : SchedulerProcessSettings
        Settings of the process.
    epoch : int
        Epoch of this ownership.
    fence_at_s : float
        Monotonic time at which tasks on workers that were never adopted count as stopped.
    clock, unix_clock : Clock
        Monotonic clock and wall clock.
    counters : ProcessCounters
        Counts adoptions and exchanges.
    deliver : callable
        Called with each message for the decision core.
    on_stale : callable
        Called when a worker rejects this epoch because it knows a higher one.
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
        self._queues_by_worker: dict[str, _WorkerQueue] = {}
        self._adoptions_by_worker: dict[str, asyncio.Task] = {}
        self._logger = make_logger("workers")

    def adopt_missing(self, workers: Mapping[str, ListedVm]) -> None:
        """Start to adopt every listed worker that is not adopted yet."""
        for name, vm in workers.items():
            queue = self._queues_by_worker.get(name)
            if queue is not None:
                queue.vm = vm
            else:
                self._begin_adoption(vm, self._adoption_lease_s())

    def request_inventories(self, workers: Iterable[str]) -> None:
        """Request the inventories of adopted workers without renewing task leases."""
        for name in workers:
            queue = self._queues_by_worker.get(name)
            if queue is not None:
                self._begin_adoption(queue.vm, 0.0)

    def queue_requests(self, requests_by_worker: Mapping[str, WorkerRequest]) -> None:
        """Queue one request for each worker; workers that are not adopted count as unreachable."""
        for worker, request in requests_by_worker.items():
            queue = self._queues_by_worker.get(worker)
            if queue is None:
                self._deliver(WorkerUnreachable(worker, is_effect_possible=False))
                continue
            _enqueue(queue.waiting, request)
            if queue.task is None:
                queue.task = asyncio.create_task(self._send_waiting(worker, queue))

    def stop(self) -> list[asyncio.Task]:
        """Discard all queues and return the tasks that the caller has to cancel."""
        tasks = list(self._adoptions_by_worker.values())
        tasks += [queue.task for queue in self._queues_by_worker.values() if queue.task is not None]
        self._queues_by_worker.clear()
        return tasks

    def _begin_adoption(self, vm: ListedVm, lease_s: float) -> None:
        if vm.name not in self._adoptions_by_worker:
            self._adoptions_by_worker[vm.name] = asyncio.create_task(self._adopt(vm, lease_s))

    def _adoption_lease_s(self) -> float:
        """Return the lease, in seconds, that an adoption may grant to tasks of earlier epochs.

        Notes
        -----
        The answer to the adoption may be lost. The tasks then count as stopped at the fence time,
        so no lease may reach beyond it. Where workers return no inventory or do not check epochs,
        the fence time is the only stop confirmation, and no lease is renewed before it.
        """
        if not self._settings.is_adoption_conclusive:
            return 0.0
        remaining_s = self._fence_at_s - self._clock.now_s() - self._settings.worker_timeout_s
        usable_s = remaining_s * (1.0 - self._settings.lease.clock_rate_error)
        return min(self._settings.task_lease_s, max(0.0, usable_s))

    async def _adopt(self, vm: ListedVm, lease_s: float) -> None:
        self._counters.increment("worker.adoptions")
        try:
            async with asyncio.timeout(self._settings.worker_timeout_s):
                inventory = await self._client.adopt(vm.address, self._epoch, lease_s)
        except StaleEpochError as error:
            self._handle_stale_epoch(vm.name, error)
        except (PlatformError, TimeoutError) as error:
            log_event(self._logger, "adoption_failed", worker=vm.name, reason=error)
        else:
            self._queues_by_worker.setdefault(vm.name, _WorkerQueue(vm))
            limited = replace(inventory, ended=_limit_results(inventory.ended))
            self._deliver(WorkerAdopted(vm, limited))
        finally:
            self._adoptions_by_worker.pop(vm.name, None)

    async def _send_waiting(self, worker: str, queue: _WorkerQueue) -> None:
        try:
            while queue.waiting:
                await self._exchange(worker, queue)
        finally:
            queue.task = None

    async def _exchange(self, worker: str, queue: _WorkerQueue) -> None:
        request = self._limit_to_lease(queue.waiting.popleft())
        if request is None:
            self._report_unreachable(worker, queue, is_effect_possible=False)
            return
        self._counters.increment("worker.exchanges")
        try:
            async with asyncio.timeout(self._settings.worker_timeout_s):
                report = await self._client.exchange(queue.vm.address, request)
        except StaleEpochError as error:
            self._handle_stale_epoch(worker, error)
            self._report_unreachable(worker, queue, is_effect_possible=False)
        except UnavailableError:
            self._report_unreachable(worker, queue, is_effect_possible=False)
        except (PlatformError, TimeoutError):
            self._report_unreachable(worker, queue, is_effect_possible=True)
        else:
            limited = (
                replace(report, ended=_limit_results(report.ended)) if report.ended else report
            )
            self._deliver(WorkerReported(limited))

    def _limit_to_lease(self, request: WorkerRequest) -> WorkerRequest | None:
        """Return the request as far as the owner's lease allows it, None if it must not be sent.

        Notes
        -----
        Workers that do not check epochs receive the expiry of the owner's lease as the latest time
        of every start.
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

    def _report_unreachable(
        self, worker: str, queue: _WorkerQueue, is_effect_possible: bool
    ) -> None:
        """Report the worker as unreachable once, for this request and all that wait behind it."""
        queue.waiting.clear()
        self._deliver(WorkerUnreachable(worker, is_effect_possible))

    def _handle_stale_epoch(self, worker: str, error: StaleEpochError) -> None:
        log_event(self._logger, "epoch_refused", worker=worker, epoch=self._epoch, reason=error)
        self._on_stale()


def _limit_results(ended: tuple[TaskCompletion, ...]) -> tuple[TaskCompletion, ...]:
    """Replace completions whose results exceed a journal record by failures with that reason."""
    return tuple(_limit_result(completion) for completion in ended)


def _limit_result(completion: TaskCompletion) -> TaskCompletion:
    size_bytes = len(completion.result)
    if size_bytes <= MAX_RESULT_BYTES:
        return completion
    detail = f"the result of {size_bytes} bytes is over {MAX_RESULT_BYTES}: return a smaller one"
    return replace(completion, reason=TaskCompletionReason.FAILED, result=b"", detail=detail)


def _enqueue(waiting: deque[WorkerRequest], request: WorkerRequest) -> None:
    """Append a request, merging a waiting last request that only renews leases into it."""
    if waiting and not waiting[-1].starts and not waiting[-1].actions:
        last = waiting.pop()
        acknowledged = max(last.acknowledged_sequence, request.acknowledged_sequence)
        request = replace(request, acknowledged_sequence=acknowledged)
    waiting.append(request)
