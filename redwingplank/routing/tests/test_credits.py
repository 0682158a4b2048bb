"""Tests of slot credits: their sum never exceeds the slots, and they follow the demand."""

import pytest

from redwingplank.routing.credit_division import divide_slots
from redwingplank.routing.credit_grantor import CreditGrantor
from redwingplank.routing.credit_holder import CreditHolder
from redwingplank.routing.credit_messages import CreditSettings, ServiceUse
from redwingplank.routing.tests.credits_world import SLOTS, UPSTREAMS, Simulation, upstream_vms

SETTINGS = CreditSettings(lease_s=10.0, margin_s=0.5)
AUTHORITY_S = 3.0


class CreditHarness:
    """A grantor and two holders whose messages always arrive."""

    def __init__(self, members=("a", "b")):
        self.now_s = 0.0
        self.grantor = CreditGrantor(SETTINGS)
        self.grantor.set_upstreams(upstream_vms())
        self.grantor.begin_epoch(0.0, 1, AUTHORITY_S, {})
        self.holders = {name: CreditHolder(SETTINGS, name, 1) for name in members}
        self.waiting = dict.fromkeys(members, 0)
        self.in_use: dict[str, dict[str, int]] = {name: {} for name in members}

    def exchange(self, name):
        holder = self.holders[name]
        use = ServiceUse(sum(self.in_use[name].values()), self.waiting[name])
        report = holder.make_report(self.now_s, {"s": use}, {})
        if not self.grantor.handle_report(self.now_s, report):
            return False
        members = self.grantor.unrecorded_members()
        if members is not None:
            self.grantor.confirm_recorded_members(members)
        grant = self.grantor.grant(self.now_s, name)
        assert grant is not None
        return holder.apply_grant(self.now_s, grant, self.in_use[name])

    def held(self, name):
        return sum(self.holders[name].held(self.now_s).values())

    def settle_only(self, name, rounds=3):
        for _ in range(rounds):
            self.exchange(name)

    def settle(self, rounds=3):
        for _ in range(rounds):
            for name in self.holders:
                self.exchange(name)


class TestDivision:
    @pytest.mark.parametrize("phase", [0.0, 0.3, 0.99])
    def test_parts_that_touch_sum_to_the_slots(self, phase):
        bounds = [(0.0, 0.05), (0.05, 0.4), (0.4, 0.41), (0.41, 1.0)]
        assert sum(divide_slots(8, phase, each) for each in bounds) == 8


class TestGrants:
    def test_all_slots_are_shared_by_demand(self):
        harness = CreditHarness()
        harness.waiting["a"] = 40
        harness.settle()
        total = SLOTS * len(UPSTREAMS)
        assert harness.held("a") + harness.held("b") == total
        assert harness.held("a") > harness.held("b")

    def test_idle_credits_move_to_a_new_hot_spot(self):
        harness = CreditHarness()
        harness.waiting["a"] = 40
        harness.settle()
        harness.waiting = {"a": 0, "b": 40}
        harness.exchange("b")
        harness.exchange("a")
        harness.exchange("a")
        harness.exchange("b")
        assert harness.held("b") > harness.held("a")

    def test_credits_in_use_are_kept_until_they_are_free(self):
        harness = CreditHarness()
        harness.waiting["a"] = 40
        harness.settle()
        harness.in_use["a"] = dict(harness.holders["a"].held(0.0))
        used = harness.held("a")
        harness.waiting = {"a": 0, "b": 400}
        harness.settle()
        assert harness.held("a") == used
        harness.in_use["a"] = {}
        assert harness.holders["a"].release_recalled_credits(0.0, {})
        assert harness.held("a") < used

    def test_a_member_that_is_not_recorded_gets_nothing(self):
        harness = CreditHarness()
        report = harness.holders["a"].make_report(0.0, {}, {})
        assert harness.grantor.handle_report(0.0, report)
        grant = harness.grantor.grant(0.0, "a")
        assert grant is not None
        assert not grant.credits_by_upstream


class TestDeath:
    def test_credits_of_a_dead_entry_are_free_only_after_its_lease(self):
        harness = CreditHarness()
        harness.settle()
        lost = harness.held("b")
        del harness.holders["b"]
        harness.waiting["a"] = 40
        total = SLOTS * len(UPSTREAMS)
        while harness.now_s < 10.4:
            harness.now_s += 0.1
            harness.grantor.renew(harness.now_s + AUTHORITY_S)
            harness.exchange("a")
            assert harness.held("a") <= total - lost
        harness.now_s = 10.6
        harness.exchange("a")
        assert harness.held("a") > total - lost

    def test_a_restarted_process_frees_what_its_predecessor_held(self):
        harness = CreditHarness()
        harness.settle()
        harness.holders["b"] = CreditHolder(SETTINGS, "b", 2)
        harness.waiting["a"] = 400
        harness.settle()
        assert harness.held("a") + harness.held("b") == SLOTS * len(UPSTREAMS)

    def test_an_entry_that_stops_frees_its_credits_at_once(self):
        harness = CreditHarness()
        harness.settle()
        last = harness.holders["b"].make_report(0.0, {}, {}, is_last=True)
        assert harness.grantor.handle_report(0.0, last)
        del harness.holders["b"]
        harness.exchange("a")
        assert harness.held("a") == SLOTS * len(UPSTREAMS)


class TestWithoutGrantor:
    def test_frozen_credits_are_kept_however_long_the_store_is_away(self):
        harness = CreditHarness()
        harness.settle()
        harness.grantor.freeze()
        harness.settle()
        held = harness.held("a"), harness.held("b")
        harness.now_s = 10_000.0
        assert (harness.held("a"), harness.held("b")) == held

    def test_a_new_grantor_grants_nothing_until_every_member_is_known(self):
        harness = CreditHarness()
        harness.settle()
        before = harness.held("a")
        harness.grantor = CreditGrantor(SETTINGS)
        harness.grantor.set_upstreams(upstream_vms())
        harness.grantor.begin_epoch(1.0, 2, 100.0, {"a": 1, "b": 1})
        harness.now_s = 1.0
        harness.waiting["a"] = 40
        for _ in range(5):
            harness.exchange("a")
        assert harness.held("a") == before
        harness.exchange("b")
        harness.settle()
        assert harness.held("a") > before

    def test_an_entry_ignores_the_grants_of_an_earlier_epoch(self):
        harness = CreditHarness()
        harness.settle()
        old = harness.grantor
        harness.grantor = CreditGrantor(SETTINGS)
        harness.grantor.set_upstreams(upstream_vms())
        harness.grantor.begin_epoch(1.0, 2, 100.0, {"a": 1, "b": 1})
        harness.exchange("a")
        report = harness.holders["a"].make_report(0.0, {}, {})
        assert not old.handle_report(0.0, report)

    def test_a_frozen_entry_is_not_lapsed_by_a_grant_that_it_never_got(self):
        harness = CreditHarness()
        harness.settle()
        harness.grantor.freeze()
        harness.settle()
        harness.grantor.renew(100.0)
        lost = harness.holders["b"].make_report(0.0, {}, {})
        assert harness.grantor.handle_report(0.0, lost)
        harness.grantor.grant(0.0, "b")
        harness.now_s = 50.0
        harness.waiting["a"] = 400
        harness.settle_only("a")
        assert harness.held("a") + harness.held("b") <= SLOTS * len(UPSTREAMS)

    def test_a_grantor_without_authority_takes_nothing_back(self):
        harness = CreditHarness()
        harness.settle()
        harness.now_s = 11.0
        kept = sum(harness.holders["b"].held(0.0).values())
        harness.waiting["a"] = 400
        harness.settle_only("a")
        assert kept > 0
        assert harness.held("a") <= SLOTS * len(UPSTREAMS) - kept

    def test_a_member_too_new_for_the_list_keeps_its_credits(self):
        harness = CreditHarness()
        harness.settle()
        harness.grantor.set_listed_entries(0.0, ["a"])
        harness.waiting["a"] = 400
        harness.settle_only("a")
        assert harness.held("a") + harness.held("b") <= SLOTS * len(UPSTREAMS)
        harness.grantor.set_listed_entries(121.0, ["a"])
        assert sum(harness.grantor.granted_by_upstream().values()) == harness.held("a")


class TestPausedEntry:
    def test_what_lapsed_in_a_pause_is_not_kept_by_a_late_grant(self):
        harness = CreditHarness()
        harness.settle()
        holder = harness.holders["b"]
        report = holder.make_report(9.9, {}, {})
        harness.grantor.renew(100.0)
        harness.waiting["a"] = 400
        harness.now_s = 10.6
        harness.settle_only("a")
        assert harness.grantor.handle_report(10.6, report)
        grant = harness.grantor.grant(10.6, "b")
        assert grant is not None
        holder.apply_grant(10.6, grant, report.held_by_upstream)
        assert harness.held("a") + harness.held("b") <= SLOTS * len(UPSTREAMS)

    def test_a_grant_that_arrives_after_its_lease_is_not_taken(self):
        harness = CreditHarness()
        harness.settle()
        report = harness.holders["b"].make_report(0.0, {}, {})
        assert harness.grantor.handle_report(0.0, report)
        grant = harness.grantor.grant(0.0, "b")
        assert grant is not None
        assert not harness.holders["b"].apply_grant(10.0, grant, {})
        assert not harness.holders["b"].held(10.0)

    def test_a_grant_of_an_earlier_epoch_is_not_taken(self):
        harness = CreditHarness()
        harness.settle()
        old = harness.grantor.grant(0.0, "a")
        assert old is not None
        harness.holders["a"].epoch = 2
        assert not harness.holders["a"].apply_grant(0.0, old, {})


class TestEveryInterleaving:
    @pytest.mark.parametrize("seed", range(40))
    def test_the_sum_never_exceeds_the_slots_and_recovers(self, seed):
        simulation = Simulation(seed)
        for step in range(1500):
            simulation.step()
            assert max(simulation.held_by_upstream().values()) <= SLOTS, (
                step,
                simulation.held_by_upstream(),
            )
        simulation.heal()
        assert max(simulation.held_by_upstream().values()) <= SLOTS
        if simulation.processes:
            assert simulation.held_by_upstream() == dict.fromkeys(UPSTREAMS, SLOTS)
