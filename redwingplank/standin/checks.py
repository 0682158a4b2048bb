"""Checks the system's guarantees against the history of events at the stand-ins.

Every check yields findings; `check_history` collects those of all checks. The place of a finding is
a line of the history, counted from 1 (0 for none), and the VM, task, request or job concerned.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace

from redwingplank.core import Finding, Resources, SourceLocation
from redwingplank.platform.upstreams import REQUEST_ID_SEPARATOR
from redwingplank.standin.callers import CallerRecords, Ran, RequestRecord
from redwingplank.standin.history import HistoryEvent, HistoryEventKind
from redwingplank.standin.intervals import Interval, find_intervals, usage_steps

__all__ = ["LEAVING_GRACE_S", "CheckedRun", "check_history", "make_checked_run"]

LEAVING_GRACE_S = 2.0
REQUEST_KINDS = frozenset({HistoryEventKind.REQUEST_STARTED, HistoryEventKind.REQUEST_ENDED})
COMPLETED = "completed"
SUCCEEDED = "succeeded"

_REMEDY = "compare with the decision log lines of the same subject"


@dataclass(frozen=True)
class CheckedRun:
    """One run, prepared for the checks.

    Parameters
    ----------
    events : sequence of HistoryEvent
        History of the run.
    records : CallerRecords
        Answers that callers received.
    slots_by_upstream : mapping of str to int
        Limit of concurrent requests of each upstream; upstreams without one are not checked.
    leaving_grace_s : float
        Seconds after a VM began to leave from which on it must receive no new work.
    is_cut_allowed : bool
        Whether answers may break off, which happens when a process is killed.
    tasks, requests : tuple of Interval
        Time and VM of each attempt of a task and each run of a request.
    """

    events: Sequence[HistoryEvent]
    records: CallerRecords
    slots_by_upstream: Mapping[str, int]
    leaving_grace_s: float
    is_cut_allowed: bool
    tasks: tuple[Interval, ...] = field(repr=False)
    requests: tuple[Interval, ...] = field(repr=False)


def make_checked_run(
    events: Iterable[HistoryEvent],
    records: CallerRecords | None = None,
    *,
    slots_by_upstream: Mapping[str, int] | None = None,
    leaving_grace_s: float = LEAVING_GRACE_S,
    is_cut_allowed: bool = False,
) -> CheckedRun:
    """Prepare a run for the checks; see `CheckedRun` for the parameters."""
    converted = tuple(_with_caller_id(event) for event in events)
    return CheckedRun(
        events=converted,
        records=records or CallerRecords(),
        slots_by_upstream=slots_by_upstream or {},
        leaving_grace_s=leaving_grace_s,
        is_cut_allowed=is_cut_allowed,
        tasks=find_intervals(converted, HistoryEventKind.TASK_STARTED),
        requests=find_intervals(converted, HistoryEventKind.REQUEST_STARTED),
    )


def check_history(run: CheckedRun) -> tuple[Finding, ...]:
    """Return the findings of all checks, sorted by place; empty if every guarantee held."""
    return tuple(sorted(finding for check in _CHECKS for finding in check(run)))


def check_capacity(run: CheckedRun) -> Iterator[Finding]:
    """Check that reservations never exceed a VM's capacity in any dimension."""
    capacity_by_vm: dict[str, Resources] = {
        event.vm: event.amount
        for event in run.events
        if event.kind is HistoryEventKind.WORKER_STARTED
    }
    for vm, intervals in _group_by_vm(run.tasks).items():
        capacity = capacity_by_vm.get(vm)
        if capacity is None:
            yield _make_finding(intervals[0].line, vm, "ran tasks and never told its capacity")
            continue
        for usage in usage_steps(intervals):
            exceeded = usage.amount.exceeded_dimensions(capacity)
            if exceeded:
                problem = f"overfull at {usage.time_s:.3f} s in {', '.join(exceeded)}"
                yield _make_finding(usage.line, vm, problem)


def check_slots(run: CheckedRun) -> Iterator[Finding]:
    """Check that no upstream ever has more concurrent requests than slots."""
    for vm, intervals in _group_by_vm(run.requests).items():
        slots = run.slots_by_upstream.get(vm)
        if slots is None:
            continue
        for usage in usage_steps(intervals):
            if usage.count > slots:
                problem = f"{usage.count} requests at {usage.time_s:.3f} s in {slots} slots"
                yield _make_finding(usage.line, vm, problem)


def check_one_place(run: CheckedRun) -> Iterator[Finding]:
    """Check that no two attempts of a task run at the same time, on any VMs."""
    for task_id, intervals in _group_by_subject(run.tasks).items():
        latest: Interval | None = None
        for interval in sorted(intervals, key=lambda each: each.started.time_s):
            if latest is not None and latest.overlaps(interval):
                first, second = latest.started, interval.started
                problem = (
                    f"attempt {second.attempt} on {second.vm} ran beside "
                    f"attempt {first.attempt} on {first.vm}"
                )
                yield _make_finding(interval.line, task_id, problem)
            if latest is None or interval.ended_at_s > latest.ended_at_s:
                latest = interval


def check_at_most_once(run: CheckedRun) -> Iterator[Finding]:
    """Check that non-idempotent requests, by key or id, and tasks ran at most once."""
    at_most_once_keys = {
        (record.organisation, record.key)
        for record in run.records.requests
        if not record.is_idempotent and record.key
    }
    at_most_once_ids = {
        record.request_id
        for record in run.records.requests
        if not record.is_idempotent and record.request_id
    }
    runs: dict[str, list[Interval]] = defaultdict(list)
    for interval in run.requests:
        started = interval.started
        if (started.organisation, started.key) in at_most_once_keys:
            runs[f"{started.organisation}/{started.key}"].append(interval)
        elif started.subject in at_most_once_ids:
            runs[started.subject].append(interval)
    at_most_once_jobs = {record.job_id for record in run.records.jobs if not record.is_idempotent}
    for interval in run.tasks:
        if _job_id_of(interval.started.subject) in at_most_once_jobs:
            runs[interval.started.subject].append(interval)
    for subject, intervals in runs.items():
        for interval in intervals[1:]:
            yield _make_finding(interval.line, subject, "is not idempotent and ran again")


def check_not_run(run: CheckedRun) -> Iterator[Finding]:
    """Check that requests and jobs that were reported as not run did not run."""
    requests_by_id = _group_by_subject(run.requests)
    runs_by_key: dict[tuple[str, str], list[Interval]] = defaultdict(list)
    for interval in run.requests:
        if interval.started.key:
            runs_by_key[interval.started.organisation, interval.started.key].append(interval)
    ran_keys = _keys_that_ran(run.records.requests)
    for record in run.records.requests:
        runs = list(requests_by_id.get(record.request_id, ()))
        key = (record.organisation, record.key)
        if record.key and key not in ran_keys:
            runs += runs_by_key.get(key, ())
        if record.ran is Ran.NO and runs:
            yield _make_finding(runs[0].line, record.request_id or record.key, "was called not run")
    yield from _check_jobs_not_run(run)


def check_answers(run: CheckedRun) -> Iterator[Finding]:
    """Check that each answer is complete and belongs to the caller's own request."""
    answers_by_id: dict[str, list[HistoryEvent]] = defaultdict(list)
    answers_by_key: dict[tuple[str, str], list[HistoryEvent]] = defaultdict(list)
    for event in run.events:
        if event.kind is HistoryEventKind.REQUEST_ENDED and event.digest:
            answers_by_id[event.subject].append(event)
            if event.key:
                answers_by_key[event.organisation, event.key].append(event)
    for record in run.records.requests:
        subject = record.request_id or record.key
        if record.is_cut and not run.is_cut_allowed:
            yield _make_finding(0, subject, "was cut off")
        if record.ran is not Ran.YES:
            continue
        answers = answers_by_id.get(record.answered_request_id, [])
        answers = answers or answers_by_key.get((record.organisation, record.key), [])
        if not answers:
            yield _make_finding(0, subject, "was answered, but no upstream ran it")
        elif not any(answer.digest == record.digest for answer in answers):
            yield _make_finding(0, subject, "has an answer that no upstream gave: it is not whole")
        elif not any(_is_own_answer(record, answer) for answer in answers):
            problem = f"got the answer of request {record.answered_request_id}"
            yield _make_finding(0, subject, problem)


def check_jobs_kept(run: CheckedRun) -> Iterator[Finding]:
    """Check that every accepted job is known, and that all tasks of a succeeded job completed."""
    completed = {
        event.subject
        for event in run.events
        if event.kind is HistoryEventKind.TASK_ENDED and event.detail == COMPLETED
    }
    for record in run.records.jobs:
        if record.is_accepted and not record.last_state:
            yield _make_finding(0, record.job_id, "was accepted and is no longer known")
        if record.last_state != SUCCEEDED:
            continue
        for index in range(record.task_count):
            if f"{record.job_id}/{index}" not in completed:
                yield _make_finding(
                    0, record.job_id, f"succeeded, but task {index} never completed"
                )


def check_cancelled(run: CheckedRun) -> Iterator[Finding]:
    """Check that no task starts after the cancellation of its job was acknowledged."""
    cancelled_at_s = {
        record.job_id: record.cancelled_at_s
        for record in run.records.jobs
        if record.cancelled_at_s is not None
    }
    for interval in run.tasks:
        started = interval.started
        at_s = cancelled_at_s.get(_job_id_of(started.subject))
        if at_s is not None and started.time_s > at_s:
            problem = f"started {started.time_s - at_s:.3f} s after its cancellation"
            yield _make_finding(interval.line, started.subject, problem)


def check_leaving(run: CheckedRun) -> Iterator[Finding]:
    """Check that a leaving VM receives no new work after the grace period."""
    leaving_since_s: dict[str, float] = {}
    for event in run.events:
        if event.kind is HistoryEventKind.VM_LEAVING:
            leaving_since_s.setdefault(event.vm, event.time_s)
    for interval in (*run.tasks, *run.requests):
        started = interval.started
        at_s = leaving_since_s.get(started.vm)
        if at_s is not None and started.time_s > at_s + run.leaving_grace_s:
            problem = (
                f"{started.subject} came {started.time_s - at_s:.3f} s after it began to leave"
            )
            yield _make_finding(interval.line, started.vm, problem)


_CHECKS: tuple[Callable[[CheckedRun], Iterator[Finding]], ...] = (
    check_capacity,
    check_slots,
    check_one_place,
    check_at_most_once,
    check_not_run,
    check_answers,
    check_jobs_kept,
    check_cancelled,
    check_leaving,
)


def _check_jobs_not_run(run: CheckedRun) -> Iterator[Finding]:
    first_by_job: dict[str, Interval] = {}
    for interval in run.tasks:
        first_by_job.setdefault(_job_id_of(interval.started.subject), interval)
    accepted = {record.job_id for record in run.records.jobs if record.is_accepted}
    for record in run.records.jobs:
        if record.ran is Ran.NO and record.job_id not in accepted:
            first = first_by_job.get(record.job_id)
            if first is not None:
                yield _make_finding(first.line, record.job_id, "was called not run")


def _is_own_answer(record: RequestRecord, answer: HistoryEvent) -> bool:
    if record.organisation != answer.organisation:
        return False
    is_same_request = record.request_id == answer.subject
    return is_same_request or (bool(record.key) and record.key == answer.key)


def _keys_that_ran(records: Iterable[RequestRecord]) -> set[tuple[str, str]]:
    return {
        (record.organisation, record.key)
        for record in records
        if record.key and record.ran is not Ran.NO
    }


def _group_by_vm(intervals: Iterable[Interval]) -> dict[str, list[Interval]]:
    by_vm: dict[str, list[Interval]] = defaultdict(list)
    for interval in intervals:
        by_vm[interval.started.vm].append(interval)
    return by_vm


def _group_by_subject(intervals: Iterable[Interval]) -> dict[str, list[Interval]]:
    by_subject: dict[str, list[Interval]] = defaultdict(list)
    for interval in intervals:
        by_subject[interval.started.subject].append(interval)
    return by_subject


def _with_caller_id(event: HistoryEvent) -> HistoryEvent:
    """Replace the id that the entry sent to the upstream by the id of the caller's request."""
    if event.kind not in REQUEST_KINDS or REQUEST_ID_SEPARATOR not in event.subject:
        return event
    return replace(event, subject=event.subject.partition(REQUEST_ID_SEPARATOR)[0])


def _job_id_of(task_id: str) -> str:
    return task_id.rpartition("/")[0]


def _make_finding(line: int, subject: str, problem: str) -> Finding:
    return Finding(SourceLocation("history", line, 1 if line else 0, subject), problem, _REMEDY)
