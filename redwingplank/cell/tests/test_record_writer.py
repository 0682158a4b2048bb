"""What a write of records proves of the ownership, against a store that answers by a plan."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from redwingplank.batch.tests.cells import make_cell, make_job, step
from redwingplank.cell import record_writer
from redwingplank.cell.keys import EPOCH_KEY, PROGRESS_PREFIX, SEQUENCE_KEY
from redwingplank.cell.record_writer import RecordWriter
from redwingplank.cell.system_entries import Ownership
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import (
    Item,
    Put,
    StoreInvalidCallError,
    TransactionOutcome,
    TransactionResult,
)
from redwingplank.standin.virtual_time import run_virtual

ANSWER_S = 0.3
"""Time after which a call is answered."""
OWNERSHIP = Ownership(1, 5, 5, 0.0, 1)


class PlannedStore:
    """Gives the planned answers in turn; the last one again and again."""

    def __init__(self, *answers: str) -> None:
        self.answers = list(answers)
        self.sent_s: list[float] = []

    async def transact(
        self, _expected: dict[str, int], puts: list[Put], _removes: list[str], _timeout_s: float
    ) -> TransactionResult:
        self.sent_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(ANSWER_S)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer == "none":
            raise NoAnswerError("no answer")
        if answer == "done":
            return TransactionResult(TransactionOutcome.DONE, 7)
        (sequence,) = [put.value for put in puts if put.key == SEQUENCE_KEY]
        found = {
            "own": (Item(EPOCH_KEY, b"", 5), Item(SEQUENCE_KEY, sequence, 7)),
            "superseded": (Item(EPOCH_KEY, b"", 9), Item(SEQUENCE_KEY, b"[2,0]", 9)),
        }
        return TransactionResult(TransactionOutcome.CONFLICT, 0, found[answer])


class RefusingStore:
    """Refuses writes as invalid that contain the record of a job; the first ones, or all.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    refusals : float
        Number of such writes that are refused.
    """

    def __init__(self, job_id: str, refusals: float = float("inf")) -> None:
        self.key = PROGRESS_PREFIX + job_id
        self.refusals = refusals
        self.refused = 0
        self.stored: dict[str, bytes] = {}

    async def transact(
        self, _expected: dict[str, int], puts: list[Put], _removes: list[str], _timeout_s: float
    ) -> TransactionResult:
        await asyncio.sleep(0.01)
        is_running = any(put.key == self.key and b'"state"' not in put.value for put in puts)
        if is_running and self.refused < self.refusals:
            self.refused += 1
            raise StoreInvalidCallError("too long")
        self.stored.update((put.key, put.value) for put in puts)
        return TransactionResult(TransactionOutcome.DONE, 7)


def write(monkeypatch: pytest.MonkeyPatch, *answers: str) -> tuple[list, list[float]]:
    """Write a record for 2 s; return the proofs, and the times at which calls were sent."""
    store = PlannedStore(*answers)
    proofs, _ = write_jobs(monkeypatch, store, "a")
    return proofs, store.sent_s


def write_jobs(monkeypatch: pytest.MonkeyPatch, store: Any, *job_ids: str) -> tuple[list, Any]:
    """Write the records of jobs for 2 s; return the proofs, and the owner."""
    proofs: list = []
    cell = make_cell(1)

    async def scenario() -> None:
        monkeypatch.setattr(record_writer, "now_s", asyncio.get_running_loop().time)
        for job_id in job_ids:
            cell.submit(make_job(job_id, step(1), at_s=cell.now_s))
        cell.owner.tick(cell.now_s, cell.now_s)
        health = SimpleNamespace(record_failure=lambda *_: None, record_success=lambda: None)
        context: Any = SimpleNamespace(store=store, health=health, log=lambda *_, **__: None)
        writer = RecordWriter(
            context,
            OWNERSHIP,
            cell.owner,
            lambda: None,
            lambda _: None,
            lambda *proof: proofs.append(proof),
        )
        await asyncio.sleep(0.5)
        writer.wake()
        task = asyncio.ensure_future(writer.run())
        for _ in range(20):
            await asyncio.sleep(0.1)
            if cell.owner.state.dirty_jobs or cell.owner._held._refused:
                cell.owner.tick(cell.now_s, cell.now_s)
                writer.wake()
        task.cancel()

    run_virtual(scenario())
    return proofs, cell.owner


class TestProof:
    # Guards against an owner that proves its ownership by reads alone.
    def test_a_write_proves_the_ownership_when_it_was_sent(self, monkeypatch):
        proofs, (sent_s,) = write(monkeypatch, "done")
        assert proofs == [(OWNERSHIP, sent_s)]

    # Guards against a proof that is dated back to a call which may have been carried out late, or
    # on to the answer.
    def test_a_repeated_write_proves_it_when_its_last_call_was_sent(self, monkeypatch):
        proofs, sent_s = write(monkeypatch, "none", "done")
        assert len(sent_s) == 2
        assert proofs == [(OWNERSHIP, sent_s[1])]

    def test_a_write_of_a_replaced_owner_proves_nothing(self, monkeypatch):
        proofs, _ = write(monkeypatch, "superseded")
        assert proofs == []

    # The record was stored, but the answer does not tell when.
    def test_a_copy_that_finds_its_write_carried_out_proves_nothing_later(self, monkeypatch):
        proofs, sent_s = write(monkeypatch, "none", "own")
        assert all(proven_s <= sent_s[1] for _, proven_s in proofs)


class TestRecordThatTheStoreRefusesAsInvalid:
    # Guards against a record that is repeated unchanged for ever, with all others behind it.
    def test_holds_up_no_other(self, monkeypatch):
        store = RefusingStore("b")
        _, owner = write_jobs(monkeypatch, store, "a", "b", "c")
        assert {PROGRESS_PREFIX + "a", PROGRESS_PREFIX + "c"} <= store.stored.keys()
        assert owner.state.jobs_by_id["a"].stored_version > 0

    # Guards against tasks of a job that cannot be remembered, and that start nevertheless, and
    # against an accepted job that is dropped for it.
    def test_lets_its_job_wait(self, monkeypatch):
        store = RefusingStore("b")
        _, owner = write_jobs(monkeypatch, store, "a", "b")
        job = owner.state.jobs_by_id["b"]
        assert not job.state.is_final
        assert not job.runs()
        assert store.refused < 10

    # Guards against a job that waits although the store takes its record the next time.
    def test_is_written_if_it_is_taken_later(self, monkeypatch):
        store = RefusingStore("b", refusals=2)
        _, owner = write_jobs(monkeypatch, store, "a", "b")
        assert not owner.state.jobs_by_id["b"].is_held
        assert PROGRESS_PREFIX + "b" in store.stored
