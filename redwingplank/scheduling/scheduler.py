"""Scheduling core of a shard: one call for each tick, without any input or output."""

from collections.abc import Callable, Sequence
from typing import Any

from redwingplank.config import Declarations, Organisation
from redwingplank.core import Resources
from redwingplank.scheduling.adoption import Adoption
from redwingplank.scheduling.attempt_completions import AttemptCompletions
from redwingplank.scheduling.exchanges import Exchanges
from redwingplank.scheduling.intake import JobAdmission
from redwingplank.scheduling.learning import Learning
from redwingplank.scheduling.lifecycle import TaskLifecycle, is_other_class
from redwingplank.scheduling.messages import (
    CancelJob,
    DeclarationsChanged,
    DrainVm,
    GrantChanged,
    InboxMessage,
    JobStatus,
    JournalCommitted,
    Outbox,
    OwnershipChanged,
    OwnershipMode,
    RecoveredState,
    SubmitJob,
    VmsListed,
    WorkerAdopted,
    WorkerReported,
    WorkerUnreachable,
)
from redwingplank.scheduling.recovered_tasks import RecoveredTasks
from redwingplank.scheduling.services import StandingServices
from redwingplank.scheduling.settings import SchedulerSettings
from redwingplank.scheduling.starter import Starter
from redwingplank.scheduling.state import ShardState, make_shard_state
from redwingplank.scheduling.summary import ShardSummary
from redwingplank.scheduling.views import Views

__all__ = ["Scheduler", "make_scheduler"]

_EMPTY_OUTBOX = Outbox((), {}, (), ())


class Scheduler:
    """Makes all scheduling decisions of one shard.

    Parameters
    ----------
    state : ShardState
        Empty tables of the shard.
    recovered : RecoveredState
        State that was read from the journal.
    now_s : float
        Current time.
    """

    def __init__(self, state: ShardState, recovered: RecoveredState, now_s: float) -> None:
        self._state = state
        self._lifecycle = TaskLifecycle(state)
        self._learning = Learning(state)
        self._completions = AttemptCompletions(state, self._lifecycle, self._learning)
        self._exchanges = Exchanges(state, self._lifecycle, self._completions)
        self._recovered_tasks = RecoveredTasks(state, self._lifecycle, recovered, now_s)
        self._services = StandingServices(state, self._lifecycle, self._recovered_tasks)
        self._adoption = Adoption(
            state,
            self._lifecycle,
            self._completions,
            self._exchanges,
            self._recovered_tasks,
            self._services,
        )
        self._admission = JobAdmission(state, self._lifecycle)
        self._starter = Starter(state, self._lifecycle, self._learning)
        self._views = Views(state)
        self._handlers_by_type = self._make_handlers()
        if not (state.settings.workers_know_epochs and state.settings.workers_have_inventory):
            state.starts_from_s = recovered.fence_at_s
        self._apply_declarations(state.declarations, now_s)

    def _make_handlers(self) -> dict[type, Callable[[Any, float], None]]:
        return {
            SubmitJob: self._admission.submit,
            CancelJob: self._admission.cancel,
            JournalCommitted: self._handle_commit,
            WorkerAdopted: self._adoption.adopt,
            WorkerReported: self._exchanges.handle_report,
            WorkerUnreachable: self._exchanges.handle_unreachable,
            VmsListed: self._adoption.handle_vm_list,
            DrainVm: self._handle_drain,
            DeclarationsChanged: self._handle_declarations,
            GrantChanged: self._handle_grant,
            OwnershipChanged: self._handle_ownership,
        }

    def tick(self, now_s: float, inbox: Sequence[InboxMessage]) -> Outbox:
        """Handle the messages of the inbox, schedule, and return the requested effects.

        Parameters
        ----------
        now_s : float
            Current time, never lower than in the previous call.
        inbox : sequence of InboxMessage
            Messages since the previous call, in order.

        Returns
        -------
        Outbox
            Effects for the runtime to carry out; empty once ownership is lost.
        """
        state = self._state
        for message in inbox:
            self._handlers_by_type[type(message)](message, now_s)
        if state.mode is OwnershipMode.LOST:
            return _EMPTY_OUTBOX
        state.due.run_due(now_s)
        if self._recovered_tasks.complete_if_confirmed(now_s):
            self._services.adjust_all(now_s)
        self._adoption.update_closing(now_s)
        self._services.adjust_changed(now_s)
        self._lifecycle.promote_waiting(now_s)
        self._starter.run(now_s)
        self._lifecycle.write_intents(now_s)
        requests = self._exchanges.build_requests(now_s)
        return self._make_outbox(requests)

    def _make_outbox(self, requests: dict[str, Any]) -> Outbox:
        state = self._state
        outbox = Outbox(
            records=state.journal.pop_unsent(),
            requests_by_worker=requests,
            messages=tuple(state.messages),
            decisions=tuple(state.decisions),
            inventories_wanted=tuple(state.inventories_wanted),
        )
        state.messages.clear()
        state.decisions.clear()
        state.inventories_wanted.clear()
        return outbox

    def job_status(self, job_id: str, now_s: float) -> JobStatus | None:
        """Return a job's status for its caller.

        None if the job is unknown to this shard, in which case its version is 0, or if its
        acceptance is not durable yet.
        """
        return self._views.job_status(job_id, now_s)

    def job_version(self, job_id: str) -> int:
        """Return a number that grows with each visible change of a job, 0 if it is unknown."""
        job = self._state.jobs_by_id.get(job_id)
        return job.version if job else 0

    def explain(self, job_or_task_id: str, now_s: float) -> tuple[str, ...]:
        """Return lines that say why a job or task waits, or where it ran."""
        return self._views.explain(job_or_task_id, now_s)

    def summary(self, now_s: float) -> ShardSummary:
        """Return the shard's summary, of fixed size."""
        return self._views.summary(now_s)

    def reserved_by(self, organisation: str) -> Resources:
        """Return the resources that an organisation's tasks reserve in this shard."""
        used = self._state.shares.find(organisation).used
        return self._state.table.resources(used or ())

    def _handle_commit(self, message: JournalCommitted, now_s: float) -> None:
        self._state.journal.commit(message.sequence, now_s)

    def _handle_drain(self, message: DrainVm, now_s: float) -> None:
        self._adoption.drain(message)

    def _handle_grant(self, message: GrantChanged, now_s: float) -> None:
        self._state.shares.set_grant(message.organisation, message.grant)
        self._starter.blocked_lanes.release_organisation(message.organisation)

    def _handle_ownership(self, message: OwnershipChanged, now_s: float) -> None:
        state = self._state
        if message.epoch != state.epoch or state.mode is OwnershipMode.LOST:
            return
        if message.mode is not state.mode:
            state.log_decision("ownership", mode=message.mode, epoch=message.epoch)
        state.mode = message.mode
        state.valid_until_s = message.valid_until_s
        if not state.may_start(now_s, is_volatile=True):
            return
        self._starter.blocked_lanes.release_mode()
        held_back, state.held_back = state.held_back, {}
        for worker in held_back.values():
            state.touch(worker)

    def _handle_declarations(self, message: DeclarationsChanged, now_s: float) -> None:
        if message.declarations.revision > self._state.declarations.revision:
            self._apply_declarations(message.declarations, now_s)

    def _apply_declarations(self, declarations: Declarations, now_s: float) -> None:
        state = self._state
        earlier = state.declarations
        state.declarations = declarations
        for organisation in declarations.organisations_by_name.values():
            self._reclassify(organisation, earlier, now_s)
            state.shares.declare(organisation.name, organisation.share, organisation.quota)
            self._starter.blocked_lanes.release_organisation(organisation.name)
        self._services.declare(declarations, now_s)
        self._recovered_tasks.declare(now_s)

    def _reclassify(self, organisation: Organisation, earlier: Declarations, now_s: float) -> None:
        for service in organisation.services_by_name.values():
            old = earlier.find_service(organisation.name, service.name)
            if old is not None and is_other_class(old, service):
                self._lifecycle.reclassify(organisation.name, service, now_s)


def make_scheduler(
    settings: SchedulerSettings,
    recovered: RecoveredState,
    declarations: Declarations,
    now_s: float,
) -> Scheduler:
    """Return the scheduling core of a new owner.

    Parameters
    ----------
    settings : SchedulerSettings
        Settings of the shard.
    recovered : RecoveredState
        State that was read from the journal.
    declarations : Declarations
        The revision in force.
    now_s : float
        Current time.
    """
    state = make_shard_state(settings, declarations, recovered.epoch, recovered.last_sequence)
    return Scheduler(state, recovered, now_s)
