"""Tests of the choice of a node for calls to the advice service."""

import heapq

from redwingplank.batch.advice_balancer import AdviceBalancer

NODES = ["own", "near", "far"]
SHORT_S, LONG_S = 0.04, 0.5


def simulate_calls(
    balancer: AdviceBalancer, calls: list[tuple[float, float]]
) -> dict[float, float]:
    """Return the duration of each short call, by the time at which it was sent.

    The calls of one node are answered one after the other.
    """
    free_s = dict.fromkeys(NODES, 0.0)
    open_calls: list[tuple[float, str, float]] = []
    duration_s_by_sent_s = {}
    for sent_s, work_s in calls:
        while open_calls and open_calls[0][0] <= sent_s:
            _, node, done_work_s = heapq.heappop(open_calls)
            balancer.record_call_end(node, done_work_s)
        node = balancer.choose(NODES, work_s, sent_s)
        balancer.record_call_start(node, work_s)
        free_s[node] = max(free_s[node], sent_s) + work_s
        heapq.heappush(open_calls, (free_s[node], node, work_s))
        if work_s == SHORT_S:
            duration_s_by_sent_s[sent_s] = free_s[node] - sent_s
    return duration_s_by_sent_s


class TestTakeover:
    """Short calls must not wait for long ones when a new owner requests all tickets again.

    After a takeover every open step sends a call, large steps before small ones.
    """

    calls = [(0.0, LONG_S)] * 9 + [(0.01 + 0.1 * number, SHORT_S) for number in range(12)]

    def test_short_calls_do_not_wait_for_long_ones(self):
        assert max(simulate_calls(AdviceBalancer(), self.calls).values()) <= 2 * SHORT_S

    def test_the_plain_order_makes_them_wait(self):
        plain = simulate_calls(AdviceBalancer(long_call_s=float("inf")), self.calls)
        assert max(plain.values()) > LONG_S


class TestChoice:
    def test_the_least_busy_node_is_asked(self):
        balancer = AdviceBalancer()
        balancer.record_call_start("own", SHORT_S)
        assert balancer.choose(NODES, SHORT_S, 0.0) == "near"

    def test_a_node_that_failed_is_left_out_for_a_while(self):
        balancer = AdviceBalancer()
        balancer.record_failure("own", 0.0)
        assert balancer.choose(NODES, SHORT_S, 0.5) == "near"
        assert balancer.choose(NODES, SHORT_S, 1.5) == "own"

    def test_where_all_failed_the_own_node_is_asked(self):
        balancer = AdviceBalancer()
        for node in NODES:
            balancer.record_failure(node, 0.0)
        assert balancer.choose(NODES, SHORT_S, 0.5) == "own"

    def test_a_long_call_goes_through_a_single_node(self):
        balancer = AdviceBalancer()
        assert balancer.choose(["own"], LONG_S, 0.0) == "own"
        balancer.record_call_start("own", LONG_S)
        assert balancer.choose(["own"], LONG_S, 0.0) == "own"

    def test_a_call_waits_for_those_before_it(self):
        balancer = AdviceBalancer()
        balancer.record_call_start("own", LONG_S)
        assert balancer.record_call_start("own", SHORT_S) == LONG_S + SHORT_S
