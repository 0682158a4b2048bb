"""Tests of repeated store calls, against a client whose answers are chosen by the test."""

import asyncio
from typing import Any

import pytest

from redwingplank.cell import hedged_store
from redwingplank.cell.hedged_call import MAX_COPIES
from redwingplank.cell.hedged_store import HedgedStore
from redwingplank.platform.site.http import NoAnswerError, NotSentError
from redwingplank.platform.site.store import (
    StoreRefusedError,
    TransactionOutcome,
    TransactionResult,
)

DONE = TransactionResult(TransactionOutcome.DONE, 7)
LOST = None
"""Stands for an answer that never comes."""


class ScriptedStore:
    """Answers each transaction with the next result of a list."""

    def __init__(self, *results: TransactionResult | Exception | None) -> None:
        self._results = list(results)
        self.calls = 0

    async def transact(self, _expected, _puts, _removes, timeout_s, _on_headers):
        self.calls += 1
        result = self._results.pop(0)
        if result is LOST:
            await asyncio.sleep(timeout_s)
            raise NoAnswerError("timed out")
        if isinstance(result, Exception):
            raise result
        return result


def transact(store: Any, timeout_s: float = 0.2) -> TransactionResult:
    return asyncio.run(HedgedStore(store).transact({}, [], [], timeout_s))


class TestTransact:
    """Pattern: the store carries out writes, but a part of its answers is lost."""

    @pytest.fixture(autouse=True)
    def short_delay(self, monkeypatch):
        monkeypatch.setattr(hedged_store, "MIN_HEDGE_DELAY_S", 0.001)
        monkeypatch.setattr(hedged_store, "MAX_HEDGE_DELAY_S", 0.001)

    def test_an_answered_call_is_sent_once(self):
        store = ScriptedStore(DONE)
        assert transact(store) == DONE
        assert store.calls == 1

    def test_a_lost_answer_does_not_delay_the_result_until_the_time_out(self):
        store = ScriptedStore(LOST, LOST, DONE)
        assert transact(store, timeout_s=30.0) == DONE
        assert store.calls == 3

    def test_a_refused_copy_does_not_hide_that_the_first_may_have_taken_effect(self):
        refused = StoreRefusedError("503")
        with pytest.raises(NoAnswerError):
            transact(ScriptedStore(LOST, *[refused] * 10), timeout_s=0.05)

    def test_a_call_that_was_refused_at_once_is_not_repeated(self):
        store = ScriptedStore(StoreRefusedError("429"))
        with pytest.raises(StoreRefusedError):
            transact(store)
        assert store.calls == 1

    def test_a_call_that_was_not_sent_stays_certain(self):
        with pytest.raises(NotSentError):
            transact(ScriptedStore(NotSentError("refused")))

    def test_the_number_of_copies_is_bounded(self):
        store = ScriptedStore(*[LOST] * 10)
        with pytest.raises(NoAnswerError):
            transact(store, timeout_s=0.05)
        assert store.calls == MAX_COPIES

    def test_only_an_answer_that_overtakes_another_tells_of_a_loss(self):
        for results, is_lost in (([DONE], False), ([LOST, DONE], True)):
            scripted: Any = ScriptedStore(*results)
            store = HedgedStore(scripted)
            asyncio.run(store.transact({}, [], [], 30.0))
            assert (store.last_lost_s > 0) is is_lost
