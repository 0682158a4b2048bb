"""Cost of the journal, of its replay and of the takeover of a shard.

The takeover benchmark runs the whole scheduler process against stand-ins in virtual time. Virtual
seconds pass only for leases, timers and retries; processor time is reported separately.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from redwingplank.config import (
    DeadlineClass,
    Declarations,
    Organisation,
    Service,
    WorkloadKind,
)
from redwingplank.core import make_resources
from redwingplank.platform import KeyValue, ListedVm, VmRole
from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError
from redwingplank.runtime.scheduler import SchedulerProcess, make_scheduler_process
from redwingplank.runtime.scheduler_core import SchedulerCore
from redwingplank.runtime.settings import SchedulerProcessSettings
from redwingplank.runtime.shard_runner import ShardRunner
from redwingplank.scheduling import SchedulerSettings, make_scheduler
from redwingplank.scheduling.journal import JournalBuffer
from redwingplank.scheduling.journal_codec import encode_entry
from redwingplank.scheduling.journal_state import JournalState
from redwingplank.scheduling.journal_values import JournalPosition, JournalSettings
from redwingplank.scheduling.messages import (
    JobAccepted,
    JobFinished,
    JobSpec,
    JobState,
    JournalRecord,
    RecoveredState,
    SubmitOutcome,
    TaskFinished,
    TaskState,
)
from redwingplank.scheduling.recovery import replay_journal
from redwingplank.standin.history import History
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.virtual_time import VirtualClock, run_virtual
from redwingplank.standin.vms import LaggingVmList, MemoryVmList
from redwingplank.standin.workers import MemoryWorkerClient, StandinWorker

__all__ = ["JournalEncode", "JournalTraffic", "Replay", "Takeover"]

DOMAIN = "d1"
PREFIX = f"shards/{DOMAIN}/journal/"
WORKERS = 460
RUNNING_TASKS = 3_750
TASKS_PER_JOB = 25
NEED = make_resources(1000, 1024)
CAPACITY = make_resources(64_000, 131_072)
STARTS_PER_S = 247
LOAD_S = 20
JOURNAL_TASKS_PER_JOB = 13


class JournalEncode:
    """Time to encode the final record of a task for the store."""

    params = [10, 200, 2_000]
    param_names = ["result_bytes"]

    def setup(self, result_bytes: int) -> None:
        """Create the record to encode."""
        result = b"r" * result_bytes
        self.entry = TaskFinished(f"{DOMAIN}.0f3c/12", TaskState.SUCCEEDED, result)

    def time_encode(self, result_bytes: int) -> None:
        """Encode one record."""
        encode_entry(self.entry)


class Replay:
    """Time to replay a journal of finished jobs."""

    params = [100, 1_000, 4_000]
    param_names = ["jobs"]

    def setup(self, jobs: int) -> None:
        """Write the journal entries to replay."""
        self.entries = _write_journal(jobs)

    def time_replay(self, jobs: int) -> None:
        """Replay the journal."""
        replay_journal(self.entries, PREFIX)


class JournalTraffic:
    """Store calls and bytes of one shard at its part of the peak, 247 starts per second."""

    def setup(self) -> None:
        """Run the load once and keep its figures."""
        self.figures = run_virtual(_measure_traffic())

    def track_figures(self) -> dict[str, float]:
        """Return the rates of store calls and journal bytes under the load."""
        return self.figures

    track_figures.unit = "count"  # type: ignore[attr-defined]


class Takeover:
    """Seconds from the crash of an owner of 3,750 running tasks to the first urgent start."""

    params = [0, 1, 2]
    param_names = ["seed"]

    def setup(self, seed: int) -> None:
        """Run the takeover once and keep its figures."""
        self.figures = run_virtual(_measure_takeover(seed))

    def track_takeover(self, seed: int) -> dict[str, float]:
        """Return virtual time, processor time, their sum, and the doubled or lost tasks."""
        return self.figures

    track_takeover.unit = "s"  # type: ignore[attr-defined]


def _write_journal(jobs: int) -> list[KeyValue]:
    buffer = JournalBuffer(PREFIX, "n", JournalState(), JournalPosition(), JournalSettings())
    sequence = 0
    for index in range(jobs):
        job_id = f"{DOMAIN}.{index}"
        spec = JobSpec(job_id, "bureau", "extract", JOURNAL_TASKS_PER_JOB, payload=b"p" * 100)
        entries: list[Any] = [JobAccepted(spec)]
        entries.extend(
            TaskFinished(f"{job_id}/{task}", TaskState.SUCCEEDED, b"r" * 50)
            for task in range(JOURNAL_TASKS_PER_JOB)
        )
        entries.append(JobFinished(job_id, JobState.SUCCEEDED))
        buffer.add_records(
            [JournalRecord(sequence + number, entry) for number, entry in enumerate(entries, 1)]
        )
        sequence += len(entries)
    written = []
    while buffer.has_waiting:
        flush = buffer.cut_flush(0.0, 0.0)
        written.append(KeyValue(flush.key, flush.value, 1, 1))
        buffer.committed(flush)
    return written


class _Shard:
    """The stand-ins of one failure domain, for scheduler processes that compete for its shard."""

    def __init__(self, seed: int) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.history = History()
        self.vm_list = LaggingVmList(self.clock)
        self.workers: dict[str, StandinWorker] = {}
        self.seed = seed
        for index in range(WORKERS):
            address = f"w{index}:1"
            self.workers[address] = StandinWorker(f"w{index}", CAPACITY, self.clock, self.history)
            row = ListedVm(f"w{index}", VmRole.WORKER, DOMAIN, f"r{index // 8}", address)
            self.vm_list.put(row)

    def add_candidate(self, name: str) -> SchedulerProcess:
        """Start one more scheduler process that can own the shard."""
        process = make_scheduler_process(
            SchedulerProcessSettings(f"{name}:1", DOMAIN, seed=self.seed),
            MemoryStoreClient(self.store),
            MemoryVmList(self.vm_list),
            MemoryWorkerClient(self.workers),
            self.clock,
            self.clock,
            _make_core,
            _make_declarations(),
        )
        process.start()
        return process

    def starts(self, prefix: str) -> int:
        """Return the number of started attempts of jobs whose id begins with a prefix."""
        return sum(
            event.kind == "task_started" and event.subject.startswith(prefix)
            for event in self.history.events
        )


def _make_core(
    settings: SchedulerProcessSettings,
    shard: str,
    recovered: RecoveredState,
    declarations: Declarations,
    now_s: float,
) -> SchedulerCore:
    core_settings = SchedulerSettings(shard, seed=settings.seed, task_lease_s=settings.task_lease_s)
    return make_scheduler(core_settings, recovered, declarations, now_s)


def _make_declarations() -> Declarations:
    kind = WorkloadKind.BATCH
    extract = Service("extract", "batch", kind, resources=NEED, run_time_s=600.0)
    urgent = Service("urgent", "urgent", kind, resources=NEED, deadline_class=DeadlineClass.URGENT)
    services = {"extract": extract, "urgent": urgent}
    return Declarations(1, {"bureau": Organisation("bureau", services_by_name=services)})


def _make_spec(name: str, service: str, task_count: int, run_s: float) -> JobSpec:
    payload = b'{"run_s": %f}' % run_s
    return JobSpec(f"{DOMAIN}.{name}", "bureau", service, task_count, payload=payload)


def _runner(process: SchedulerProcess) -> ShardRunner:
    return process.runners_by_shard[DOMAIN]


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.02)


async def _submit(candidates: list[SchedulerProcess], spec: JobSpec) -> None:
    while True:
        for process in candidates:
            try:
                answer = await _runner(process).submit(spec)
            except (NotOwnerError, CallOutcomeUnknownError):
                continue
            if answer.outcome in (SubmitOutcome.ACCEPTED, SubmitOutcome.DUPLICATE):
                return
        await asyncio.sleep(0.05)


async def _measure_takeover(seed: int) -> dict[str, float]:
    shard = _Shard(seed)
    candidates = [shard.add_candidate(name) for name in ("a", "b", "c")]
    for index in range(RUNNING_TASKS // TASKS_PER_JOB):
        await _submit(candidates, _make_spec(f"j{index}", "extract", TASKS_PER_JOB, 600.0))
    await _wait_until(lambda: shard.starts(f"{DOMAIN}.j") == RUNNING_TASKS)
    owner = next(each for each in candidates if _runner(each).ownership.term is not None)
    valid_until_s = _runner(owner).ownership.valid_until_s
    await _wait_until(lambda: _runner(owner).ownership.valid_until_s > valid_until_s)
    crashed_at_s, cpu_before_s = shard.clock.now_s(), time.process_time()
    await owner.abort()
    candidates.remove(owner)
    urgent = asyncio.create_task(_submit(candidates, _make_spec("u", "urgent", 1, 1.0)))
    await _wait_until(lambda: shard.starts(f"{DOMAIN}.u") > 0)
    await urgent
    virtual_s = shard.clock.now_s() - crashed_at_s
    cpu_s = time.process_time() - cpu_before_s
    await asyncio.sleep(60.0)
    restarted = shard.starts(f"{DOMAIN}.j") - RUNNING_TASKS
    completions = sum(event.kind == "task_ended" for event in shard.history.events)
    for process in candidates:
        await process.abort()
    return {
        "virtual_s": virtual_s,
        "cpu_s": cpu_s,
        "total_s": virtual_s + cpu_s,
        "doubled_or_lost": restarted + completions - 1,
    }


async def _measure_traffic() -> dict[str, float]:
    shard = _Shard(0)
    process = shard.add_candidate("a")
    await _submit([process], _make_spec("first", "urgent", 1, 0.1))
    await asyncio.sleep(5.0)
    counts = process.counters.counts_by_name
    before = dict(counts)
    jobs = LOAD_S * STARTS_PER_S // JOURNAL_TASKS_PER_JOB
    peak_writes = 0
    for second in range(LOAD_S):
        writes = counts["store.transact"] + counts["store.keep_alive"]
        first, last = second * jobs // LOAD_S, (second + 1) * jobs // LOAD_S
        await asyncio.gather(
            *(
                _submit([process], _make_spec(f"t{index}", "extract", JOURNAL_TASKS_PER_JOB, 0.5))
                for index in range(first, last)
            ),
            asyncio.sleep(1.0),
        )
        now = counts["store.transact"] + counts["store.keep_alive"]
        peak_writes = max(peak_writes, now - writes)
    increments_by_name = {name: count - before.get(name, 0) for name, count in counts.items()}
    await process.abort()
    return {
        "starts_per_s": shard.starts(f"{DOMAIN}.t") / LOAD_S,
        "peak_writes_per_s": peak_writes,
        "reads_per_s": (
            increments_by_name["store.range"] + increments_by_name.get("store.watch", 0)
        )
        / LOAD_S,
        "journal_bytes_per_s": increments_by_name["journal.bytes"] / LOAD_S,
        "journal_bytes_per_job": increments_by_name["journal.bytes"] / jobs,
        "store_calls_per_job": sum(
            count for name, count in increments_by_name.items() if name.startswith("store.")
        )
        / jobs,
    }
