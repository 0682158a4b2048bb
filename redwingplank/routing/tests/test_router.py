"""Decisions of the router on a fake time."""

import pytest

from redwingplank.config import DeadlineClass, Declarations, Organisation, Service, WorkloadKind
from redwingplank.platform import ListedVm, VmRole, VmState
from redwingplank.routing import (
    FailureKind,
    Forward,
    PeerLoad,
    Route,
    RouteRequest,
    RouterSettings,
    Shed,
    ShedReason,
    Wait,
    make_router,
)

DOMAIN = "d1"


def upstream(name, domain=DOMAIN, state=VmState.LIVE, slots=1):
    address = f"{name}:80"
    return ListedVm(
        name,
        VmRole.UPSTREAM,
        domain,
        "r",
        address,
        state,
        service="s",
        slots=slots,
        connections=9999,
    )


def service(name, deadline_class=DeadlineClass.STANDARD, **values):
    return Service(
        name,
        "t",
        WorkloadKind.REQUEST,
        upstream_service="s",
        deadline_class=deadline_class,
        **values,
    )


SERVICES = {
    each.name: each
    for each in (
        service("urgent", DeadlineClass.URGENT),
        service("standard"),
        service("bulk", DeadlineClass.BULK),
        service("low", priority=1),
        service("hedged", is_hedged=True),
    )
}


class Desk:
    """A router with upstreams and a count of requests."""

    def __init__(self, *upstreams, shares=None, **settings):
        self.router = make_router(RouterSettings(failure_domain=DOMAIN, **settings), 0.0)
        organisations = {
            name: Organisation(name, share, None, SERVICES)
            for name, share in (shares or {"a": 100, "b": 100}).items()
        }
        self.router.set_declarations(Declarations(1, organisations))
        self.router.set_upstreams(0.0, tuple(upstreams))
        self.count = 0

    def ask(self, now_s, name="standard", organisation="a", timeout_s=10.0, **values):
        self.count += 1
        request = RouteRequest(f"r{self.count}", organisation, name, now_s + timeout_s, **values)
        return self.router.decide(now_s, request)

    def serve(self, now_s, service_s=0.1, **values):
        route = self.ask(now_s, **values)
        self.router.record_start(now_s, route)
        self.router.record_success(now_s + service_s, route)
        return route


class TestSlots:
    def test_requests_wait_and_are_released_by_a_freed_slot(self):
        desk = Desk(upstream("u1"))
        route = desk.ask(0.0)
        waiting = desk.ask(0.0)
        assert isinstance(waiting, Wait)
        assert desk.router.decide_waiting(0.0) == ()
        desk.router.record_success(0.1, route)
        assert [each.request_id for each in desk.router.decide_waiting(0.1)] == [waiting.request_id]

    def test_without_credits_nothing_is_sent(self):
        desk = Desk(upstream("u1", slots=8), uses_credits=True)
        assert isinstance(desk.ask(0.0), Wait)
        desk.router.set_credits(0.1, {"u1": 1})
        assert len(desk.router.decide_waiting(0.1)) == 1
        assert isinstance(desk.ask(0.1), Wait)


class TestLeaving:
    def test_own_word_holds_against_a_list_that_lags(self):
        desk = Desk(upstream("u1"), upstream("u2"))
        desk.router.mark_leaving(0.0, "u1")
        for now_s in (0.1, 30.0, 60.0):
            desk.router.set_upstreams(now_s, (upstream("u1"), upstream("u2")))
            assert desk.serve(now_s).upstream == "u2"

    @pytest.mark.parametrize("listed", [(), (upstream("u1", state=VmState.LEAVING),)])
    def test_the_list_takes_it_out_and_requests_in_flight_end(self, listed):
        desk = Desk(upstream("u1"), upstream("u2"))
        routes = [desk.ask(0.0), desk.ask(0.0)]
        desk.router.set_upstreams(0.1, (*listed, upstream("u2")))
        for route in routes:
            desk.router.record_success(0.2, route)
        assert desk.router.in_flight_count == 0
        assert {desk.serve(0.3 + step).upstream for step in range(5)} == {"u2"}

    def test_a_refused_connection_blocks_it_at_once(self):
        desk = Desk(upstream("u1"), upstream("u2"))
        route = desk.ask(0.0)
        desk.router.record_failure(0.0, route, FailureKind.NOT_CONNECTED)
        others = [desk.serve(0.01 * step) for step in range(1, 5)]
        assert route.upstream not in {each.upstream for each in others}


class TestOutliers:
    def test_never_more_than_half_are_ejected(self):
        desk = Desk(*(upstream(f"u{number}") for number in range(4)))
        ejections = 0
        for step in range(200):
            route = desk.ask(0.001 * step)
            ejections += desk.router.record_failure(0.001 * step, route, FailureKind.CUT)
        assert ejections == 2
        assert isinstance(desk.ask(0.3), Route)

    def test_it_returns_by_slow_start(self):
        desk = Desk(upstream("u1", slots=8), max_ejected_fraction=0.99, eject_failures=1)
        desk.router.set_upstreams(0.0, (upstream("u1", slots=8), upstream("u2", slots=8)))
        route = desk.ask(0.0)
        assert desk.router.record_failure(0.0, route, FailureKind.CUT)
        routes = [desk.ask(1.1) for _ in range(16)]
        counts = [each.upstream for each in routes if isinstance(each, Route)]
        assert counts.count(route.upstream) == 1
        later = [desk.ask(7.0) for _ in range(7)]
        assert {each.upstream for each in later if isinstance(each, Route)} == {route.upstream}


class TestAdmission:
    def test_what_would_come_too_late_is_shed_with_a_time_to_retry(self):
        desk = Desk(upstream("u1"))
        desk.serve(0.0, service_s=1.0)
        desk.ask(1.0)
        shed = desk.ask(1.0, timeout_s=0.5)
        assert (type(shed), shed.reason) == (Shed, ShedReason.DEADLINE)
        assert 0.1 <= shed.retry_after_s <= 30.0

    def test_a_waiting_request_is_shed_once_it_would_be_late(self):
        desk = Desk(upstream("u1"))
        desk.serve(0.0, service_s=0.1)
        desk.ask(1.0)
        waiting = desk.ask(1.0, timeout_s=0.5)
        assert isinstance(waiting, Wait)
        released = desk.router.decide_waiting(1.45)
        assert [each.reason for each in released] == [ShedReason.DEADLINE]

    def test_the_least_urgent_gives_way_when_the_queue_is_full(self):
        desk = Desk(upstream("u1"), max_waiting=8, shares={"a": 1, "b": 1, "c": 1})
        desk.ask(0.0)
        bulk = [desk.ask(0.0, "bulk", organisation=name) for name in "ab" for _ in range(4)]
        assert {type(each) for each in bulk} == {Wait}
        assert desk.ask(0.0, "bulk", organisation="c").reason is ShedReason.QUEUE_FULL
        assert isinstance(desk.ask(0.0, "urgent", organisation="c"), Wait)
        assert [each.reason for each in desk.router.decide_waiting(0.0)] == [ShedReason.DISPLACED]

    def test_urgent_requests_are_served_first(self):
        desk = Desk(upstream("u1"))
        route = desk.ask(0.0)
        desk.ask(0.0, "bulk")
        urgent = desk.ask(0.0, "urgent")
        desk.router.record_success(0.1, route)
        assert desk.router.decide_waiting(0.1)[0].request_id == urgent.request_id

    def test_organisations_are_served_by_their_shares(self):
        desk = Desk(upstream("u1"), shares={"a": 300, "b": 100})
        route, served = desk.ask(0.0), []
        for _ in range(200):
            desk.ask(0.0, organisation="a", timeout_s=1e6)
            desk.ask(0.0, organisation="b", timeout_s=1e6)
        owner = {f"r{number}": "a" if number % 2 == 0 else "b" for number in range(2, 402)}
        for step in range(200):
            desk.router.record_success(0.1 * step, route)
            (route,) = desk.router.decide_waiting(0.1 * step)
            served.append(owner[route.request_id])
        assert 140 <= served.count("a") <= 160

    def test_no_upstream_is_told_at_once(self):
        shed = Desk().ask(0.0)
        assert shed.reason is ShedReason.NO_UPSTREAM
        assert shed.retry_after_s > 0


class TestRetries:
    def test_they_are_bounded_by_the_first_attempts(self):
        desk = Desk(upstream("u1", slots=10_000))
        firsts = [desk.ask(0.0) for _ in range(1000)]
        retries = [desk.ask(0.0, attempt=2) for _ in range(1000)]
        allowed = sum(isinstance(each, Route) for each in retries)
        assert {type(each) for each in firsts} == {Route}
        assert allowed == 10
        assert retries[-1].reason is ShedReason.RETRY_BUDGET

    def test_a_hedge_never_waits_and_goes_elsewhere(self):
        desk = Desk(upstream("u1"), upstream("u2"))
        first = desk.ask(0.0, "hedged")
        used = frozenset({first.upstream})
        hedge = desk.ask(0.0, "hedged", is_hedge=True, attempt=2, excluded=used)
        assert hedge.upstream != first.upstream
        assert isinstance(desk.ask(0.0, "hedged", is_hedge=True, attempt=2), Shed)

    def test_the_hedge_delay_is_learnt(self):
        desk = Desk(upstream("u1"))
        assert desk.serve(0.0, name="hedged").hedge_after_s == float("inf")
        for step in range(1, 40):
            desk.serve(step, service_s=0.01 * step, name="hedged")
        assert 0.3 <= desk.ask(50.0, "hedged").hedge_after_s <= 0.4


class TestChoice:
    def test_a_quick_request_waits_for_the_faster_upstream(self):
        desk = Desk(upstream("fast", slots=8), upstream("slow", slots=8))
        for step in range(200):
            route = desk.ask(step, "urgent")
            desk.router.record_start(step, route)
            desk.router.record_success(step + (0.1 if route.upstream == "fast" else 0.8), route)
        routes = [desk.ask(300.0, "urgent") for _ in range(9)]
        assert {each.upstream for each in routes[:8]} == {"fast"}
        assert isinstance(routes[8], Wait)

    def test_another_failure_domain_is_used_only_for_the_deadline(self):
        desk = Desk(upstream("near"), upstream("far", domain="d2"))
        desk.serve(0.0, service_s=1.0)
        assert desk.ask(2.0).upstream == "near"
        assert isinstance(desk.ask(2.0, timeout_s=60.0), Wait)
        assert desk.ask(2.0, timeout_s=1.5).upstream == "far"


class TestHandingOn:
    def test_a_full_entry_hands_on_to_one_with_idle_credits(self):
        desk = Desk(upstream("u1"))
        desk.ask(0.0)
        desk.router.set_peers(0.0, [PeerLoad("e2", {"s": 2}), PeerLoad("e3", {"s": 0})])
        decisions = [desk.ask(0.1) for _ in range(3)]
        assert decisions[:2] == [Forward("r2", "e2"), Forward("r3", "e2")]
        assert isinstance(decisions[2], Wait)

    def test_a_request_is_handed_on_once_only(self):
        desk = Desk(upstream("u1"))
        desk.ask(0.0)
        desk.router.set_peers(0.0, [PeerLoad("e2", {"s": 2})])
        assert isinstance(desk.ask(0.1, hops=1), Wait)

    def test_an_old_word_is_not_used(self):
        desk = Desk(upstream("u1"))
        desk.ask(0.0)
        desk.router.set_peers(0.0, [PeerLoad("e2", {"s": 2})])
        assert isinstance(desk.ask(1.5), Wait)


class TestHedgeBesideASlowUpstream:
    def test_goes_to_the_slow_one_while_the_fast_one_is_silent(self):
        desk = Desk(upstream("fast", slots=4), upstream("slow", slots=4))
        now_s = 0.0
        for _ in range(60):
            now_s += 10.0
            route = desk.ask(now_s, "hedged")
            desk.router.record_start(now_s, route)
            service_s = 0.1 if route.upstream == "fast" else 1.0
            desk.router.record_success(now_s + service_s, route)
        silent = desk.ask(now_s, "hedged")
        while silent.upstream != "fast":
            silent = desk.ask(now_s, "hedged")
        hedge = desk.ask(now_s + 0.2, "hedged", excluded=frozenset({"fast"}), is_hedge=True)
        assert isinstance(hedge, Route)
        assert hedge.upstream == "slow"
