import numpy as np
import pytest

from redwingplank.scheduling.messages import OwnershipMode
from redwingplank.scheduling.ownership import (
    LeaseSettings,
    OwnerRecord,
    OwnershipActionKind,
    OwnerView,
    ShardOwnership,
    ShardTerm,
    SuccessorRecord,
)

NO_OWNER = OwnerView(None)
TERM = ShardTerm(epoch=3, epoch_revision=7, lease_id=9, nonce="n")


def make_candidate(address="a:1", seed=1, **settings):
    return ShardOwnership(LeaseSettings(**settings), address, np.random.default_rng(seed), 0.0)


def make_owner(sent_at_s=10.0, **settings):
    owner = make_candidate(**settings)
    owner.acquired(sent_at_s, 3.0, TERM)
    return owner


class TestOwner:
    def test_counts_its_lease_from_before_the_call(self):
        owner = make_owner(sent_at_s=10.0, clock_margin_s=0.1, clock_rate_error=0.01)
        assert owner.valid_until_s == pytest.approx(10.0 + 2.97 - 0.1)
        owner.renewed(sent_at_s=11.0, remaining_s=3.0)
        assert owner.valid_until_s == pytest.approx(11.0 + 2.97 - 0.1)

    def test_stops_before_a_clock_at_another_rate_ends_the_lease(self):
        owner = make_owner(sent_at_s=0.0)
        store_clock_rate = 1.01
        assert owner.valid_until_s * store_clock_rate < 3.0

    def test_is_degraded_for_a_bounded_time(self):
        owner = make_owner(degraded_bound_s=60.0)
        end_s = owner.valid_until_s
        assert owner.mode(end_s - 0.001) is OwnershipMode.OWNING
        for now_s in (end_s, end_s + 59.9):
            owner.renew_failed(now_s)
            assert owner.mode(now_s) is OwnershipMode.DEGRADED
        assert owner.mode(end_s + 60.0) is OwnershipMode.LOST
        assert owner.next_action(end_s + 60.0).kind is OwnershipActionKind.NONE

    def test_starts_nothing_once_the_store_says_that_the_lease_is_over(self):
        owner = make_owner(sent_at_s=10.0)
        owner.lapsed(10.5)
        assert owner.mode(10.5) is OwnershipMode.DEGRADED
        assert owner.next_action(10.5).kind is OwnershipActionKind.REACQUIRE
        owner.reacquired(11.0, 3.0, TERM)
        assert owner.mode(11.1) is OwnershipMode.OWNING
        assert owner.next_action(11.1).kind is OwnershipActionKind.RENEW

    def test_a_lapse_does_not_lengthen_the_degraded_time(self):
        owner = make_owner(degraded_bound_s=60.0)
        end_s = owner.valid_until_s
        owner.lapsed(end_s + 50.0)
        assert owner.mode(end_s + 60.0) is OwnershipMode.LOST

    def test_is_lost_by_a_higher_epoch(self):
        owner = make_owner()
        owner.superseded()
        assert owner.mode(10.1) is OwnershipMode.LOST
        owner.leave(10.1)
        assert owner.next_action(60.0).kind is OwnershipActionKind.OBSERVE

    def test_renews_but_starts_nothing_while_it_stops(self):
        owner = make_owner()
        owner.begin_stop()
        assert owner.mode(10.1) is OwnershipMode.STOPPING
        assert owner.next_action(10.1).kind is OwnershipActionKind.RENEW


class TestCandidate:
    def test_waits_for_a_living_owner(self):
        candidate = make_candidate()
        candidate.observed(0.0, OwnerView(OwnerRecord(1, "b:1", "x")))
        action = candidate.next_action(0.0)
        assert action.kind is OwnershipActionKind.OBSERVE
        assert 1.0 <= action.due_s <= 2.0

    def test_tries_to_win_soon_after_the_owner_is_gone(self):
        candidate = make_candidate()
        candidate.observed(5.0, NO_OWNER)
        action = candidate.next_action(5.0)
        assert action.kind is OwnershipActionKind.ACQUIRE
        assert 5.0 <= action.due_s <= 5.3

    def test_gives_up_when_another_one_won_during_its_wait(self):
        candidate = make_candidate()
        candidate.observed(5.0, NO_OWNER)
        candidate.observed(5.1, OwnerView(OwnerRecord(2, "b:1", "x")))
        assert candidate.next_action(5.1).kind is OwnershipActionKind.OBSERVE

    def test_leaves_a_hand_over_to_the_named_successor(self):
        view = OwnerView(None, SuccessorRecord(4, "b:1"))
        named, other = make_candidate("b:1"), make_candidate("c:1")
        named.observed(5.0, view)
        other.observed(5.0, view)
        assert named.next_action(5.0).due_s == 5.0
        assert other.next_action(5.0).due_s >= 6.0

    def test_candidates_do_not_return_to_the_store_in_step(self):
        candidates = [make_candidate(seed=seed) for seed in range(135)]
        for candidate in candidates:
            for _ in range(8):
                candidate.observe_failed(100.0)
        due = [candidate.next_action(100.0).due_s for candidate in candidates]
        busiest = max(np.histogram(due, bins=np.arange(100.0, 103.1, 0.1))[0])
        assert min(due) >= 101.5 and max(due) <= 103.0
        assert busiest <= 25
