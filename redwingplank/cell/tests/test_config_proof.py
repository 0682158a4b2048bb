"""Age of a node's configuration, and what it admits, with a fake clock and store."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from redwingplank.cell import config_proof, config_reader
from redwingplank.cell.access import AccessControl
from redwingplank.cell.authentication import AccessRefusal, Credentials
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.config_proof import ConfigProver
from redwingplank.cell.config_reader import ConfigReader
from redwingplank.cell.config_watch import ConfigWatch
from redwingplank.cell.metrics import NodeMetrics
from redwingplank.platform.site.http import NoAnswerError
from redwingplank.platform.site.store import (
    Item,
    Page,
    StoreInvalidCallError,
    TransactionOutcome,
    TransactionResult,
)

LIMIT_S = 5.0
CONFIG_LIMIT_S = 3.0
KEY = "key-7f3a"


def encode_config(version: int, *keys: str, **fields: Any) -> bytes:
    routes = [
        {"name": "closed", "host": "h", "prefix": "/c/"},
        {"name": "open", "host": "h", "prefix": "/o/", "public": True},
    ]
    tenants = [{"name": "a", "api_keys": keys, **fields}]
    return msgspec.json.encode({"version": version, "routes": routes, "tenants": tenants})


class FakeNode:
    """A node's view of a configuration; `item` is what the store holds."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.is_down = False
        self.takes_empty = True
        self.compared = 0
        self.item = Item("op/config", encode_config(1, KEY), 10)
        self.answered: asyncio.Event | None = None
        context: Any = SimpleNamespace(
            settings=SimpleNamespace(revocation_limit_s=LIMIT_S, config_limit_s=CONFIG_LIMIT_S),
            log=lambda event, **fields: self.events.append((event, fields)),
            metrics=NodeMetrics(),
            health=SimpleNamespace(record_success=lambda: 0, record_failure=lambda error: 0),
            store=self,
        )
        self.metrics = context.metrics
        self.config = ActiveConfig(context)
        reader = ConfigReader(context, self.config)
        self.watcher = ConfigWatch(context, self.config, reader)
        self.prover = ConfigProver(context, self.config, reader, self.watcher)
        self.access = AccessControl(context, self.config)
        for module in (config_proof, config_reader):
            monkeypatch.setattr(module, "now_s", lambda: self.now_s)
        self.watch()

    async def transact(self, expected, puts, removes, timeout_s):
        assert (puts, removes) == ([], [])
        self.compared += 1
        if self.is_down:
            raise NoAnswerError("no answer")
        if not self.takes_empty:
            raise StoreInvalidCallError("invalid")
        result = TransactionResult(TransactionOutcome.CONFLICT, 0, (self.item,))
        if expected["op/config"] == self.item.revision:
            result = TransactionResult(TransactionOutcome.DONE)
        if self.answered is not None:
            answered, self.answered = self.answered, None
            await answered.wait()
        return result

    async def read_page(self, prefix, after, timeout_s):
        return Page((self.item,), self.item.revision)

    def write(self, value: bytes) -> None:
        self.item = Item("op/config", value, self.item.revision + 1)

    def watch(self) -> None:
        self.config.apply_newest((self.item,))

    def prove(self) -> None:
        asyncio.run(self.prover.prove())

    def refusal(self, key: str | None = KEY, path: str = "/c/") -> AccessRefusal | None:
        assert self.config.current is not None
        queue = self.config.current.find_queue("h", path)
        assert queue is not None
        header = None if key is None else f"Bearer {key}"
        return self.access.check(Credentials(queue, header), self.now_s).refusal


@pytest.fixture
def node(monkeypatch):
    return FakeNode(monkeypatch)


class TestKeys:
    @pytest.mark.parametrize(
        "header", [None, "", KEY, "Bearer", f"Basic {KEY}", f"Bearer {KEY} x", "Bearer other"]
    )
    def test_malformed_and_unknown_ones_are_refused(self, node, header):
        """Guards against a job of a caller whose key was in no configuration."""
        node.prove()
        queue = node.config.current.queues_by_name["closed"]
        decision = node.access.check(Credentials(queue, header), node.now_s)
        assert decision.refusal is AccessRefusal.UNKNOWN_KEY
        public = node.config.current.queues_by_name["open"]
        assert node.access.check(Credentials(public, header), node.now_s).refusal is None

    def test_added_and_removed_ones_take_effect_with_the_configuration(self, node):
        """Guards against a set of keys that outlives its configuration."""
        node.prove()
        assert node.refusal() is None
        node.write(encode_config(2, "other"))
        node.watch()
        assert node.refusal() is AccessRefusal.UNKNOWN_KEY
        assert node.refusal("other") is None

    def test_a_flood_of_refusals_writes_few_lines_without_keys(self, node):
        """Guards against a log that is flooded by bad keys, or that shows them."""
        node.prove()
        for number in range(200):
            node.refusal(f"secret-{number}")
        lines = [fields for event, fields in node.events if event == "request_refused"]
        assert len(lines) == 5
        assert lines[0]["cause"] == "unknown_key"
        assert "secret" not in repr(lines) + repr(Credentials(None, "Bearer secret"))
        assert b'refused_requests_total{cause="unknown_key"} 200' in node.metrics.render()


class TestAgeOfTheView:
    def test_a_new_process_admits_no_key_before_its_first_proof(self, node):
        """Guards against a restarted node that trusts what a watch or a read returned."""
        assert node.refusal() is AccessRefusal.VIEW_TOO_OLD
        assert node.refusal("other") is AccessRefusal.VIEW_TOO_OLD
        assert node.refusal(None, "/o/") is None
        node.prove()
        assert node.refusal() is None

    def test_a_paused_or_partitioned_node_admits_no_key_after_the_bound(self, node):
        """Guards against a removed key at a node that does not see the removal."""
        node.prove()
        node.write(encode_config(2, "other"))
        node.is_down = True
        node.now_s += 4.4
        node.prove()
        assert node.refusal() is None
        node.now_s += 0.2
        assert node.refusal() is AccessRefusal.VIEW_TOO_OLD
        assert node.refusal(None, "/o/") is None
        node.is_down = False
        node.prove()
        assert node.refusal() is AccessRefusal.UNKNOWN_KEY
        assert node.refusal("other") is None

    @pytest.mark.parametrize("takes_empty", [True, False], ids=["compare", "read"])
    def test_a_proof_finds_what_the_watch_missed(self, node, takes_empty):
        """Guards against trust in a watch, also where the store takes no empty transaction."""
        node.takes_empty = takes_empty
        node.prove()
        assert node.refusal() is None
        node.write(encode_config(2))
        node.now_s += 1.0
        node.prove()
        assert node.refusal() is AccessRefusal.UNKNOWN_KEY

    @pytest.mark.parametrize("has_keys", [True, False])
    def test_only_cells_with_keys_are_proven(self, node, has_keys):
        """Guards against store calls of deployments that have no organisations."""
        if not has_keys:
            node.write(b'{"version":2}')
            node.watch()

        async def run_once() -> None:
            running = asyncio.ensure_future(node.prover.run())
            await asyncio.sleep(0.01)
            running.cancel()

        asyncio.run(run_once())
        assert node.compared == has_keys

    def test_a_late_answer_counts_from_its_sending_and_never_goes_back(self, node):
        """Guards against a proof that is dated at its answer, or that replaces a later one."""

        async def overlap() -> None:
            node.answered = answered = asyncio.Event()
            record_proof = node.config.record_proof

            def record(revision: int, sent_s: float) -> None:
                sent_times_s.append(sent_s)
                record_proof(revision, sent_s)

            node.config.record_proof = record
            early = asyncio.ensure_future(node.prover.prove())
            await asyncio.sleep(0)
            node.now_s += 1.0
            late = asyncio.ensure_future(node.prover.prove())
            await asyncio.sleep(0)
            assert node.compared == 1
            node.now_s += 1.0
            answered.set()
            await asyncio.gather(early, late)

        sent_times_s: list[float] = []
        asyncio.run(overlap())
        assert sent_times_s == [100.0, 102.0]
        assert node.config.age_s(node.now_s) == 0.0
        node.config.record_proof(node.item.revision, node.now_s - 1.0)
        assert node.config.age_s(node.now_s) == 0.0

    def test_a_rejected_configuration_stops_the_proof_of_the_last_valid_one(self, node):
        """Guards against a key that a configuration removed which this node could not read."""
        node.prove()
        for invalid in (encode_config(2, weight=-1), b"{"):
            node.write(invalid)
            node.watch()
            assert b"redwing_config_rejected 1" in node.metrics.render()
            node.prove()
            assert node.config.current.version == 1
            assert node.refusal() is None
        assert [event for event, _ in node.events[1:3]] == ["config_rejected", "config_unreadable"]
        node.now_s += 4.6
        node.prove()
        assert node.refusal() is AccessRefusal.VIEW_TOO_OLD
        node.write(encode_config(3, KEY))
        node.prove()
        assert node.refusal() is None
        assert b"redwing_config_rejected 0" in node.metrics.render()

    def test_a_lower_version_only_withdraws_keys(self, node):
        """Guards against a return to an older version, and a key that only the older one lacks."""
        node.write(encode_config(5, KEY, "late"))
        node.prove()
        node.write(encode_config(4, KEY, "early"))
        node.prove()
        assert node.config.current.version == 5
        assert node.refusal() is None
        assert node.refusal("late") is node.refusal("early") is AccessRefusal.UNKNOWN_KEY
