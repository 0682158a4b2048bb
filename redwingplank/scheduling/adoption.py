"""Workers that are adopted, listed, drained or gone, and the join with their inventories."""

from functools import partial

from redwingplank.core import format_value
from redwingplank.platform import (
    ListedVm,
    RunningTask,
    TaskCommandKind,
    TaskCompletion,
    TaskCompletionReason,
    VmState,
    WorkerInventory,
)
from redwingplank.scheduling.attempt_completions import AttemptCompletions
from redwingplank.scheduling.entities import Phase, StopReason, Task, Worker, split_task_id
from redwingplank.scheduling.exchanges import Exchanges
from redwingplank.scheduling.lifecycle import TaskLifecycle
from redwingplank.scheduling.messages import DrainVm, TaskState, VmsListed, WorkerAdopted
from redwingplank.scheduling.recovered_tasks import RecoveredTasks
from redwingplank.scheduling.schedulability import update_open
from redwingplank.scheduling.services import StandingServices
from redwingplank.scheduling.state import ShardState

__all__ = ["Adoption"]


class Adoption:
    """Keeps the table of workers in step with the platform's list and with adoptions.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Changes tasks.
    ends : AttemptEnds
        Handles ends of attempts.
    exchanges : Exchanges
        Knows which workers answer.
    rejoin : Rejoin
        Recovered tasks that wait for proof of stop.
    services : StandingServices
        Standing services, whose tasks move away from a VM that leaves.
    """

    def __init__(
        self,
        state: ShardState,
        lifecycle: TaskLifecycle,
        ends: AttemptCompletions,
        exchanges: Exchanges,
        rejoin: RecoveredTasks,
        services: StandingServices,
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._ends = ends
        self._exchanges = exchanges
        self._rejoin = rejoin
        self._services = services

    def adopt(self, message: WorkerAdopted, now_s: float) -> None:
        """Take a worker's inventory."""
        vm, inventory = message.vm, message.inventory
        if inventory.epoch != self._state.epoch:
            return
        worker = self._state.workers_by_name.get(vm.name)
        if worker is None:
            worker = self._add(vm, inventory)
        elif inventory.incarnation < worker.incarnation:
            return
        elif inventory.incarnation > worker.incarnation:
            self._exchanges.take_restart(worker, inventory.incarnation, now_s)
        self._state.table.resize(worker.row, inventory.capacity)
        self._state.set_capacity(vm.name, inventory.capacity)
        self._state.shares.set_totals()
        self._mark_adopted(worker, vm, inventory, now_s)
        self._join(worker, inventory, now_s)
        self._rejoin.worker_adopted(worker.name)
        update_open(self._state, worker)
        self._state.touch(worker)

    def _add(self, vm: ListedVm, inventory: WorkerInventory) -> Worker:
        row = self._state.table.add(inventory.capacity, vm.rack)
        worker = Worker(vm.name, row, vm.rack, incarnation=inventory.incarnation)
        worker.rack_number = int(self._state.table.rack[row])
        worker.log_name = format_value(vm.name)
        worker.is_draining = vm.name in self._state.draining
        self._state.workers_by_name[vm.name] = worker
        self._state.workers_by_row[row] = worker
        return worker

    def _mark_adopted(
        self, worker: Worker, vm: ListedVm, inventory: WorkerInventory, now_s: float
    ) -> None:
        worker.is_adopted = True
        worker.is_reachable = True
        worker.renewed_at_s = max(worker.renewed_at_s, now_s)
        worker.is_leaving = vm.state is VmState.LEAVING
        worker.reports_leaving = inventory.is_leaving
        if worker.is_closing:
            self._state.closing_changed.append(worker)
        self._state.log_decision(
            "worker_adopted", worker=worker.name, running=len(inventory.running), rack=vm.rack
        )

    def _join(self, worker: Worker, inventory: WorkerInventory, now_s: float) -> None:
        if not self._state.settings.workers_have_inventory:
            return
        was_wanted, worker.is_inventory_wanted = worker.is_inventory_wanted, False
        self._take_ended(worker, inventory.ended, now_s)
        running_by_id = {running.task_id: running for running in inventory.running}
        for running in inventory.running:
            self._join_running(worker, running, now_s)
        if was_wanted and not worker.is_in_flight:
            self._settle_absent(worker, running_by_id, now_s)

    def _take_ended(self, worker: Worker, ended: tuple[TaskCompletion, ...], now_s: float) -> None:
        for end in ended:
            task = self._state.find_task(end.task_id)
            if task is not None and task.worker is None and self._rejoin.is_waiting(task):
                self._take_recovered_end(task, end, now_s)
        self._ends.handle_completions(worker, ended, now_s)

    def _take_recovered_end(self, task: Task, end: TaskCompletion, now_s: float) -> None:
        task.attempt = max(task.attempt, end.attempt)
        is_idempotent = task.job.service.is_idempotent
        if end.reason is TaskCompletionReason.COMPLETED:
            self._rejoin.forget(task)
            self._lifecycle.finish(task, TaskState.SUCCEEDED, now_s, result=end.result)
        elif is_idempotent or not self._rejoin.is_last_intent(task, end.attempt):
            if end.reason is TaskCompletionReason.CHECKPOINTED:
                task.checkpoint = end.detail
        elif end.reason is TaskCompletionReason.REFUSED:
            self._rejoin.clear_intent(task)
        elif end.reason is TaskCompletionReason.FAILED:
            self._rejoin.forget(task)
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=end.detail)
        else:
            self._rejoin.forget(task)
            reason = f"may have run: {end.reason}"
            self._lifecycle.finish(task, TaskState.UNKNOWN, now_s, reason=reason)

    def _join_running(self, worker: Worker, running: RunningTask, now_s: float) -> None:
        task = self._state.find_task(running.task_id)
        if task is None:
            task = self._services.find_or_add(*split_task_id(running.task_id))
        if task is not None and task.worker is worker and task.attempt == running.attempt:
            if task.phase in (Phase.SENT, Phase.UNCONFIRMED):
                self._exchanges.confirm(task, now_s)
            return
        if task is not None and task.worker is None and self._rejoin.is_waiting(task):
            self._attach(task, worker, running, now_s)
            return
        if running.task_id not in worker.unexpected_attempts_by_id:
            amounts = self._state.table.amounts(running.reserved)
            self._state.table.reserve(worker.row, amounts)
            worker.unexpected_attempts_by_id[running.task_id] = amounts
        self._state.log_decision("stray_stopped", worker=worker.name, task=running.task_id)
        self._exchanges.stop_stray(worker, running.task_id, running.attempt)

    def _attach(self, task: Task, worker: Worker, running: RunningTask, now_s: float) -> None:
        self._rejoin.forget(task)
        task.attempt = running.attempt
        task.placed_at_s = now_s - running.started_ago_s
        amounts = self._state.table.amounts(running.reserved)
        self._lifecycle.reserve(task, worker, amounts)
        self._exchanges.confirm(task, now_s)
        self._state.log_decision("task_found", task=task.task_id, worker=worker.name)
        if task.job.is_cancelled:
            self._lifecycle.stop(task, StopReason.CANCELLED, TaskCommandKind.STOP, now_s)

    def _settle_absent(
        self, worker: Worker, running_by_id: dict[str, RunningTask], now_s: float
    ) -> None:
        for task in list(worker.tasks_by_id.values()):
            if task.task_id in running_by_id or task.worker is not worker:
                continue
            if task.phase is Phase.UNCONFIRMED:
                self._exchanges.send_again(task, now_s)
            elif task.phase is Phase.RUNNING:
                self._ends.handle_lost_attempt(task, now_s, "the worker does not run it any more")
        worker.unconfirmed_starts = []
        for task_id in [
            name for name in worker.unexpected_attempts_by_id if name not in running_by_id
        ]:
            self._state.table.release(worker.row, worker.unexpected_attempts_by_id.pop(task_id))
            self._state.freed_rows[worker.row] = None

    def take_list(self, message: VmsListed, now_s: float) -> None:
        """Compare the platform's list with the known workers."""
        state = self._state
        listed_by_name = {vm.name: vm for vm in message.workers}
        self._rejoin.workers_listed(listed_by_name)
        for vm in message.workers:
            worker = state.workers_by_name.get(vm.name)
            if worker is not None:
                self._set_listed(worker, vm)
            elif state.capacity_by_vm.get(vm.name) != vm.capacity:
                state.set_capacity(vm.name, vm.capacity)
        for name in [name for name in state.capacity_by_vm if name not in listed_by_name]:
            self._take_unlisted(name, now_s)

    def _set_listed(self, worker: Worker, vm: ListedVm) -> None:
        is_leaving = vm.state is VmState.LEAVING
        if worker.is_listed and worker.is_leaving == is_leaving:
            return
        worker.is_listed = True
        worker.is_leaving = is_leaving
        self._state.closing_changed.append(worker)

    def _take_unlisted(self, name: str, now_s: float) -> None:
        worker = self._state.workers_by_name.get(name)
        if worker is None:
            self._state.set_capacity(name, None)
        elif worker.is_listed:
            worker.is_listed = False
            worker.unlisted_since_s = now_s
            self._state.closing_changed.append(worker)
            due_s = now_s + self._state.settings.vm_list_lag_s
            self._state.due.call_at(due_s, partial(self._remove_if_gone, worker))

    def _remove_if_gone(self, worker: Worker, now_s: float) -> None:
        lag_s = self._state.settings.vm_list_lag_s
        if worker.is_listed or now_s < worker.unlisted_since_s + lag_s:
            return
        if worker.is_reachable and worker.renewed_at_s > worker.unlisted_since_s:
            self._state.due.call_at(now_s + lag_s, partial(self._remove_if_gone, worker))
            worker.unlisted_since_s = now_s
            return
        self._remove(worker, now_s)

    def _remove(self, worker: Worker, now_s: float) -> None:
        state = self._state
        if state.workers_by_name.get(worker.name) is not worker:
            return
        self._exchanges.lose_tasks(worker, now_s, "the VM is gone from the platform's list")
        worker.is_adopted = worker.is_reachable = False
        state.table.remove(worker.row)
        del state.workers_by_name[worker.name]
        del state.workers_by_row[worker.row]
        state.set_capacity(worker.name, None)
        state.shares.set_totals()
        state.log_decision("worker_gone", worker=worker.name)

    def drain(self, message: DrainVm) -> None:
        """Close a VM to new tasks, or open it again."""
        if message.is_draining:
            self._state.draining.add(message.worker)
        else:
            self._state.draining.discard(message.worker)
        worker = self._state.workers_by_name.get(message.worker)
        if worker is not None and worker.is_draining != message.is_draining:
            worker.is_draining = message.is_draining
            self._state.closing_changed.append(worker)

    def update_closing(self, now_s: float) -> None:
        """Close and open the rows of workers that changed; services move away from closed ones."""
        changed, self._state.closing_changed = self._state.closing_changed, []
        for worker in changed:
            update_open(self._state, worker)
            self._services.move_from(worker, now_s)
            self._state.log_decision(
                "worker_closing", worker=worker.name, closing=worker.is_closing
            )
