import numpy as np
import pytest

from redwingplank.membership import (
    FailureDetector,
    Heartbeat,
    MembershipState,
    NodeIdentity,
    NodeStatus,
    PeerEvidence,
    VmWord,
    VmWordKind,
)
from redwingplank.platform import ListedVm, VmListing, VmRole, VmState
from redwingplank.standin.nodes import make_memory_node, make_node_cell


def make_upstream(name, state=VmState.LIVE):
    return ListedVm(name, VmRole.UPSTREAM, "d", "r", "10.0.0.1:1", state, service="notahane")


def make_state(now_s=0.0, addresses_by_name=None):
    identity = NodeIdentity("a", "d", "10.0.0.1:1")
    return MembershipState(identity, 1, now_s, addresses_by_name or {}, np.random.default_rng(1))


def make_heartbeat(name="b", incarnation=1, sequence=1, **values):
    return Heartbeat(name, "d", f"{name}:1", incarnation, sequence, **values)


def live_names(node):
    return {peer.name for peer in node.membership.live_peers()}


class TestFailureDetector:
    def test_suspects_before_it_declares_dead(self):
        detector = FailureDetector()
        detector.handle_heartbeat(0.0, make_heartbeat())
        statuses = {}
        for step in range(20):
            now_s = step * 0.25
            detector.tick(now_s)
            statuses[now_s] = detector.nodes_by_name["b"].status
        assert statuses[2.5] is NodeStatus.ALIVE
        assert statuses[2.75] is NodeStatus.SUSPECT
        assert statuses[4.0] is NodeStatus.SUSPECT
        assert statuses[4.25] is NodeStatus.DEAD

    def test_evidence_of_others_keeps_a_node_alive(self):
        detector = FailureDetector()
        detector.handle_heartbeat(0.0, make_heartbeat())
        for step in range(40):
            now_s = step * 0.25
            detector.apply_evidence(now_s, PeerEvidence("b", 1, age_s=1.0))
            detector.tick(now_s)
        assert detector.nodes_by_name["b"].is_alive

    def test_own_pause_is_not_silence_of_others(self):
        detector = FailureDetector()
        detector.handle_heartbeat(0.0, make_heartbeat())
        detector.tick(0.0)
        detector.tick(30.0)
        assert detector.nodes_by_name["b"].status is NodeStatus.ALIVE

    def test_a_dead_node_returns_only_with_a_higher_incarnation(self):
        detector = FailureDetector()
        detector.handle_heartbeat(0.0, make_heartbeat())
        for step in range(20):
            detector.tick(step * 0.25)
        assert not detector.handle_heartbeat(5.0, make_heartbeat(sequence=9))
        assert detector.nodes_by_name["b"].status is NodeStatus.DEAD
        assert detector.handle_heartbeat(5.1, make_heartbeat(incarnation=2))
        assert detector.nodes_by_name["b"].is_alive

    def test_old_and_repeated_heartbeats_are_no_evidence(self):
        detector = FailureDetector()
        assert detector.handle_heartbeat(0.0, make_heartbeat(incarnation=2, sequence=5))
        assert not detector.handle_heartbeat(9.0, make_heartbeat(incarnation=2, sequence=5))
        assert not detector.handle_heartbeat(9.0, make_heartbeat(incarnation=1, sequence=99))
        assert detector.nodes_by_name["b"].heartbeat_at_s == 0.0


class TestUpstreams:
    @pytest.mark.parametrize("kind", list(VmWordKind))
    def test_the_lagging_list_does_not_resurrect(self, kind):
        state = make_state()
        state.on_list(0.0, VmListing((make_upstream("u1"), make_upstream("u2")), 1))
        state.mark(1.0, VmWord("u1", kind))
        state.on_list(2.0, VmListing((make_upstream("u1"), make_upstream("u2")), 2))
        assert [vm.name for vm in state.live_upstreams()] == ["u2"]
        state.on_list(700.0, VmListing((make_upstream("u1"), make_upstream("u2")), 3))
        assert [vm.name for vm in state.live_upstreams()] == ["u2"]

    def test_leaving_by_the_list_and_the_list_away(self):
        state = make_state()
        vms = (make_upstream("u1"), make_upstream("u2", VmState.LEAVING))
        state.on_list(0.0, VmListing(vms, 1))
        state.on_list_failed(1.0)
        assert [vm.name for vm in state.live_upstreams()] == ["u1"]
        assert state.cut_off_from(1.0) == ()
        state.on_list_failed(7.0)
        assert state.cut_off_from(7.0) == ("vm-list",)

    def test_dead_overrules_leaving_and_not_the_reverse(self):
        state = make_state()
        state.mark(0.0, VmWord("u", VmWordKind.DEAD))
        state.mark(1.0, VmWord("u", VmWordKind.LEAVING))
        assert state.vms.recent_words(1.0) == (VmWord("u", VmWordKind.DEAD),)


class TestNode:
    def test_a_suspected_node_raises_its_incarnation(self):
        state = make_state()
        state.on_heartbeat(0.0, make_heartbeat(suspected=(PeerEvidence("a", 4),)))
        assert state.incarnation == 5

    def test_a_process_whose_clock_was_set_back_learns_its_earlier_incarnation(self):
        state = make_state()
        state.on_heartbeat(0.0, make_heartbeat(incarnation=50))
        answer = state.on_heartbeat(1.0, make_heartbeat(incarnation=7))
        assert PeerEvidence("b", 50) in answer.suspected

    def test_seeded_address_is_not_replaced_by_the_lists(self):
        state = make_state(addresses_by_name={"d/b": "10.0.0.2:5"})
        listed = ListedVm("b", VmRole.ENTRY, "d", "r", "10.0.0.2:80")
        state.on_list(0.0, VmListing((listed,), 1))
        assert state.detector.nodes_by_name["b"].address == "10.0.0.2:5"

    def test_nodes_are_discovered_from_the_list(self):
        state = make_state()
        state.on_list(0.0, VmListing((ListedVm("c", VmRole.ENTRY, "d", "r", "c:1"),), 1))
        assert [action.address for action in state.tick(0.0) if hasattr(action, "heartbeat")] == [
            "c:1"
        ]


class TestCell:
    def test_one_summary_each_way_between_two_failure_domains_and_period(self):
        cell = make_node_cell(3, 3)
        cell.run_for(10.0)
        cell.traffic.messages_by_kind.clear()
        cell.run_for(60.0)
        exchanges = cell.traffic.messages_by_kind["DomainSummary"] / 2
        assert 3 * 29 <= exchanges <= 3 * 32

    def test_everyone_knows_everyone_in_the_failure_domain(self):
        cell = make_node_cell(2, 5)
        cell.run_for(3.0)
        for node in cell.nodes:
            domain = node.identity.failure_domain
            names = {
                other.identity.name
                for other in cell.nodes
                if other.identity.failure_domain == domain and other is not node
            }
            assert live_names(node) == names

    @pytest.mark.parametrize("seed", range(5))
    def test_leaving_is_known_within_2_s_and_death_within_5_s(self, seed):
        cell = make_node_cell(1, 9, seed=seed)
        cell.run_for(5.0)
        leaving, dying, *others = cell.nodes
        leaving.membership.leave()
        dying.is_dead = True
        cell.run_for(2.0)
        for node in others:
            assert leaving.identity.name not in live_names(node)
        cell.run_for(3.0)
        for node in others:
            assert dying.identity.name not in live_names(node)
            assert len(live_names(node)) == 6

    def test_an_upstreams_own_word_reaches_the_failure_domain_within_2_s(self):
        cell = make_node_cell(1, 9)
        cell.vms.put(*(ListedVm(f"u{i}", VmRole.UPSTREAM, "domain-0", "r", "u") for i in range(3)))
        cell.run_for(30.0)
        cell.nodes[4].membership.mark(cell.clock.now_s(), VmWord("u1"))
        cell.run_for(2.0)
        for node in cell.nodes:
            assert {vm.name for vm in node.membership.live_upstreams()} == {"u0", "u2"}

    def test_no_false_death_in_an_hour_with_pauses_of_one_second(self):
        cell = make_node_cell(1, 9)
        generator = np.random.default_rng(7)
        cell.run_for(5.0)
        for _ in range(3600 // 2):
            paused = cell.nodes[int(generator.integers(9))]
            paused.paused_until_s = cell.clock.now_s() + 1.0
            cell.run_for(2.0)
            for node in cell.nodes:
                assert len(live_names(node)) == 8

    def test_a_long_paused_process_dies_once_and_comes_back(self):
        cell = make_node_cell(1, 5)
        cell.run_for(5.0)
        paused, *others = cell.nodes
        paused.paused_until_s = cell.clock.now_s() + 20.0
        cell.run_for(15.0)
        for node in others:
            assert paused.identity.name not in live_names(node)
        cell.run_for(8.0)
        for node in cell.nodes:
            assert len(live_names(node)) == 4

    def test_a_broken_link_between_two_nodes_kills_neither(self):
        cell = make_node_cell(1, 5)
        cell.run_for(5.0)
        first, second = cell.nodes[:2]
        is_cut = cell._is_cut
        cell._is_cut = lambda a, b: {a, b} == {first, second} or is_cut(a, b)
        cell.run_for(60.0)
        assert second.identity.name in live_names(first)
        assert first.identity.name in live_names(second)

    def test_a_restarted_node_and_a_cut_off_failure_domain(self):
        cell = make_node_cell(3, 3)
        cell.run_for(5.0)
        cell.cut_domains.add("domain-1")
        cell.run_for(12.0)
        for node in cell.nodes:
            is_cut = node.identity.failure_domain == "domain-1"
            expected = {"domain-0", "domain-2", "store"} if is_cut else {"domain-1"}
            assert set(node.membership.cut_off_from(cell.clock.now_s())) == expected
        cell.cut_domains.clear()
        old = cell.nodes[0]
        addresses = {
            f"{node.identity.failure_domain}/{node.identity.name}": node.identity.address
            for node in cell.nodes
        }
        full_name = f"{old.identity.failure_domain}/{old.identity.name}"
        cell.add(make_memory_node(cell, full_name, addresses, 99))
        cell.run_for(10.0)
        for node in cell.nodes:
            assert node.membership.cut_off_from(cell.clock.now_s()) == ()
            assert len(live_names(node)) == 2

    def test_nobody_reports_a_cut_in_a_cell_that_has_none(self):
        cell = make_node_cell(3, 4)
        reported: set[tuple[str, ...]] = set()
        for _ in range(240):
            cell.run_for(0.25)
            now_s = cell.clock.now_s()
            reported |= {node.membership.cut_off_from(now_s) for node in cell.nodes}
        assert reported == {()}

    def test_one_nodes_read_of_a_long_list_tells_all_of_a_leaving_upstream(self):
        cell = make_node_cell(1, 9)
        vms = [ListedVm(f"w{i}", VmRole.WORKER, "domain-0", "r", "w") for i in range(400)]
        cell.vms.put(*vms, ListedVm("u", VmRole.UPSTREAM, "domain-0", "r", "u"))
        cell.run_for(120.0)
        assert all(node.membership.live_upstreams() for node in cell.nodes)
        cell.vms.put(ListedVm("u", VmRole.UPSTREAM, "domain-0", "r", "u", VmState.LEAVING))
        cell.run_for(5.0 + 30.0)
        assert not any(node.membership.live_upstreams() for node in cell.nodes)
