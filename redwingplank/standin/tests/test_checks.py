"""Tests that each check finds violations in a history, and accepts a history without any."""

import json

import pytest

from redwingplank.core import FakeClock, Resources
from redwingplank.platform import StartTask, WorkerRequest
from redwingplank.standin.callers import (
    CallerRecords,
    JobRecord,
    Ran,
    RequestRecord,
    records_from_dict,
    records_to_dict,
)
from redwingplank.standin.checks import check_history, make_checked_run
from redwingplank.standin.history import History, HistoryEvent, HistoryEventKind
from redwingplank.standin.workers import StandinWorker

CAPACITY = Resources(4000, 8192, (("gpu", 1),))
TASK = Resources(2000, 1024)
KIND = HistoryEventKind


def worker(vm: str = "w1") -> HistoryEvent:
    return HistoryEvent(0.0, KIND.WORKER_STARTED, vm, amount=CAPACITY)


def task(start_s: float, end_s: float | None, task_id: str = "j/0", **values) -> list[HistoryEvent]:
    vm, attempt = values.get("vm", "w1"), values.get("attempt", 1)
    amount, detail = values.get("amount", TASK), values.get("detail", "completed")
    events = [HistoryEvent(start_s, KIND.TASK_STARTED, vm, task_id, attempt, amount)]
    if end_s is not None:
        ended = HistoryEvent(end_s, KIND.TASK_ENDED, vm, task_id, attempt, amount, detail=detail)
        events.append(ended)
    return events


def request(start_s: float, end_s: float, request_id: str = "r1", **values) -> list[HistoryEvent]:
    vm, key = values.get("vm", "u1"), values.get("key", "")
    caller = {"organisation": values.get("organisation", "bureau"), "key": key}
    return [
        HistoryEvent(start_s, KIND.REQUEST_STARTED, vm, request_id, **caller),
        HistoryEvent(end_s, KIND.REQUEST_ENDED, vm, request_id, digest="d-" + request_id, **caller),
    ]


def answered(request_id: str = "r1", **values) -> RequestRecord:
    defaults = {"ran": Ran.YES, "digest": "d-" + request_id, "answered_request_id": request_id}
    return RequestRecord(request_id, "bureau", **{**defaults, **values})


def problems(events: list[HistoryEvent], *records, **options) -> list[str]:
    requests = tuple(each for each in records if isinstance(each, RequestRecord))
    jobs = tuple(each for each in records if isinstance(each, JobRecord))
    run = make_checked_run(events, CallerRecords(requests, jobs), **options)
    return [finding.problem for finding in check_history(run)]


class TestGoodHistory:
    def test_has_no_findings(self):
        events = [worker(), worker("w2"), *task(1, 2), *task(2, 3, attempt=2, vm="w2")]
        events += request(1, 2)
        job = JobRecord("j", "bureau", last_state="succeeded")
        assert problems(events, answered(), job, slots_by_upstream={"u1": 1}) == []

    def test_of_a_real_stand_in_has_no_findings(self):
        clock, history = FakeClock(), History()
        vm = StandinWorker("w1", CAPACITY, clock, history)
        starts = tuple(StartTask(f"j/{index}", 1, TASK) for index in range(3))
        vm.exchange(WorkerRequest(1, 10.0, starts))
        clock.advance(5.0)
        vm.exchange(WorkerRequest(1, 10.0))
        assert len(history.events) == 5
        assert problems(history.events) == []


class TestCapacity:
    @pytest.mark.parametrize(
        ("amount", "dimension"),
        [
            (Resources(2001, 0), "millicores"),
            (Resources(0, 4097), "memory_mib"),
            (Resources(0, 0, (("gpu", 1),)), "accelerators.gpu"),
        ],
    )
    def test_finds_an_overfull_vm_in_each_dimension(self, amount, dimension):
        events = [worker(), *task(1, 3, "a/0", amount=amount), *task(2, 4, "a/1", amount=amount)]
        assert any(dimension in problem for problem in problems(events))

    def test_allows_a_start_at_the_moment_of_an_end(self):
        full = Resources(4000, 8192)
        events = [worker(), *task(1, 2, "a/0", amount=full), *task(2, 3, "a/1", amount=full)]
        assert problems(events) == []

    def test_counts_a_task_that_never_ended(self):
        full = Resources(4000, 8192)
        events = [worker(), *task(1, None, "a/0", amount=full), *task(9, 10, "a/1")]
        assert "overfull" in problems(events)[0]

    def test_finds_a_vm_without_capacity(self):
        assert "never told" in problems(task(1, 2))[0]

    def test_finds_more_requests_than_slots(self):
        events = [*request(1, 3, "r1"), *request(2, 4, "r2")]
        assert "2 requests" in problems(events, slots_by_upstream={"u1": 1})[0]


class TestOnePlace:
    def test_finds_a_task_in_two_places(self):
        events = [worker(), worker("w2"), *task(1, 3), *task(2, 4, attempt=2, vm="w2")]
        assert problems(events) == ["attempt 2 on w2 ran beside attempt 1 on w1"]

    def test_finds_a_short_run_inside_a_long_one(self):
        events = [worker(), worker("w2"), *task(1, 9), *task(2, 3, vm="w2", attempt=2)]
        events += task(4, 5, vm="w2", attempt=3)
        assert len(problems(events)) == 2

    def test_finds_it_when_the_end_was_recorded_late(self):
        first, second = task(1, 3), task(2, 4, attempt=2, vm="w2")
        events = [worker(), worker("w2"), first[0], *second, first[1]]
        assert len(problems(events)) == 1


class TestAtMostOnce:
    def test_finds_an_order_that_ran_twice_by_key(self):
        events = [*request(1, 2, "r1", key="k"), *request(3, 4, "r2", key="k")]
        record = answered(key="k", is_idempotent=False)
        assert problems(events, record) == ["is not idempotent and ran again"]

    def test_finds_an_order_that_ran_twice_by_id(self):
        events = [*request(1, 2), *request(3, 4, vm="u2")]
        assert problems(events, answered(is_idempotent=False)) == [
            "is not idempotent and ran again"
        ]

    def test_finds_a_task_that_ran_twice(self):
        events = [worker(), *task(1, 2, detail="failed"), *task(3, 4, attempt=2)]
        job = JobRecord("j", "bureau", last_state="failed", is_idempotent=False)
        assert problems(events, job) == ["is not idempotent and ran again"]

    def test_allows_the_same_key_of_two_organisations(self):
        events = [
            *request(1, 2, "r1", key="k"),
            *request(1, 2, "r2", key="k", organisation="cooperative"),
        ]
        assert problems(events, answered(key="k", is_idempotent=False)) == []


class TestNotRun:
    def test_finds_a_request_that_ran(self):
        record = RequestRecord("r1", "bureau", ran=Ran.NO)
        assert problems(request(1, 2), record) == ["was called not run"]

    def test_finds_an_order_that_ran_under_another_id(self):
        record = RequestRecord("", "bureau", key="k", ran=Ran.NO)
        assert problems(request(1, 2, "r9", key="k"), record) == ["was called not run"]

    def test_allows_a_refused_repeat_of_an_order_that_ran(self):
        repeat = RequestRecord("r2", "bureau", key="k", ran=Ran.NO)
        assert problems(request(1, 2, key="k"), answered(key="k"), repeat) == []

    def test_finds_a_job_that_ran(self):
        job = JobRecord("j", "bureau", is_accepted=False, ran=Ran.NO)
        assert problems([worker(), *task(1, 2)], job) == ["was called not run"]


class TestAnswers:
    def test_finds_an_answer_of_another_caller(self):
        events = [*request(1, 2, "r1"), *request(1, 2, "r2")]
        crossed = answered(digest="d-r2", answered_request_id="r2")
        assert problems(events, crossed) == ["got the answer of request r2"]

    def test_finds_an_answer_of_another_organisation(self):
        events = request(1, 2, organisation="cooperative")
        assert problems(events, answered()) == ["got the answer of request r1"]

    def test_finds_an_answer_that_is_not_whole(self):
        assert "not whole" in problems(request(1, 2), answered(digest="other"))[0]

    def test_finds_an_answer_that_nobody_gave(self):
        assert "no upstream ran it" in problems([], answered())[0]

    def test_finds_a_cut_answer_unless_a_kill_allows_it(self):
        record = RequestRecord("r1", "bureau", is_cut=True)
        assert problems(request(1, 2), record) == ["was cut off"]
        assert problems(request(1, 2), record, is_cut_allowed=True) == []

    def test_allows_a_repeat_to_get_the_first_answer(self):
        repeat = answered(key="k", answered_request_id="r1")
        repeat = RequestRecord("r2", "bureau", "k", Ran.YES, repeat.digest, "r1")
        assert problems(request(1, 2, key="k"), repeat) == []

    def test_allows_an_answer_by_key_whose_first_caller_never_learnt_the_id(self):
        repeat = RequestRecord("r2", "bureau", "k", Ran.YES, "d-r1", "r2")
        assert problems(request(1, 2, key="k"), repeat) == []
        assert "no upstream ran it" in problems(request(1, 2, key="other"), repeat)[0]


class TestJobs:
    def test_finds_an_accepted_job_that_is_lost(self):
        job = JobRecord("j", "bureau")
        assert problems([], job) == ["was accepted and is no longer known"]

    def test_finds_a_success_with_a_task_that_never_completed(self):
        events = [worker(), *task(1, 2), *task(1, 2, "j/1", detail="lease_lapsed")]
        job = JobRecord("j", "bureau", task_count=2, last_state="succeeded")
        assert problems(events, job) == ["succeeded, but task 1 never completed"]

    def test_finds_a_start_after_the_cancellation(self):
        job = JobRecord("j", "bureau", last_state="cancelled", cancelled_at_s=1.5)
        assert "after its cancellation" in problems([worker(), *task(2, 3)], job)[0]


class TestLeaving:
    def test_finds_new_work_after_the_grace(self):
        events = [HistoryEvent(1.0, KIND.VM_LEAVING, "u1"), *request(2, 9, "r1")]
        assert problems(events) == []
        events += request(3.5, 4, "r2")
        assert problems(events) == ["r2 came 2.500 s after it began to leave"]


class TestCallerRecords:
    def test_survive_json(self):
        records = CallerRecords((answered(),), (JobRecord("j", "bureau", ran=Ran.NO),))
        values = json.loads(json.dumps(records_to_dict(records)))
        assert records_from_dict(values) == records
