"""What an owner knows of the leases of its predecessors."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from redwingplank.batch.fencing import TOKENS_PER_EPOCH, next_epoch
from redwingplank.batch.settings import BatchSettings
from redwingplank.cell.keys import EPOCH_KEY, LEASES_KEY, OWNER_KEY
from redwingplank.cell.lease_bound import are_leases_bounded, make_lease_bound_put
from redwingplank.cell.owner import OwnerRuntime
from redwingplank.cell.record_writer import RecordWriter
from redwingplank.cell.system_entries import Ownership
from redwingplank.cell.tests.test_membership import FAST, Cell
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import Item, TransactionOutcome, TransactionResult
from redwingplank.standin.virtual_time import run_virtual

SETTINGS = BatchSettings(lease_s=6.5, lease_limit_s=10.0)

FIRST_EPOCH = next_epoch(0)


def make_item(epoch):
    return Item(LEASES_KEY, make_lease_bound_put(epoch).value, 3)


def make_ownership(epoch, bounded_since):
    return Ownership(epoch, 9, 9, 0.0, bounded_since)


def is_bounded(cell, owner):
    """Return whether the owner of a cell finds the leases of all earlier owners bounded."""
    found = cell.model.items[LEASES_KEY]
    assert owner.ownership is not None
    return are_leases_bounded(Item(LEASES_KEY, found.value, found.revision), owner.ownership)


class TestStoredBound:
    # Guards against a short wait on the word of an owner from before one of an earlier version.
    @pytest.mark.parametrize(("since", "is_bounded"), [(3, True), (4, True), (5, False)])
    def test_holds_within_its_series_of_owners(self, since, is_bounded):
        assert are_leases_bounded(make_item(4), make_ownership(6, since)) == is_bounded

    # Guards against an entry that cannot be read and is taken for a proof.
    @pytest.mark.parametrize(
        "item",
        [None, Item(LEASES_KEY, b"{", 3), Item(LEASES_KEY, b"[]", 3), Item(LEASES_KEY, None, 3)],
    )
    def test_is_not_known_without_a_readable_entry(self, item):
        assert not are_leases_bounded(item, make_ownership(2, 1))

    # Guards against leases on slow clocks, which last longer than they were granted for.
    def test_covers_the_slowest_clock(self):
        assert SETTINGS.bounded_wait_s >= SETTINGS.proof_lease_s / 0.98 + SETTINGS.lease_margin_s

    # Guards against a bound that grows past what tasks that last may wait for.
    def test_lets_tasks_start_again_within_seven_calm_seconds_and_a_half(self):
        assert SETTINGS.bounded_wait_s <= 7.5


class TestSeriesOfOwners:
    """Pattern: owners of this version and of earlier ones take turns, as in a rolling update."""

    async def _elect_next(self, cell, previous):
        """Let the ownership become free, and return the next owner."""
        previous.give_up_ownership("test")
        cell.model.remove(OWNER_KEY)
        return await cell.until_owned()

    def test_the_first_owner_of_a_cell_has_no_predecessor(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            cell.add_node(FAST)
            owner = await cell.until_owned()
            assert owner.ownership is not None and owner.ownership.bounded_since == FIRST_EPOCH
            assert is_bounded(cell, owner)
            await cell.stop()

        run_virtual(scenario())

    def test_the_next_owner_goes_on_with_the_series(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            cell.add_node(FAST)
            owner = await self._elect_next(cell, await cell.until_owned())
            assert owner.ownership.epoch == FIRST_EPOCH + TOKENS_PER_EPOCH
            assert owner.ownership.bounded_since == FIRST_EPOCH
            assert is_bounded(cell, owner)
            await cell.stop()

        run_virtual(scenario())

    # Guards against a short wait after an owner that bounds no lease, or that is not known.
    @pytest.mark.parametrize(
        "between",
        [
            b'{"number":257,"owner":"old","address":"127.0.0.1:1","incarnation":"x"}',
            b'{"number":257,"owner":"old","address":"127.0.0.1:1","bounded_since":1}',
            b"{",
        ],
        ids=["earlier-version", "bounded-but-for-restarts", "unreadable"],
    )
    def test_an_owner_of_another_kind_ends_the_series(self, monkeypatch, between):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            cell.add_node(FAST)
            first = await cell.until_owned()
            cell.model.put(EPOCH_KEY, between)
            owner = await self._elect_next(cell, first)
            assert owner.ownership.bounded_since == owner.ownership.epoch
            assert not is_bounded(cell, owner)
            await cell.stop()

        run_virtual(scenario())

    # Guards against a key of the owner that differs from its epoch after it was written again.
    def test_the_owner_key_that_is_written_again_tells_the_series(self, monkeypatch):
        async def scenario() -> None:
            cell = Cell(monkeypatch)
            cell.add_node(FAST)
            owner = await self._elect_next(cell, await cell.until_owned())
            cell.model.remove(OWNER_KEY)
            await owner._put_owner_key(owner.ownership)
            items = cell.model.items
            assert msgspec.json.decode(items[OWNER_KEY].value)["fenced_since"] == FIRST_EPOCH
            assert items[OWNER_KEY].value == items[EPOCH_KEY].value
            await cell.stop()

        run_virtual(scenario())


class FailingStore:
    """Leaves the first calls without an answer, and then answers with one outcome."""

    def __init__(self, failures, outcome):
        self.failures = failures
        self.outcome = outcome
        self.calls = []

    async def transact(self, expected, puts, _removes, _timeout_s):
        self.calls.append((asyncio.get_running_loop().time(), expected, puts))
        if len(self.calls) <= self.failures:
            raise NoAnswerError("no answer")
        return TransactionResult(self.outcome, 7)


class TestRecordOfTheBound:
    def record(self, *, is_bounded, failures=0, outcome=TransactionOutcome.DONE):
        """Return the calls of an owner within 30 s after it has loaded the jobs."""
        store = FailingStore(failures, outcome)
        context: Any = SimpleNamespace(
            store=store,
            health=SimpleNamespace(record_failure=lambda _: None),
            log=lambda *_, **__: None,
        )
        ownership = make_ownership(4, 4)
        nothing: Any = None
        writer = RecordWriter(context, ownership, nothing, nothing, nothing, nothing)
        runtime: Any = SimpleNamespace(
            owner=SimpleNamespace(state=SimpleNamespace(are_leases_bounded=is_bounded)),
            _settings=SETTINGS,
            _writer=writer,
        )

        async def scenario() -> None:
            task = asyncio.ensure_future(OwnerRuntime._record_lease_bound(runtime))
            await asyncio.sleep(30.0)
            assert task.done()

        run_virtual(scenario())
        return store.calls

    # Guards against a bound that is told while leases of earlier versions last.
    def test_is_written_once_they_have_expired(self):
        ((sent_s, expected, puts),) = self.record(is_bounded=False)
        assert sent_s >= SETTINGS.unbounded_wait_s
        assert expected == {EPOCH_KEY: 9}
        assert puts == [make_lease_bound_put(4)]

    def test_is_repeated_until_it_is_answered(self):
        assert len(self.record(is_bounded=False, failures=5)) == 6

    def test_ends_with_the_epoch(self):
        assert len(self.record(is_bounded=False, outcome=TransactionOutcome.CONFLICT)) == 1

    def test_is_not_written_if_it_is_known(self):
        assert self.record(is_bounded=True) == []
