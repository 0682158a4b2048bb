import asyncio

import pytest

from redwingplank.config.apply import HistoryTooShortError
from redwingplank.config.stored import HEAD_KEY, decode_live_set, resolve_live_set
from redwingplank.core import FakeClock, FindingsError
from redwingplank.platform import OutcomeUnknownError
from redwingplank.runtime.apply import (
    ApplyOptions,
    ApplyOutcome,
    apply_declarations,
    read_history,
    read_live_set,
    roll_back,
)
from redwingplank.standin.faults import Faults
from redwingplank.standin.store import MemoryStore, MemoryStoreClient


def template(name, priority):
    return f"schema_version: 1\ntemplates:\n  {name}: {{priority: {priority}}}"


async def no_wait(delay_s):
    await asyncio.sleep(0)


def options(**values):
    return ApplyOptions(sleep=no_wait, **values)


class YieldingClient(MemoryStoreClient):
    """Yields after each read, so that other operators run between a read and the transaction."""

    async def range(self, prefix, *, is_prefix=True):
        result = await super().range(prefix, is_prefix=is_prefix)
        await asyncio.sleep(0)
        return result


class InFlightClient(MemoryStoreClient):
    """Loses the answer to the first transaction, which takes effect only after the next read."""

    pending = None

    async def range(self, prefix, *, is_prefix=True):
        result = await super().range(prefix, is_prefix=is_prefix)
        if self.pending is not None:
            self.store.transact(*self.pending)
            self.pending = None
        return result

    async def transact(self, compares, operations):
        if self.store.read(HEAD_KEY, False).entries:
            return await super().transact(compares, operations)
        if self.pending is None:
            self.pending = (compares, operations)
        raise OutcomeUnknownError("no answer")


@pytest.fixture
def store():
    return MemoryStore(FakeClock())


def apply(client, text, nonce="n", **values):
    return apply_declarations(client, {"a.yaml": text}, 1.0, nonce, options(**values))


def contents(store):
    return decode_live_set(store.read("config/live/", True).entries).contents_by_key


class TestApply:
    def test_makes_revisions_and_is_idempotent(self, store):
        async def scenario():
            client = MemoryStoreClient(store)
            first = await apply(client, template("a", 1))
            again = await apply(client, template("a", 1), "m")
            second = await apply(client, template("a", 2), "o")
            return first, again, second

        first, again, second = asyncio.run(scenario())
        assert (first.outcome, first.revision) == (ApplyOutcome.APPLIED, 1)
        assert (again.outcome, again.revision) == (ApplyOutcome.UNCHANGED, 1)
        assert (second.outcome, second.revision) == (ApplyOutcome.APPLIED, 2)

    def test_invalid_set_writes_nothing(self, store):
        text = template("a", 1) + "\n  b: {extends: gone}"
        with pytest.raises(FindingsError):
            asyncio.run(apply(MemoryStoreClient(store), text))
        assert store.calls_by_method["transact"] == 0

    def test_removal_of_a_template_in_use_is_refused(self, store):
        used = (
            "schema_version: 1\ntemplates: {t: {kind: batch, resources: {millicores: 1}}}\n"
            "organisations: {o: {services: {s: {template: t}}}}"
        )
        only_organisation = "schema_version: 1\norganisations: {o: {services: {s: {template: t}}}}"

        async def scenario():
            client = MemoryStoreClient(store)
            await apply(client, used)
            with pytest.raises(FindingsError, match="template 't' is not declared"):
                await apply(client, only_organisation, "m", is_pruning=True)

        asyncio.run(scenario())


class TestRacingOperators:
    def test_ten_on_different_templates_all_survive(self, store):
        async def scenario():
            clients = [YieldingClient(store) for _ in range(10)]
            return await asyncio.gather(
                *(
                    apply(client, template(f"t{index}", index), f"n{index}")
                    for index, client in enumerate(clients)
                )
            )

        results = asyncio.run(scenario())
        assert {result.outcome for result in results} == {ApplyOutcome.APPLIED}
        assert sorted(result.revision for result in results) == list(range(1, 11))
        assert contents(store) == {f"template/t{i}": {"priority": i} for i in range(10)}

    def test_ten_on_the_same_template_one_wins_and_the_losers_see_its_change(self, store):
        async def scenario():
            clients = [YieldingClient(store) for _ in range(10)]
            return await asyncio.gather(
                *(
                    apply(client, template("t", index), f"n{index}", author=f"op{index}")
                    for index, client in enumerate(clients)
                )
            )

        results = asyncio.run(scenario())
        winners = [result for result in results if result.outcome is ApplyOutcome.APPLIED]
        losers = [result for result in results if result.outcome is ApplyOutcome.CONFLICT]
        assert len(winners) == 1 and len(losers) == 9
        winner = results.index(winners[0])
        assert contents(store) == {"template/t": {"priority": winner}}
        for loser in losers:
            assert loser.conflicts[0].author == f"op{winner}"
            assert loser.conflicts[0].theirs[0].after == winner

    def test_stale_files_do_not_revert_what_another_changed(self, store):
        async def scenario():
            client = MemoryStoreClient(store)
            both = template("a", 1) + "\n  b: {priority: 1}"
            await apply(client, both)
            await apply(client, template("a", 9), "m")
            return await apply(
                client, both.replace("b: {priority: 1}", "b: {priority: 5}"), "o", base_revision=1
            )

        result = asyncio.run(scenario())
        assert result.kept_keys == ("template/a",)
        assert contents(store) == {"template/a": {"priority": 9}, "template/b": {"priority": 5}}


class TestStoreFaults:
    def test_answer_lost_after_the_effect_is_settled_by_reading_back(self, store):
        client = MemoryStoreClient(store)
        result = asyncio.run(self._apply_with_lost_swap(client))
        assert (result.outcome, result.revision) == (ApplyOutcome.APPLIED, 1)
        assert store.calls_by_method["transact"] == 1

    @staticmethod
    async def _apply_with_lost_swap(client):
        original = client.transact

        async def lose_answer(compares, operations):
            client.faults.answers_to_lose = 1
            return await original(compares, operations)

        client.transact = lose_answer
        return await apply(client, template("a", 1))

    def test_swap_that_lands_after_the_read_back_is_not_doubled(self, store):
        result = asyncio.run(apply(InFlightClient(store), template("a", 1)))
        assert (result.outcome, result.revision) == (ApplyOutcome.APPLIED, 1)
        assert [
            record.revision for record in asyncio.run(read_history(MemoryStoreClient(store)))
        ] == [1]

    def test_request_lost_before_the_effect_is_repeated(self, store):
        client = MemoryStoreClient(store, Faults(calls_to_drop=2))
        result = asyncio.run(apply(client, template("a", 1)))
        assert (result.outcome, result.revision) == (ApplyOutcome.APPLIED, 1)

    def test_store_that_is_down_is_reported_as_not_applied(self, store):
        client = MemoryStoreClient(store, Faults(is_down=True))
        result = asyncio.run(apply(client, template("a", 1), max_attempts=3))
        assert result.outcome is ApplyOutcome.NOT_APPLIED
        assert "run apply again" in result.detail

    def test_store_that_goes_away_after_the_swap_leaves_the_outcome_unknown(self, store):
        class OutageAfterWriteClient(MemoryStoreClient):
            async def transact(self, compares, operations):
                await super().transact(compares, operations)
                self.faults.is_down = True
                raise OutcomeUnknownError("no answer")

        client = OutageAfterWriteClient(store)
        result = asyncio.run(apply(client, template("a", 1), max_attempts=3))
        assert result.outcome is ApplyOutcome.UNKNOWN
        client.faults.is_down = False
        again = asyncio.run(apply(client, template("a", 1), "m"))
        assert (again.outcome, again.revision) == (ApplyOutcome.UNCHANGED, 1)


class TestRollBack:
    def test_is_a_new_revision_with_the_earlier_documents(self, store):
        async def scenario():
            client = MemoryStoreClient(store)
            await apply(client, template("a", 1), "1")
            await apply(client, template("a", 2) + "\n  b: {}", "2")
            result = await roll_back(client, 1, 2.0, "3", options())
            live = await read_live_set(client)
            with pytest.raises(HistoryTooShortError):
                await roll_back(client, 9, 2.0, "4", options())
            return result, live

        result, live = asyncio.run(scenario())
        assert (result.outcome, result.revision) == (ApplyOutcome.APPLIED, 3)
        assert live.contents_by_key == {"template/a": {"priority": 1}}
        assert resolve_live_set(live).revision == 3

    def test_does_not_undo_what_another_operator_applies_meanwhile(self, store):
        class RacingApplyClient(MemoryStoreClient):
            """Lets another operator apply a change just before the first transaction."""

            has_raced = False

            async def transact(self, compares, operations):
                if not self.has_raced:
                    self.has_raced = True
                    await apply(MemoryStoreClient(store), template("a", 7), "other")
                return await super().transact(compares, operations)

        async def scenario():
            client = MemoryStoreClient(store)
            await apply(client, template("a", 1), "1")
            await apply(client, template("a", 2), "2")
            return await roll_back(RacingApplyClient(store), 1, 2.0, "3", options())

        result = asyncio.run(scenario())
        assert result.outcome is ApplyOutcome.CONFLICT
        assert result.conflicts[0].theirs[0].after == 7
        assert contents(store) == {"template/a": {"priority": 7}}
