import asyncio

import numpy as np

from redwingplank.config.follow import ReadAll, ReadHead
from redwingplank.config.replica import Delta, MergeOutcome, Replica
from redwingplank.config.stored import Head, LiveSet, StoredDocument, digest_revisions
from redwingplank.runtime.apply import apply_declarations
from redwingplank.standin.nodes import make_memory_node, make_node_cell
from redwingplank.standin.store import MemoryStoreClient

READS_PER_S = 2000
"""Reads per second that the platform's store serves for the whole cell, as its users state."""


def busiest_second(cell, from_s):
    """Return the highest number of calls to the store within one second."""
    calls = [at_s for at_s in cell.store_call_times_s if at_s >= from_s]
    return max(sum(start <= at_s < start + 1.0 for at_s in calls) for start in calls)


def live_set(revision, **revisions):
    stored = {
        f"template/{name}": StoredDocument(document_revision, "", {})
        for name, document_revision in revisions.items()
    }
    digest = digest_revisions({key: value.revision for key, value in stored.items()})
    return LiveSet(Head(revision, digest=digest), stored)


def apply(cell, priority, name="t"):
    text = f"schema_version: 1\ntemplates: {{{name}: {{priority: {priority}}}}}"
    client = MemoryStoreClient(cell.store)
    nonce = f"{name}{priority}"
    result = asyncio.run(apply_declarations(client, {"a.yaml": text}, 0.0, nonce))
    return result.revision


def revisions(cell):
    return [node.follow.revision for node in cell.nodes]


def make_started_cell(domains=3, nodes=3, seed=1):
    cell = make_node_cell(domains, nodes, seed=seed)
    apply(cell, 1)
    cell.run_for(15.0)
    assert set(revisions(cell)) == {1}
    return cell


def restart(cell, old, seed=99):
    addresses = {
        f"{node.identity.failure_domain}/{node.identity.name}": node.identity.address
        for node in cell.nodes
    }
    old.is_dead = True
    full_name = f"{old.identity.failure_domain}/{old.identity.name}"
    node = make_memory_node(cell, full_name, addresses, seed)
    cell.add(node)
    return node


class TestReplica:
    def test_never_goes_back(self):
        replica = Replica()
        assert replica.merge_live_set(live_set(5, a=5)) is MergeOutcome.ADOPTED
        assert replica.merge_live_set(live_set(4, a=4)) is MergeOutcome.OLD
        assert replica.merge_delta(Delta(Head(5))) is MergeOutcome.OLD
        assert replica.revision == 5

    def test_a_difference_with_a_gap_changes_nothing(self):
        replica = Replica()
        replica.merge_live_set(live_set(1, a=1))
        after = live_set(3, a=1, b=2, c=3)
        part = Delta(after.head, {"template/c": after.stored_by_key["template/c"]})
        assert replica.merge_delta(part) is MergeOutcome.INCOMPLETE
        assert replica.revision == 1

    def test_a_difference_takes_removals(self):
        replica = Replica()
        replica.merge_live_set(live_set(1, a=1, b=1))
        head = live_set(2, a=1).head
        assert replica.merge_delta(Delta(head, {}, ("template/b",))) is MergeOutcome.ADOPTED
        assert replica.revision == 2
        assert replica.head.digest == live_set(2, a=1).head.digest

    def test_a_change_resolves_anew_what_it_touches_and_nothing_else(self):
        service = {"services": {"s": {"template": "child"}}}
        contents = {
            "template/base": {"kind": "batch", "resources": {"millicores": 1}},
            "template/child": {"extends": "base"},
            "template/alone": {"kind": "batch", "resources": {"millicores": 1}},
            "organisation/o": service,
            "organisation/p": {"services": {"s": {"template": "alone"}}},
            "organisation/q": {},
        }
        replica = Replica()

        def adopt(revision, *changed):
            for key in changed:
                revisions_by_key[key] = revision
            stored = {
                key: StoredDocument(revisions_by_key[key], "", contents[key]) for key in contents
            }
            head = Head(revision, digest=digest_revisions({k: revisions_by_key[k] for k in stored}))
            before = replica.declarations.organisations_by_name
            assert replica.merge_live_set(LiveSet(head, stored)) is MergeOutcome.ADOPTED
            after = replica.declarations.organisations_by_name
            return {name for name in after if after[name] is not before.get(name)}

        revisions_by_key: dict[str, int] = {}
        assert adopt(1, *contents) == {"o", "p", "q"}
        contents["template/base"] = {**contents["template/base"], "priority": 9}
        assert adopt(2, "template/base") == {"o"}
        assert replica.declarations.organisations_by_name["o"].services_by_name["s"].priority == 9
        contents["organisation/q"] = {"share": 7}
        assert adopt(3, "organisation/q") == {"q"}
        del contents["organisation/p"]
        assert adopt(4) == set()
        assert set(replica.declarations.organisations_by_name) == {"o", "q"}


class TestFollow:
    def test_a_change_is_in_force_everywhere_within_2_s(self):
        cell = make_started_cell(3, 9)
        revision = apply(cell, 2)
        cell.run_for(2.0)
        assert set(revisions(cell)) == {revision}

    def test_the_calls_of_135_nodes_are_a_small_part_of_what_the_store_takes(self):
        cell = make_started_cell(15, 9)
        before = len(cell.store_call_times_s)
        cell.run_for(20.0)
        calls_per_s = (len(cell.store_call_times_s) - before) / 20.0
        assert all(node.follow.is_watching for node in cell.nodes)
        assert calls_per_s <= READS_PER_S / 20

    def test_a_watch_that_dies_silently_is_found_by_the_poll(self):
        cell = make_started_cell()
        for node in cell.nodes:
            node.is_watch_silent = True
        revision = apply(cell, 2)
        cell.run_for(9.0)
        assert set(revisions(cell)) == {revision}

    def test_a_failure_domain_cut_off_for_an_hour_catches_up_and_never_reverts(self):
        cell = make_started_cell(3, 2)
        cell.cut_domains.add("domain-1")
        for priority in range(2, 8):
            apply(cell, priority)
            cell.run_for(600.0)
        cut = [node for node in cell.nodes if node.identity.failure_domain == "domain-1"]
        assert {node.follow.revision for node in cut} == {1}
        assert {node.follow.revision for node in cell.nodes if node not in cut} == {7}
        cell.cut_domains.clear()
        cell.run_for(9.0)
        assert set(revisions(cell)) == {7}
        for node in cell.nodes:
            assert list(node.in_force_at_s) == sorted(node.in_force_at_s)

    def test_a_failure_domain_cut_off_from_the_store_alone_goes_on_and_catches_up(self):
        cell = make_started_cell()
        cut = [node for node in cell.nodes if node.identity.failure_domain == "domain-1"]
        for node in cut:
            node.is_store_down = True
        revision = apply(cell, 2)
        cell.run_for(9.0)
        assert {node.follow.revision for node in cut} == {1}
        assert {node.follow.revision for node in cell.nodes if node not in cut} == {revision}
        for node in cut:
            node.is_store_down = False
        cell.run_for(9.0)
        assert set(revisions(cell)) == {revision}

    def test_a_node_restarted_in_an_outage_has_nothing_until_the_store_answers(self):
        cell = make_started_cell()
        revision = apply(cell, 2)
        cell.run_for(2.0)
        cell.is_store_down = True
        cell.run_for(30.0)
        node = restart(cell, cell.nodes[0])
        cell.run_for(9.0)
        assert node.follow.revision == 0
        assert {other.follow.revision for other in cell.nodes if other is not node} == {revision}
        cell.is_store_down = False
        cell.run_for(9.0)
        assert node.follow.replica.declarations.revision == revision

    def test_no_nodes_death_delays_a_change_at_the_others(self):
        cell = make_started_cell(2, 5)
        for node in cell.nodes[::2]:
            node.is_dead = True
        revision = apply(cell, 2)
        cell.run_for(2.0)
        assert {node.follow.revision for node in cell.nodes if not node.is_dead} == {revision}

    def test_no_stampede_when_the_store_returns(self):
        cell = make_started_cell(15, 9)
        cell.is_store_down = True
        cell.run_for(60.0)
        cell.is_store_down = False
        revision = apply(cell, 2)
        returned_at_s = cell.clock.now_s()
        cell.run_for(9.0)
        assert set(revisions(cell)) == {revision}
        assert busiest_second(cell, returned_at_s) <= READS_PER_S / 10

    def test_no_stampede_when_all_nodes_start_at_once(self):
        cell = make_node_cell(15, 9)
        apply(cell, 1)
        cell.run_for(15.0)
        assert set(revisions(cell)) == {1}
        assert busiest_second(cell, 0.0) <= READS_PER_S / 4


class TestReads:
    def test_a_lone_node_reads_the_store_and_backs_off_with_jitter(self):
        cell = make_node_cell(1, 1)
        follow = cell.nodes[0].follow
        generator = np.random.default_rng(1)
        times_s, now_s = [], 0.0
        for _ in range(400):
            now_s += float(generator.uniform(0.05, 0.15))
            for action in follow.step(now_s):
                if isinstance(action, ReadAll | ReadHead):
                    times_s.append(now_s)
                    follow.on_read_failed(now_s)
        gaps_s = np.diff(times_s)
        assert gaps_s[-1] > 2 * gaps_s[0]
        assert gaps_s.max() <= 8.2
