"""Runs the decisions of one term of ownership: reads, orders, looks and writes."""

import asyncio
from typing import Any

import msgspec

from redwingplank.batch.commands import AskAdvice, Commands
from redwingplank.batch.model import CellConfig, JobState, WorkerEntry
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.records import decode_submission
from redwingplank.batch.settings import BatchSettings
from redwingplank.cell.advisers import Advisers
from redwingplank.cell.clocks import now_s, now_unix_s
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.follower import PrefixFollower
from redwingplank.cell.keys import (
    CANCELS_PREFIX,
    INTAKE_PREFIX,
    JOBS_PREFIX,
    LEARNED_KEY,
    PROGRESS_PREFIX,
)
from redwingplank.cell.looks import WorkerPoller
from redwingplank.cell.membership import Membership, Ownership
from redwingplank.cell.orders import Orders
from redwingplank.cell.record_writer import RecordWriter
from redwingplank.cell.tasks import TaskSet
from redwingplank.platform.site.store import Item
from redwingplank.platform.site.workers import (
    WORKER_ENTRIES_PREFIX,
    decode_worker,
)
from redwingplank.rpc.cell_calls import CancelAnswer

__all__ = ["OwnerRuntime"]

LONGEST_LEASE_S = 6.5
"""Leases bridge a cut of five seconds; longer ones free lost tasks later."""
INTAKE_WAIT_S = 1.5
"""A watch may miss changes unnoticed: new jobs wait at most this much longer."""
WORKER_POLL_S = 0.6
"""Well below the 2 s in which starts on a leaving worker have to cease."""
READ_TIMEOUT_S = 1.5
"""A page of 1 MB from a slow store takes under a second."""
TICK_S = 0.1
"""Longest time between two passes without news."""
LONGEST_PAUSE_S = 0.05
"""Between passes; a process that was frozen in one must not wait as long again."""
FORGET_PERIOD_S = 10.0
"""Ended jobs are kept for minutes: a few seconds more do not matter."""
CANCEL_WAIT_S = 1.5
"""A cancellation that is not stored by then is written by the caller's node."""


class OwnerRuntime:
    """One term.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    membership : Membership
        Tells how recent the ownership is, and which nodes live.
    ownership : Ownership
        The term.
    config : CellConfig
        The configuration in force.
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
        self.owner = JobOwner(self._settings, ownership.epoch, config, self._decide)
        self._term = ownership.epoch
        self._writer = RecordWriter(
            context, ownership, self.owner, self._wake, membership.give_up_ownership
        )
        self._orders = Orders(context, membership, self.owner, self._wake)
        self._looks = WorkerPoller(context, self.owner, self._orders, self._tasks, self._wake)
        self._advisers = Advisers(context, membership, self._advice_ended)
        self._intake = PrefixFollower(
            context, INTAKE_PREFIX, INTAKE_WAIT_S, self._load, self._take_intake
        )
        self._progress_by_id: dict[str, bytes] = {}
        self._wakeup = asyncio.Event()
        self._stored = asyncio.Event()
        self.is_loaded = False

    def start(self) -> None:
        """Read what the store holds, then decide."""
        self._tasks.start(self._run())

    async def stop(self) -> None:
        """Stop ordering at once."""
        self._orders.stop_sending()
        await self._tasks.stop()

    async def _run(self) -> None:
        await self._read_everything()
        self.is_loaded = True
        self._context.log(
            "owner_loaded",
            term=self._term,
            jobs=len(self.owner.state.jobs_by_id),
            workers=len(self.owner.state.workers_by_id),
            unproven=len(self.owner.state.unconfirmed_hosts),
            workers_known=self.owner.state.speeds.workers_known,
        )
        self._tasks.start(self._intake.run())
        self._tasks.start(self._writer.run())
        self._tasks.start(self._poll_workers())
        self._tasks.start(self._forget())
        await self._tick_for_ever()

    async def _read_everything(self) -> None:
        store = self._context.store
        while True:
            try:
                progress, learned = await asyncio.gather(
                    store.read_range(PROGRESS_PREFIX, READ_TIMEOUT_S),
                    store.get(LEARNED_KEY, READ_TIMEOUT_S),
                )
                self._take_learned(learned)
                self._progress_by_id = {
                    item.key.removeprefix(PROGRESS_PREFIX): item.value or b""
                    for item in progress.items
                }
                await self._intake.read()
                await self._read_workers()
                return
            except STORE_ERRORS as error:
                self._context.health.record_failure(error)
                await asyncio.sleep(0.1)

    # What the store holds.

    def _take_learned(self, item: Item | None) -> None:
        if item is None or item.value is None:
            return
        try:
            self.owner.state.speeds.restore(item.value)
        except msgspec.MsgspecError as error:
            self._context.log("learned_unreadable", error=error)

    def _load(self, items: tuple[Item, ...]) -> None:
        now, unix = now_s(), now_unix_s()
        for item in items:
            if not item.key.startswith(JOBS_PREFIX) or item.value is None:
                continue
            job_id = item.key.removeprefix(JOBS_PREFIX)
            if job_id in self.owner.state.jobs_by_id:
                continue
            try:
                spec = decode_submission(item.value)
                progress = self._progress_by_id.get(job_id)
                self.owner.restore_job(spec, progress, now, unix)
            except (msgspec.MsgspecError, ValueError) as error:
                self._context.log("job_unreadable", job=job_id, error=error)
        self._take_cancels(items)
        self._wake()

    def _take_intake(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if not item.key.startswith(JOBS_PREFIX) or item.value is None:
                continue
            try:
                self.owner.submit(decode_submission(item.value), now_s(), now_unix_s())
            except msgspec.MsgspecError as error:
                self._context.log("job_unreadable", key=item.key, error=error)
        self._take_cancels(items)
        self._wake()

    def _take_cancels(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key.startswith(CANCELS_PREFIX) and item.value is not None:
                self.owner.cancel(item.key.removeprefix(CANCELS_PREFIX), now_s())

    async def _poll_workers(self) -> None:
        while True:
            await asyncio.sleep(WORKER_POLL_S)
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
            self._looks.start_polling(self.owner.state.workers_by_id[entry.worker_id])
        self._wake()

    async def _forget(self) -> None:
        while True:
            await asyncio.sleep(FORGET_PERIOD_S)
            self._measure()
            gone = self.owner.forget_ended(now_s())
            if gone:
                await self._writer.remove(gone)

    def _measure(self) -> None:
        metrics, state = self._context.metrics, self.owner.state
        metrics.jobs.set(len(state.jobs_by_id))
        metrics.open_steps.set(len(state.open_steps))
        metrics.workers.set(
            sum(not worker.is_unreachable for worker in state.workers_by_id.values())
        )
        metrics.log_lines_lost.set(self._context.events.dropped)

    # Decisions.

    def set_config(self, config: CellConfig) -> None:
        """Take a newer configuration."""
        self.owner.set_config(config)
        self._wake()

    def _decide(self, event: str, **fields: Any) -> None:
        self._context.log(event, term=self._term, **fields)

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
            if self.owner.state.dirty_jobs:
                self._writer.wake()
            self._carry_out(commands)
            # At most half of the time goes to passes, whatever their number of workers and steps.
            took_s = now_s() - started_s
            self._context.metrics.passes.observe(took_s)
            await asyncio.sleep(min(took_s, LONGEST_PAUSE_S))

    def _carry_out(self, commands: Commands) -> None:
        for run in commands.starts:
            self._tasks.start(self._orders.start(run))
        for run in commands.stops:
            self._tasks.start(self._orders.stop(run))
        for pace in commands.paces:
            self._tasks.start(self._orders.pace(pace))
        for worker in commands.polls:
            self._looks.poll_now(worker)
        for call in commands.advice:
            self._tasks.start(self._advisers.ask(call))

    def _advice_ended(self, call: AskAdvice, tickets: dict[str, str] | None) -> None:
        self.owner.advice_ended(call, tickets, now_s())
        self._wake()

    # Callers.

    def job_state(self, job_id: str) -> JobState | None:
        """Return what a caller may be told, None for a job that is not known."""
        return self.owner.job_state(job_id)

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue wait for their first start."""
        return self.owner.pending_count(queue)

    async def cancel(self, job_id: str) -> CancelAnswer:
        """Cancel a job; the answer tells whether that is stored."""
        job = self.owner.state.jobs_by_id.get(job_id)
        if job is None:
            return CancelAnswer(is_known=False, is_stored=False)
        version = self.owner.cancel(job_id, now_s())
        if version is None:
            return CancelAnswer(is_known=True, is_stored=True)
        self._wake()
        deadline_s = now_s() + CANCEL_WAIT_S
        while job.stored_version < version and now_s() < deadline_s:
            self._stored.clear()
            try:
                async with asyncio.timeout(deadline_s - now_s()):
                    await self._stored.wait()
            except TimeoutError:
                break
        return CancelAnswer(is_known=True, is_stored=job.stored_version >= version)


def _make_settings(context: NodeContext) -> BatchSettings:
    site = context.settings
    return BatchSettings(
        lease_s=min(LONGEST_LEASE_S, site.lease_limit_s),
        lease_limit_s=site.lease_limit_s,
        remote_factor=site.remote_factor,
        state_kept_s=site.state_kept_s + 30.0,
    )
