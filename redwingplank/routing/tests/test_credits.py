"""Slot credits: never above the slots in sum, and moved to where the demand is."""

import pytest

from redwingplank.routing.credit_division import divide_slots
from redwingplank.routing.credit_grantor import CreditGrantor
from redwingplank.routing.credit_holder import CreditHolder
from redwingplank.routing.credit_messages import CreditSettings, ServiceUse
from redwingplank.routing.tests.credits_world import SLOTS, UPSTREAMS, World, upstream_vms

SETTINGS = CreditSettings(lease_s=10.0, margin_s=0.5)
AUTHORITY_S = 3.0


class Pair:
    """A grantor with two holders and exchanges that always arrive."""

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
        pair = Pair()
        pair.waiting["a"] = 40
        pair.settle()
        total = SLOTS * len(UPSTREAMS)
        assert pair.held("a") + pair.held("b") == total
        assert pair.held("a") > pair.held("b")

    def test_idle_credits_move_to_a_new_hot_spot(self):
        pair = Pair()
        pair.waiting["a"] = 40
        pair.settle()
        pair.waiting = {"a": 0, "b": 40}
        pair.exchange("b")
        pair.exchange("a")
        pair.exchange("a")
        pair.exchange("b")
        assert pair.held("b") > pair.held("a")

    def test_credits_in_use_are_kept_until_they_are_free(self):
        pair = Pair()
        pair.waiting["a"] = 40
        pair.settle()
        pair.in_use["a"] = dict(pair.holders["a"].held(0.0))
        used = pair.held("a")
        pair.waiting = {"a": 0, "b": 400}
        pair.settle()
        assert pair.held("a") == used
        pair.in_use["a"] = {}
        assert pair.holders["a"].release_recalled_credits(0.0, {})
        assert pair.held("a") < used

    def test_a_member_that_is_not_recorded_gets_nothing(self):
        pair = Pair()
        report = pair.holders["a"].make_report(0.0, {}, {})
        assert pair.grantor.handle_report(0.0, report)
        grant = pair.grantor.grant(0.0, "a")
        assert grant is not None
        assert not grant.credits_by_upstream


class TestDeath:
    def test_credits_of_a_dead_entry_are_free_only_after_its_lease(self):
        pair = Pair()
        pair.settle()
        lost = pair.held("b")
        del pair.holders["b"]
        pair.waiting["a"] = 40
        total = SLOTS * len(UPSTREAMS)
        while pair.now_s < 10.4:
            pair.now_s += 0.1
            pair.grantor.renew(pair.now_s + AUTHORITY_S)
            pair.exchange("a")
            assert pair.held("a") <= total - lost
        pair.now_s = 10.6
        pair.exchange("a")
        assert pair.held("a") > total - lost

    def test_a_restarted_process_frees_what_its_predecessor_held(self):
        pair = Pair()
        pair.settle()
        pair.holders["b"] = CreditHolder(SETTINGS, "b", 2)
        pair.waiting["a"] = 400
        pair.settle()
        assert pair.held("a") + pair.held("b") == SLOTS * len(UPSTREAMS)

    def test_an_entry_that_stops_frees_its_credits_at_once(self):
        pair = Pair()
        pair.settle()
        last = pair.holders["b"].make_report(0.0, {}, {}, is_last=True)
        assert pair.grantor.handle_report(0.0, last)
        del pair.holders["b"]
        pair.exchange("a")
        assert pair.held("a") == SLOTS * len(UPSTREAMS)


class TestWithoutGrantor:
    def test_frozen_credits_are_kept_however_long_the_store_is_away(self):
        pair = Pair()
        pair.settle()
        pair.grantor.freeze()
        pair.settle()
        held = pair.held("a"), pair.held("b")
        pair.now_s = 10_000.0
        assert (pair.held("a"), pair.held("b")) == held

    def test_a_new_grantor_grants_nothing_until_every_member_is_known(self):
        pair = Pair()
        pair.settle()
        before = pair.held("a")
        pair.grantor = CreditGrantor(SETTINGS)
        pair.grantor.set_upstreams(upstream_vms())
        pair.grantor.begin_epoch(1.0, 2, 100.0, {"a": 1, "b": 1})
        pair.now_s = 1.0
        pair.waiting["a"] = 40
        for _ in range(5):
            pair.exchange("a")
        assert pair.held("a") == before
        pair.exchange("b")
        pair.settle()
        assert pair.held("a") > before

    def test_an_entry_ignores_the_grants_of_an_earlier_epoch(self):
        pair = Pair()
        pair.settle()
        old = pair.grantor
        pair.grantor = CreditGrantor(SETTINGS)
        pair.grantor.set_upstreams(upstream_vms())
        pair.grantor.begin_epoch(1.0, 2, 100.0, {"a": 1, "b": 1})
        pair.exchange("a")
        report = pair.holders["a"].make_report(0.0, {}, {})
        assert not old.handle_report(0.0, report)

    def test_a_frozen_entry_is_not_lapsed_by_a_grant_that_it_never_got(self):
        pair = Pair()
        pair.settle()
        pair.grantor.freeze()
        pair.settle()
        pair.grantor.renew(100.0)
        lost = pair.holders["b"].make_report(0.0, {}, {})
        assert pair.grantor.handle_report(0.0, lost)
        pair.grantor.grant(0.0, "b")
        pair.now_s = 50.0
        pair.waiting["a"] = 400
        pair.settle_only("a")
        assert pair.held("a") + pair.held("b") <= SLOTS * len(UPSTREAMS)

    def test_a_grantor_without_authority_takes_nothing_back(self):
        pair = Pair()
        pair.settle()
        pair.now_s = 11.0
        kept = sum(pair.holders["b"].held(0.0).values())
        pair.waiting["a"] = 400
        pair.settle_only("a")
        assert kept > 0
        assert pair.held("a") <= SLOTS * len(UPSTREAMS) - kept

    def test_a_member_too_new_for_the_list_keeps_its_credits(self):
        pair = Pair()
        pair.settle()
        pair.grantor.set_listed_entries(0.0, ["a"])
        pair.waiting["a"] = 400
        pair.settle_only("a")
        assert pair.held("a") + pair.held("b") <= SLOTS * len(UPSTREAMS)
        pair.grantor.set_listed_entries(121.0, ["a"])
        assert sum(pair.grantor.granted_by_upstream().values()) == pair.held("a")


class TestPausedEntry:
    def test_what_lapsed_in_a_pause_is_not_kept_by_a_late_grant(self):
        pair = Pair()
        pair.settle()
        holder = pair.holders["b"]
        report = holder.make_report(9.9, {}, {})
        pair.grantor.renew(100.0)
        pair.waiting["a"] = 400
        pair.now_s = 10.6
        pair.settle_only("a")
        assert pair.grantor.handle_report(10.6, report)
        grant = pair.grantor.grant(10.6, "b")
        assert grant is not None
        holder.apply_grant(10.6, grant, report.held_by_upstream)
        assert pair.held("a") + pair.held("b") <= SLOTS * len(UPSTREAMS)

    def test_a_grant_that_arrives_after_its_lease_is_not_taken(self):
        pair = Pair()
        pair.settle()
        report = pair.holders["b"].make_report(0.0, {}, {})
        assert pair.grantor.handle_report(0.0, report)
        grant = pair.grantor.grant(0.0, "b")
        assert grant is not None
        assert not pair.holders["b"].apply_grant(10.0, grant, {})
        assert not pair.holders["b"].held(10.0)

    def test_a_grant_of_an_earlier_epoch_is_not_taken(self):
        pair = Pair()
        pair.settle()
        old = pair.grantor.grant(0.0, "a")
        assert old is not None
        pair.holders["a"].epoch = 2
        assert not pair.holders["a"].apply_grant(0.0, old, {})


class TestEveryInterleaving:
    @pytest.mark.parametrize("seed", range(40))
    def test_the_sum_never_exceeds_the_slots_and_recovers(self, seed):
        world = World(seed)
        for step in range(1500):
            world.step()
            assert max(world.sums().values()) <= SLOTS, (step, world.sums())
        world.heal()
        assert max(world.sums().values()) <= SLOTS
        if world.processes:
            assert world.sums() == dict.fromkeys(UPSTREAMS, SLOTS)
