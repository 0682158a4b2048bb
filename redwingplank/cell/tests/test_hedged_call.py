"""Copies of a call whose answers take their time, in virtual time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from redwingplank.cell import hedged_call
from redwingplank.cell.copy_record import CallEnd, CallRecord, CopyResult
from redwingplank.cell.hedged_call import MAX_COPIES, HedgedCall
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import StoreRefusedError
from redwingplank.standin.virtual_time import run_virtual

DELAY_S = 0.12


@dataclass(frozen=True)
class Plan:
    """When the answer to a copy begins and ends, in seconds after it was sent."""

    begins_s: float
    ends_s: float
    is_lost: bool = False
    """Whether the transfer breaks off at its end."""
    is_refusal: bool = False
    is_begin_reported: bool = True


class Store:
    """Answers each copy as planned; copies beyond the plans get no answer."""

    def __init__(self, *plans: Plan) -> None:
        self._plans = plans
        self.sent = 0
        self.cancelled: list[int] = []
        self.begun: list[tuple[float, bool]] = []
        self.timeouts_s: list[float] = []

    async def send(self, timeout_s: float, on_headers: Callable[[], None]) -> int:
        number = self.sent
        self.sent += 1
        self.timeouts_s.append(timeout_s)
        try:
            if number >= len(self._plans):
                await asyncio.sleep(timeout_s)
                raise NoAnswerError("no answer")
            plan = self._plans[number]
            await asyncio.sleep(plan.begins_s)
            if plan.is_begin_reported:
                on_headers()
            await asyncio.sleep(plan.ends_s - plan.begins_s)
            if plan.is_refusal:
                raise StoreRefusedError("refused")
            if plan.is_lost:
                raise NoAnswerError("the transfer broke off")
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise
        return number

    async def call(self, timeout_s: float) -> int:
        return await HedgedCall(self.send, timeout_s, DELAY_S, self._record).run()

    def _record(self, took_s: float, is_overtaking: bool) -> None:
        self.begun.append((took_s, is_overtaking))


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch):
    monkeypatch.setattr(hedged_call, "now_s", lambda: asyncio.get_running_loop().time())


def run(store: Store, timeout_s: float = 1.5) -> tuple[int, float]:
    """Return the number of the copy that was answered, and the time that it took."""

    async def call() -> tuple[int, float]:
        answered = await store.call(timeout_s)
        return answered, asyncio.get_running_loop().time()

    return run_virtual(call())


class TestLongTransfer:
    """Pattern: an answer that is large for its link."""

    # Guards against copies of an answer that is on its way, which share its link and delay it.
    def test_no_copy_is_sent_while_an_answer_is_received(self):
        store = Store(Plan(0.1, 9.0))
        answered, took_s = run(store)
        assert (answered, store.sent, took_s) == (0, 1, pytest.approx(9.0))

    # Guards against a time-out that cuts a transfer off, to begin it again from nothing.
    def test_the_time_out_ends_with_the_begin_of_the_answer(self):
        store = Store(Plan(1.4, 60.0))
        assert run(store)[0] == 0
        assert store.cancelled == list(range(1, store.sent))

    # Guards against several copies that are received side by side.
    def test_the_other_copies_are_cancelled_when_one_begins(self):
        store = Store(Plan(5.0, 5.1), Plan(5.0, 5.1), Plan(0.3, 8.0))
        answered, _ = run(store, timeout_s=10.0)
        assert answered == 2
        assert sorted(store.cancelled) == [number for number in range(store.sent) if number != 2]
        assert store.begun == [(pytest.approx(0.3), True)]

    # Guards against a late copy whose transfer may not pause, because little time was left.
    def test_a_late_copy_has_the_same_time_for_each_part(self):
        lost = Plan(99.0, 99.0)
        store = Store(lost, lost, lost, Plan(1.0, 9.0))
        assert run(store)[0] == 3
        assert set(store.timeouts_s) == {1.5}

    # Guards against a broken transfer that is taken for an answer, or that is waited for.
    def test_a_transfer_that_breaks_off_is_no_answer(self):
        store = Store(Plan(0.1, 0.5, is_lost=True))
        with pytest.raises(NoAnswerError, match="broke off"):
            run(store)
        assert store.sent == 1


class TestRefusedCopy:
    """Pattern: the answer to a call is lost or late, and copies of the call are refused."""

    # Guards against a refusal of one copy that is taken for the outcome of all: the first copy may
    # have been carried out.
    @pytest.mark.parametrize("first", [Plan(99.0, 99.0), Plan(0.12, 0.12, is_lost=True)])
    @pytest.mark.parametrize("is_begin_reported", [True, False])
    def test_a_refusal_does_not_settle_a_copy_without_an_answer(self, first, is_begin_reported):
        refused = Plan(0.0, 0.01, is_refusal=True, is_begin_reported=is_begin_reported)
        with pytest.raises(NoAnswerError):
            run(Store(first, *[refused] * MAX_COPIES))

    # Guards against dropping the answer of a slow store because a copy exceeded its rate limit.
    def test_an_answer_that_comes_after_the_refusal_of_a_copy_is_received(self):
        refused = Plan(0.01, 0.01, is_refusal=True, is_begin_reported=False)
        assert run(Store(Plan(0.3, 0.3), refused, refused)) == (0, pytest.approx(0.3))

    # Guards against an unknown outcome where each copy was refused, so that callers have to wait.
    def test_copies_that_were_all_refused_had_no_effect(self):
        refused = Plan(0.2, 0.2, is_refusal=True, is_begin_reported=False)
        with pytest.raises(StoreRefusedError):
            run(Store(*[refused] * MAX_COPIES))


class TestNoAnswer:
    """Pattern: a store that does not answer."""

    # Guards against a call that outlives its time-out, or sends copies without a bound.
    def test_copies_and_time_are_bounded(self):
        store = Store()

        async def call() -> float:
            with pytest.raises(NoAnswerError):
                await store.call(1.5)
            return asyncio.get_running_loop().time()

        assert run_virtual(call()) == pytest.approx(1.5)
        assert store.sent == MAX_COPIES


def record(store: Store, timeout_s: float = 1.5, cancelled_after_s: float = 99.0) -> CallRecord:
    """Return the record of a call that is cancelled after some time."""
    records: list[CallRecord] = []

    async def call() -> None:
        hedged = HedgedCall(store.send, timeout_s, DELAY_S, lambda *_: None, records.append)
        task = asyncio.ensure_future(hedged.run())
        await asyncio.wait([task], timeout=cancelled_after_s)
        task.cancel()
        await asyncio.wait([task])

    run_virtual(call())
    (only,) = records
    return only


class TestRecord:
    """What the observer of a call is told of its copies."""

    # Guards against an answer that is attributed to the wrong copy.
    def test_names_the_copy_that_was_answered_and_those_that_were_dropped(self):
        told = record(Store(Plan(99.0, 99.0), Plan(0.05, 0.06)))
        assert [copy.result for copy in told.copies] == [CopyResult.DROPPED, CopyResult.ANSWERED]
        assert [copy.is_deciding for copy in told.copies] == [False, True]
        assert [copy.sent_s for copy in told.copies] == [0.0, pytest.approx(DELAY_S)]
        assert [copy.ended_s for copy in told.copies] == [
            pytest.approx(DELAY_S + 0.05),
            pytest.approx(DELAY_S + 0.06),
        ]
        assert told.end is CallEnd.COPY

    # Guards against a refusal that is shown as what decided where a lost copy did.
    def test_of_a_lost_copy_and_refused_ones_names_the_deadline(self):
        refused = Plan(0.0, 0.01, is_refusal=True, is_begin_reported=False)
        told = record(Store(Plan(99.0, 99.0), *[refused] * MAX_COPIES))
        results = [copy.result for copy in told.copies]
        assert results == [CopyResult.NO_ANSWER, *[CopyResult.REFUSED] * (MAX_COPIES - 1)]
        assert told.end is CallEnd.DEADLINE
        assert not any(copy.is_deciding for copy in told.copies)

    # Guards against copies that were dropped for a refusal and are not shown as what decided.
    def test_of_copies_dropped_for_an_answer_that_was_none_names_the_drop(self):
        told = record(Store(Plan(99.0, 99.0), Plan(0.01, 0.02, is_refusal=True)))
        assert told.end is CallEnd.DROPPED
        results = [copy.result for copy in told.copies]
        assert results[:2] == [CopyResult.DROPPED, CopyResult.REFUSED]

    # Guards against a call that is cancelled before its copies are recorded.
    def test_of_a_cancelled_call_shows_what_was_under_way(self):
        told = record(Store(), cancelled_after_s=0.2)
        assert [copy.result for copy in told.copies] == [CopyResult.CANCELLED] * 2
        assert [copy.ended_s for copy in told.copies] == [pytest.approx(0.2)] * 2
        assert told.end is CallEnd.CANCELLED

    # Guards against an error of this program that ends a call without a record.
    def test_of_an_unexpected_error_names_its_copy(self):
        class Failing(Store):
            async def send(self, timeout_s, on_headers):
                raise KeyError("unexpected")

        told = record(Failing())
        assert [(copy.result, copy.is_deciding) for copy in told.copies] == [
            (CopyResult.FAILED, True)
        ]
