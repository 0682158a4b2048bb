"""The decision core of a shard: one call for each tick, without input or output."""

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
    """Decides everything about the tasks of one shard.

    Parameters
    ----------
    state : ShardState
        Empty tables.
    recovered : RecoveredState
        What the journal holds.
    now_s : float
        The present time.
    """

    def __init__(self, state: ShardState, recovered: RecoveredState, now_s: float) -> None:
        self._state = state
        self._lifecycle = TaskLifecycle(state)
        self._learning = Learning(state)
        self._ends = AttemptCompletions(state, self._lifecycle, self._learning)
        self._exchanges = Exchanges(state, self._lifecycle, self._ends)
        self._rejoin = RecoveredTasks(state, self._lifecycle, recovered, now_s)
        self._services = StandingServices(state, self._lifecycle, self._rejoin)
        self._adoption = Adoption(
            state, self._lifecycle, self._ends, self._exchanges, self._rejoin, self._services
        )
        self._intake = JobAdmission(state, self._lifecycle)
        self._starter = Starter(state, self._lifecycle, self._learning)
        self._views = Views(state)
        self._handlers_by_type = self._make_handlers()
        if not (state.settings.workers_know_epochs and state.settings.workers_have_inventory):
            state.starts_from_s = recovered.fence_at_s
        self._declare(state.declarations, now_s)

    def _make_handlers(self) -> dict[type, Callable[[Any, float], None]]:
        return {
            SubmitJob: self._intake.submit,
            CancelJob: self._intake.cancel,
            JournalCommitted: self._take_commit,
            WorkerAdopted: self._adoption.adopt,
            WorkerReported: self._exchanges.handle_report,
            WorkerUnreachable: self._exchanges.handle_unreachable,
            VmsListed: self._adoption.take_list,
            DrainVm: self._take_drain,
            DeclarationsChanged: self._take_declarations,
            GrantChanged: self._take_grant,
            OwnershipChanged: self._take_ownership,
        }

    def tick(self, now_s: float, inbox: Sequence[InboxMessage]) -> Outbox:
        """Handle the inbox, decide, and return what is to be done.

        Parameters
        ----------
        now_s : float
            The present time; never less than that of the call before.
        inbox : sequence of InboxMessage
            What happened since then, in order.

        Returns
        -------
        Outbox
        """
        state = self._state
        for message in inbox:
            self._handlers_by_type[type(message)](message, now_s)
        if state.mode is OwnershipMode.LOST:
            return _EMPTY_OUTBOX
        state.due.run_due(now_s)
        if self._rejoin.complete_if_confirmed(now_s):
            self._services.adjust_all(now_s)
        self._adoption.update_closing(now_s)
        self._services.adjust_changed(now_s)
        self._lifecycle.promote_waiting(now_s)
        self._starter.run(now_s)
        self._lifecycle.write_intents(now_s)
        requests = self._exchanges.build_requests(now_s)
        return self._take_outbox(requests)

    def _take_outbox(self, requests: dict[str, Any]) -> Outbox:
        state = self._state
        outbox = Outbox(
            records=state.journal.take_unsent(),
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
        """Return a job as its caller sees it, or None when it is not known here."""
        return self._views.job_status(job_id, now_s)

    def job_version(self, job_id: str) -> int:
        """Return a number that grows with each visible change of a job, 0 if unknown."""
        job = self._state.jobs_by_id.get(job_id)
        return job.version if job else 0

    def explain(self, job_or_task_id: str, now_s: float) -> tuple[str, ...]:
        """Return lines that say why a job or task waits, or where it ran."""
        return self._views.explain(job_or_task_id, now_s)

    def summary(self, now_s: float) -> ShardSummary:
        """Return the shard's summary, of fixed size."""
        return self._views.summary(now_s)

    def reserved_by(self, organisation: str) -> Resources:
        """Return what an organisation's tasks reserve in this shard."""
        used = self._state.shares.find(organisation).used
        return self._state.table.resources(used or ())

    def _take_commit(self, message: JournalCommitted, now_s: float) -> None:
        self._state.journal.commit(message.sequence, now_s)

    def _take_drain(self, message: DrainVm, now_s: float) -> None:
        self._adoption.drain(message)

    def _take_grant(self, message: GrantChanged, now_s: float) -> None:
        self._state.shares.set_grant(message.organisation, message.grant)
        self._starter.blocked_lanes.release_organisation(message.organisation)

    def _take_ownership(self, message: OwnershipChanged, now_s: float) -> None:
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

    def _take_declarations(self, message: DeclarationsChanged, now_s: float) -> None:
        if message.declarations.revision > self._state.declarations.revision:
            self._declare(message.declarations, now_s)

    def _declare(self, declarations: Declarations, now_s: float) -> None:
        state = self._state
        earlier = state.declarations
        state.declarations = declarations
        for organisation in declarations.organisations_by_name.values():
            self._reclassify(organisation, earlier, now_s)
            state.shares.declare(organisation.name, organisation.share, organisation.quota)
            self._starter.blocked_lanes.release_organisation(organisation.name)
        self._services.declare(declarations, now_s)
        self._rejoin.declare(now_s)

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
    """Return the decision core of a new owner.

    Parameters
    ----------
    settings : SchedulerSettings
        Of the shard.
    recovered : RecoveredState
        What the journal holds.
    declarations : Declarations
        The revision in force.
    now_s : float
        The present time.
    """
    state = make_shard_state(settings, declarations, recovered.epoch, recovered.last_sequence)
    return Scheduler(state, recovered, now_s)
