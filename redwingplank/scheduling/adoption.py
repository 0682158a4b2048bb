"""Adoption, listing, draining and removal of workers, and reconciliation of their inventories."""

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
from redwingplank.scheduling.schedulability import update_schedulability
from redwingplank.scheduling.services import StandingServices
from redwingplank.scheduling.state import ShardState

__all__ = ["Adoption"]


class Adoption:
    """Updates the table of workers from the platform's list of VMs and from adoptions.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    lifecycle : TaskLifecycle
        Applies state transitions of tasks.
    completions : AttemptCompletions
        Handles completions of attempts.
    exchanges : Exchanges
        Exchanges requests and reports with the workers.
    rejoin : RecoveredTasks
        Recovered tasks that wait for a stop confirmation.
    services : StandingServices
        Standing services, whose tasks are replaced when their VM closes to new tasks.
    """

    def __init__(
        self,
        state: ShardState,
        lifecycle: TaskLifecycle,
        completions: AttemptCompletions,
        exchanges: Exchanges,
        rejoin: RecoveredTasks,
        services: StandingServices,
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._completions = completions
        self._exchanges = exchanges
        self._recovered_tasks = rejoin
        self._services = services

    def adopt(self, message: WorkerAdopted, now_s: float) -> None:
        """Add or update an adopted worker and reconcile its tasks with its inventory.

        Inventories of another epoch or of an earlier incarnation are ignored.
        """
        vm, inventory = message.vm, message.inventory
        if inventory.epoch != self._state.epoch:
            return
        worker = self._state.workers_by_name.get(vm.name)
        if worker is None:
            worker = self._add_worker(vm, inventory)
        elif inventory.incarnation < worker.incarnation:
            return
        elif inventory.incarnation > worker.incarnation:
            self._exchanges.handle_restart(worker, inventory.incarnation, now_s)
        self._state.table.resize(worker.row, inventory.capacity)
        self._state.set_capacity(vm.name, inventory.capacity)
        self._state.shares.refresh_totals()
        self._mark_adopted(worker, vm, inventory, now_s)
        self._reconcile_inventory(worker, inventory, now_s)
        self._recovered_tasks.worker_adopted(worker.name)
        update_schedulability(self._state, worker)
        self._state.touch(worker)

    def _add_worker(self, vm: ListedVm, inventory: WorkerInventory) -> Worker:
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

    def _reconcile_inventory(
        self, worker: Worker, inventory: WorkerInventory, now_s: float
    ) -> None:
        if not self._state.settings.workers_have_inventory:
            return
        was_inventory_wanted, worker.is_inventory_wanted = worker.is_inventory_wanted, False
        self._handle_completions(worker, inventory.ended, now_s)
        running_by_id = {running.task_id: running for running in inventory.running}
        for running in inventory.running:
            self._reconcile_attempt(worker, running, now_s)
        if was_inventory_wanted and not worker.is_in_flight:
            self._resolve_absent_attempts(worker, running_by_id, now_s)

    def _handle_completions(
        self, worker: Worker, completions: tuple[TaskCompletion, ...], now_s: float
    ) -> None:
        for completion in completions:
            task = self._state.find_task(completion.task_id)
            if task is not None and task.worker is None and self._recovered_tasks.is_waiting(task):
                self._apply_recovered_completion(task, completion, now_s)
        self._completions.handle_completions(worker, completions, now_s)

    def _apply_recovered_completion(
        self, task: Task, completion: TaskCompletion, now_s: float
    ) -> None:
        task.attempt = max(task.attempt, completion.attempt)
        is_idempotent = task.job.service.is_idempotent
        if completion.reason is TaskCompletionReason.COMPLETED:
            self._recovered_tasks.resolve(task)
            self._lifecycle.finish(task, TaskState.SUCCEEDED, now_s, result=completion.result)
        elif is_idempotent or not self._recovered_tasks.is_last_intent(task, completion.attempt):
            if completion.reason is TaskCompletionReason.CHECKPOINTED:
                task.checkpoint = completion.detail
        elif completion.reason is TaskCompletionReason.REFUSED:
            self._recovered_tasks.clear_intent(task)
        elif completion.reason is TaskCompletionReason.FAILED:
            self._recovered_tasks.resolve(task)
            self._lifecycle.finish(task, TaskState.FAILED, now_s, reason=completion.detail)
        else:
            self._recovered_tasks.resolve(task)
            reason = f"may have run: {completion.reason}"
            self._lifecycle.finish(task, TaskState.UNKNOWN, now_s, reason=reason)

    def _reconcile_attempt(self, worker: Worker, running: RunningTask, now_s: float) -> None:
        task = self._state.find_task(running.task_id)
        if task is None:
            task = self._services.find_or_add(*split_task_id(running.task_id))
        if task is not None and task.worker is worker and task.attempt == running.attempt:
            if task.phase in (Phase.SENT, Phase.UNCONFIRMED):
                self._exchanges.confirm_start(task, now_s)
            return
        if task is not None and task.worker is None and self._recovered_tasks.is_waiting(task):
            self._attach_recovered_task(task, worker, running, now_s)
            return
        if running.task_id not in worker.unexpected_attempts_by_id:
            amounts = self._state.table.amounts(running.reserved)
            self._state.table.reserve(worker.row, amounts)
            worker.unexpected_attempts_by_id[running.task_id] = amounts
        self._state.log_decision("stray_stopped", worker=worker.name, task=running.task_id)
        self._exchanges.stop_unexpected_attempt(worker, running.task_id, running.attempt)

    def _attach_recovered_task(
        self, task: Task, worker: Worker, running: RunningTask, now_s: float
    ) -> None:
        self._recovered_tasks.resolve(task)
        task.attempt = running.attempt
        task.placed_at_s = now_s - running.started_ago_s
        amounts = self._state.table.amounts(running.reserved)
        self._lifecycle.reserve(task, worker, amounts)
        self._exchanges.confirm_start(task, now_s)
        self._state.log_decision("task_found", task=task.task_id, worker=worker.name)
        if task.job.is_cancelled:
            self._lifecycle.stop(task, StopReason.CANCELLED, TaskCommandKind.STOP, now_s)

    def _resolve_absent_attempts(
        self, worker: Worker, running_by_id: dict[str, RunningTask], now_s: float
    ) -> None:
        """Resend unconfirmed starts and handle running tasks as lost that an inventory lacks."""
        for task in list(worker.tasks_by_id.values()):
            if task.task_id in running_by_id or task.worker is not worker:
                continue
            if task.phase is Phase.UNCONFIRMED:
                self._exchanges.resend_start(task, now_s)
            elif task.phase is Phase.RUNNING:
                self._completions.handle_lost_attempt(
                    task, now_s, "the worker does not run it any more"
                )
        worker.unconfirmed_starts = []
        for task_id in [
            name for name in worker.unexpected_attempts_by_id if name not in running_by_id
        ]:
            self._state.table.release(worker.row, worker.unexpected_attempts_by_id.pop(task_id))
            self._state.freed_rows[worker.row] = None

    def handle_vm_list(self, message: VmsListed, now_s: float) -> None:
        """Update the known workers and VM capacities from the platform's list of VMs.

        A worker that is missing from the list for longer than the list may lag is removed,
        unless it has answered in the meantime.
        """
        state = self._state
        listed_by_name = {vm.name: vm for vm in message.workers}
        self._recovered_tasks.workers_listed(listed_by_name)
        for vm in message.workers:
            worker = state.workers_by_name.get(vm.name)
            if worker is not None:
                self._mark_listed(worker, vm)
            elif state.capacity_by_vm.get(vm.name) != vm.capacity:
                state.set_capacity(vm.name, vm.capacity)
        for name in [name for name in state.capacity_by_vm if name not in listed_by_name]:
            self._mark_unlisted(name, now_s)

    def _mark_listed(self, worker: Worker, vm: ListedVm) -> None:
        is_leaving = vm.state is VmState.LEAVING
        if worker.is_listed and worker.is_leaving == is_leaving:
            return
        worker.is_listed = True
        worker.is_leaving = is_leaving
        self._state.closing_changed.append(worker)

    def _mark_unlisted(self, name: str, now_s: float) -> None:
        worker = self._state.workers_by_name.get(name)
        if worker is None:
            self._state.set_capacity(name, None)
        elif worker.is_listed:
            worker.is_listed = False
            worker.unlisted_since_s = now_s
            self._state.closing_changed.append(worker)
            due_s = now_s + self._state.settings.vm_list_lag_s
            self._state.due.call_at(due_s, partial(self._remove_if_still_unlisted, worker))

    def _remove_if_still_unlisted(self, worker: Worker, now_s: float) -> None:
        """Remove an unlisted worker after the list lag; check again if it answered meanwhile."""
        lag_s = self._state.settings.vm_list_lag_s
        if worker.is_listed or now_s < worker.unlisted_since_s + lag_s:
            return
        if worker.is_reachable and worker.renewed_at_s > worker.unlisted_since_s:
            self._state.due.call_at(now_s + lag_s, partial(self._remove_if_still_unlisted, worker))
            worker.unlisted_since_s = now_s
            return
        self._remove(worker, now_s)

    def _remove(self, worker: Worker, now_s: float) -> None:
        state = self._state
        if state.workers_by_name.get(worker.name) is not worker:
            return
        self._exchanges.handle_lost_tasks(worker, now_s, "the VM is gone from the platform's list")
        worker.is_adopted = worker.is_reachable = False
        state.table.remove(worker.row)
        del state.workers_by_name[worker.name]
        del state.workers_by_row[worker.row]
        state.set_capacity(worker.name, None)
        state.shares.refresh_totals()
        state.log_decision("worker_gone", worker=worker.name)

    def drain(self, message: DrainVm) -> None:
        """Start or end draining of a VM; a draining VM receives no new tasks."""
        if message.is_draining:
            self._state.draining.add(message.worker)
        else:
            self._state.draining.discard(message.worker)
        worker = self._state.workers_by_name.get(message.worker)
        if worker is not None and worker.is_draining != message.is_draining:
            worker.is_draining = message.is_draining
            self._state.closing_changed.append(worker)

    def update_closing(self, now_s: float) -> None:
        """Update whether changed workers are schedulable, and replace services on closing ones."""
        changed, self._state.closing_changed = self._state.closing_changed, []
        for worker in changed:
            update_schedulability(self._state, worker)
            self._services.move_from(worker, now_s)
            self._state.log_decision(
                "worker_closing", worker=worker.name, closing=worker.is_closing
            )
