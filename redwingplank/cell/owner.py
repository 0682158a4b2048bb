"""Runtime of the owner of a cell's jobs for one epoch.

Reads the stored jobs, runs the decisions of `JobOwner`, and carries out the resulting commands,
polls and writes.
"""

import asyncio
from typing import Any

from redwingplank.batch.commands import AskAdvice, Commands
from redwingplank.batch.entities import Job
from redwingplank.batch.fencing import first_token
from redwingplank.batch.model import CellConfig, JobState, WorkerEntry
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.settings import BatchSettings
from redwingplank.cell.advisers import Advisers
from redwingplank.cell.authentication import is_visible
from redwingplank.cell.clocks import now_s, now_unix_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.job_intake import JobIntake
from redwingplank.cell.keys import LEARNED_KEY, LEASES_KEY, PROGRESS_PREFIX
from redwingplank.cell.lease_bound import are_leases_bounded
from redwingplank.cell.membership import Membership
from redwingplank.cell.record_writer import RecordWriter
from redwingplank.cell.system_entries import Ownership
from redwingplank.cell.tasks import TaskSet
from redwingplank.cell.worker_commands import WorkerCommands
from redwingplank.cell.worker_poller import WorkerPoller
from redwingplank.core import UndecodableError
from redwingplank.platform.site.store import Item
from redwingplank.platform.site.workers import (
    WORKER_ENTRIES_PREFIX,
    decode_worker,
)
from redwingplank.rpc.cell_calls import CancelAnswer

__all__ = ["OwnerRuntime"]

MAX_LEASE_S = 6.5
"""Upper bound of a worker's lease: long enough for runs to survive a network cut of 5 s. Longer
leases would delay the restart of tasks on lost workers."""
WORKER_LIST_PERIOD_S = 0.6
"""Period of reading the list of workers: well below the 2 s within which starts on a draining
worker have to stop."""
READ_TIMEOUT_S = 1.5
"""A page of 1 MB from a slow store takes less than 1 s."""
TICK_S = 0.1
"""Longest wait for an event between two ticks."""
MIN_PAUSE_S = 0.005
"""Shortest pause after a tick: changes that arrive within it, such as answers to starts, are taken
up by one pass. A start waits for up to three ticks, so that it adds some 0.01 s at most."""
MAX_PAUSE_S = 0.05
"""Upper bound of the pause after a tick, so that a process that was suspended during a tick does
not pause for as long again."""
REMOVAL_PERIOD_S = 10.0
"""Period of removing ended jobs and old cancellations. They are kept for a minute and more, so a
few seconds do not matter."""
CANCEL_WAIT_S = 1.5
"""Longest wait for a cancellation to be stored; after it the node that serves the caller writes
the cancellation itself."""
JOB_EVENTS = frozenset({"cancel_at_owner", "job_ended", "job_restored", "job_started", "job_taken"})
"""Events that an owner logs once for a job or a request, with the view on which it acted."""


class OwnerRuntime:
    """Owns the cell's jobs during one epoch.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the time of the last proof of the ownership and the live nodes; gives it up.
    ownership : Ownership
        Epoch that this node has won, with the revisions that its writes depend on.
    config : CellConfig
        Configuration in force when the ownership was won.
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        ownership: Ownership,
        config: CellConfig,
    ) -> None:
        self._context = context
        self._membership = membership
        self._tasks = TaskSet(context)
        self._settings = _make_settings(context)
        self.owner = JobOwner(
            self._settings, first_token(ownership.epoch), config, self._log_decision
        )
        self._ownership = ownership
        self._epoch = ownership.epoch
        self._writer = RecordWriter(
            context,
            ownership,
            self.owner,
            self._wake,
            membership.give_up_ownership,
            membership.record_proof,
        )
        self._orders = WorkerCommands(context, membership, self.owner, self._wake)
        self._poller = WorkerPoller(context, self.owner, self._orders, self._tasks, self._wake)
        self._advisers = Advisers(context, membership, self._handle_advice)
        self._intake = JobIntake(context, self.owner, self._wake)
        self._wakeup = asyncio.Event()
        self._stored = asyncio.Event()
        self.is_loaded = False
        self._is_stopped = False

    def start(self) -> None:
        """Start in the background: read the stored jobs, then tick until stopped."""
        self._tasks.start_loop(self._run)

    async def stop(self) -> None:
        """Stop sending commands at once, end all waits, and cancel all background tasks."""
        self._is_stopped = True
        self._wake()
        self._orders.stop_sending()
        await self._tasks.stop()

    async def _run(self) -> None:
        if not self.is_loaded:
            await self._read_stored_state()
            self.is_loaded = True
            self._log_loaded()
            self._tasks.start_loop(self._intake.run)
            self._tasks.start_loop(self._writer.run)
            self._tasks.start_loop(self._follow_worker_list)
            self._tasks.start_loop(self._remove_ended_jobs)
            self._tasks.start(self._record_lease_bound())
        await self._tick_for_ever()

    def _log_loaded(self) -> None:
        self._context.log(
            "owner_loaded",
            term=self._epoch,
            jobs=len(self.owner.state.jobs_by_id),
            workers=len(self.owner.state.workers_by_id),
            unproven=len(self.owner.state.unconfirmed_hosts),
            workers_known=self.owner.state.speeds.workers_known,
            are_leases_bounded=self.owner.state.are_leases_bounded,
        )
        self.owner.log_unlisted_hosts(now_s())

    async def _read_stored_state(self) -> None:
        store = self._context.store
        while True:
            try:
                progress, learned, leases = await asyncio.gather(
                    store.read_range(PROGRESS_PREFIX, READ_TIMEOUT_S),
                    store.get(LEARNED_KEY, READ_TIMEOUT_S),
                    store.get(LEASES_KEY, READ_TIMEOUT_S),
                )
                if are_leases_bounded(leases, self._ownership):
                    self.owner.rely_on_bounded_leases()
                self._restore_learned_speeds(learned)
                progress_by_id = {
                    item.key.removeprefix(PROGRESS_PREFIX): item.value or b""
                    for item in progress.items
                }
                await self._intake.load(progress_by_id)
                await self._read_workers()
                return
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
                await asyncio.sleep(0.1)

    async def _record_lease_bound(self) -> None:
        """Tell the next owners, once it is so, that no lease without a bound lasts any more."""
        if self.owner.state.are_leases_bounded:
            return
        await asyncio.sleep(self._settings.unbounded_wait_s)
        await self._writer.record_lease_bound()

    # Stored state: workers and learned speeds.

    def _restore_learned_speeds(self, item: Item | None) -> None:
        if item is None or item.value is None:
            return
        try:
            self.owner.state.speeds.restore(item.value)
        except UndecodableError as error:
            self._context.log("learned_unreadable", error=error)

    async def _follow_worker_list(self) -> None:
        while True:
            await asyncio.sleep(WORKER_LIST_PERIOD_S)
            try:
                await self._read_workers()
                self._context.health.record_success()
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)

    async def _read_workers(self) -> None:
        page = await self._context.store.read_range(WORKER_ENTRIES_PREFIX, READ_TIMEOUT_S)
        entries: list[WorkerEntry] = []
        for item in page.items:
            entry = decode_worker(item.key, item.value or b"")
            if entry is not None:
                entries.append(entry)
        self.owner.list_workers(entries, now_s())
        for entry in entries:
            self._poller.start_polling(self.owner.state.workers_by_id[entry.worker_id])
        self._wake()

    async def _remove_ended_jobs(self) -> None:
        while True:
            await asyncio.sleep(REMOVAL_PERIOD_S)
            self._update_gauges()
            removable_ids = self.owner.find_removable_jobs(now_s())
            await self._writer.remove(self._intake.revisions_of(removable_ids))
            await self._writer.remove_cancellations(self._intake.old_cancellations(now_s()))

    def _update_gauges(self) -> None:
        metrics, state = self._context.metrics, self.owner.state
        metrics.jobs.set(len(state.jobs_by_id))
        metrics.open_steps.set(len(state.open_steps))
        metrics.interfering_pairs.set(state.interference.pair_count)
        metrics.workers.set(
            sum(not worker.is_unreachable for worker in state.workers_by_id.values())
        )
        metrics.organisations.update(
            state.organisations.usages(),
            self.owner.waiting_by_organisation(),
            state.organisations.shares(),
        )
        metrics.log_lines_lost.set(self._context.events.dropped)

    # Ticks: decisions and the commands that follow from them.

    def set_config(self, config: CellConfig) -> None:
        """Apply a newer configuration."""
        self.owner.set_config(config, now_s())
        self._wake()

    def _log_decision(self, event: str, **fields: Any) -> None:
        if event not in JOB_EVENTS:
            self._context.log(event, term=self._epoch, **fields)
            return
        view = self._intake.view(now_s())
        self._context.log_job(
            event, term=self._epoch, view=view.revision, view_age_s=view.age_s, **fields
        )

    def _wake(self) -> None:
        self._wakeup.set()
        self._stored.set()

    async def _tick_for_ever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()
            started_s = now_s()
            commands = self.owner.tick(started_s, now_unix_s())
            if self.owner.state.are_tokens_used_up:
                self._membership.give_up_ownership("tokens_used_up")
                return
            if self.owner.state.dirty_jobs:
                self._writer.wake()
            self._execute(commands)
            # Pausing for as long as the tick took leaves at least half of the time to other work,
            # however many workers and steps there are, up to the bound of the pause.
            took_s = now_s() - started_s
            self._context.metrics.passes.observe(took_s)
            await asyncio.sleep(min(max(took_s, MIN_PAUSE_S), MAX_PAUSE_S))

    def _execute(self, commands: Commands) -> None:
        for run in commands.starts:
            self._tasks.start(self._orders.start(run))
        for run in commands.stops:
            self._tasks.start(self._orders.stop(run))
        for pace in commands.paces:
            self._tasks.start(self._orders.pace(pace))
        for worker in commands.polls:
            self._poller.poll_now(worker)
        for call in commands.advice:
            self._tasks.start(self._advisers.ask(call))

    def _handle_advice(self, call: AskAdvice, tickets: dict[str, str] | None) -> None:
        self.owner.handle_advice(call, tickets, now_s())
        self._wake()

    # Requests of callers.

    def job_state(self, job_id: str, visible_to: str | None = None) -> JobState | None:
        """Return the state of a job for its caller, None if the job is not known or not visible.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        visible_to : str or None
            Organisation whose jobs are visible to the caller, None if all jobs are.
        """
        if not self._is_visible(job_id, visible_to):
            return None
        return self.owner.job_state(job_id)

    def _is_visible(self, job_id: str, visible_to: str | None) -> bool:
        job = self.owner.state.jobs_by_id.get(job_id)
        return job is not None and is_visible(job.spec.organisation, visible_to)

    def pending(self, queue: str) -> int:
        """Return the number of jobs of a queue that wait for their first start."""
        return self.owner.pending_count(queue)

    async def cancel(self, job_id: str, visible_to: str | None = None) -> CancelAnswer:
        """Cancel a job, and wait at most `CANCEL_WAIT_S` until its final state is stored.

        The wait ends with the ownership, as the store takes no record of this owner after that.
        A job that is not visible to the caller, as in `job_state`, is answered as unknown.
        """
        started_s = now_s()
        job = self.owner.state.jobs_by_id.get(job_id)
        if job is None or not is_visible(job.spec.organisation, visible_to):
            return CancelAnswer(is_known=False, is_stored=False, term=self._epoch)
        version = self.owner.cancel(job_id, started_s)
        assert version is not None
        is_stored = await self._wait_until_stored(job, version)
        self._log_decision(
            "cancel_at_owner",
            job=job_id,
            state=job.state,
            is_stored=is_stored,
            version=version,
            stored_version=job.stored_version,
            waited_s=now_s() - started_s,
        )
        return CancelAnswer(True, is_stored, self._epoch, job.state)

    async def _wait_until_stored(self, job: Job, version: int) -> bool:
        """Wait at most `CANCEL_WAIT_S` until a version of a job is stored; return whether it is."""
        self._wake()
        deadline_s = now_s() + CANCEL_WAIT_S
        while job.stored_version < version and not self._is_stopped and now_s() < deadline_s:
            self._stored.clear()
            try:
                async with asyncio.timeout(deadline_s - now_s()):
                    await self._stored.wait()
            except TimeoutError:
                break
        return job.stored_version >= version


def _make_settings(context: NodeContext) -> BatchSettings:
    site = context.settings
    return BatchSettings(
        lease_s=min(MAX_LEASE_S, site.lease_limit_s),
        lease_limit_s=site.lease_limit_s,
        remote_factor=site.remote_factor,
        state_kept_s=site.state_kept_s + 30.0,
        record_bytes=site.value_bytes,
    )
