"""Calls for advice of small, urgent steps beside those of large ones."""

import heapq

from redwingplank.batch.lanes import AdviceBalancer

NODES = ["own", "near", "far"]
SHORT_S, LONG_S = 0.04, 0.5


def play(lanes: AdviceBalancer, calls: list[tuple[float, float]]) -> dict[float, float]:
    """Return how long each short call took, by when it was sent; nodes answer in turn."""
    free_s = dict.fromkeys(NODES, 0.0)
    open_calls: list[tuple[float, str, float]] = []
    took_s = {}
    for sent_s, work_s in calls:
        while open_calls and open_calls[0][0] <= sent_s:
            _, node, done_s = heapq.heappop(open_calls)
            lanes.record_call_end(node, done_s)
        node = lanes.choose(NODES, work_s, sent_s)
        lanes.record_call_start(node, work_s)
        free_s[node] = max(free_s[node], sent_s) + work_s
        heapq.heappush(open_calls, (free_s[node], node, work_s))
        if work_s == SHORT_S:
            took_s[sent_s] = free_s[node] - sent_s
    return took_s


class TestTakeover:
    """After a takeover every open step asks anew, large ones before small ones."""

    calls = [(0.0, LONG_S)] * 9 + [(0.01 + 0.1 * number, SHORT_S) for number in range(12)]

    def test_short_calls_do_not_wait_for_long_ones(self):
        assert max(play(AdviceBalancer(), self.calls).values()) <= 2 * SHORT_S

    def test_the_plain_order_makes_them_wait(self):
        plain = play(AdviceBalancer(long_call_s=float("inf")), self.calls)
        assert max(plain.values()) > LONG_S


class TestChoice:
    def test_the_least_busy_node_is_asked(self):
        lanes = AdviceBalancer()
        lanes.record_call_start("own", SHORT_S)
        assert lanes.choose(NODES, SHORT_S, 0.0) == "near"

    def test_a_node_that_failed_is_left_out_for_a_while(self):
        lanes = AdviceBalancer()
        lanes.failed("own", 0.0)
        assert lanes.choose(NODES, SHORT_S, 0.5) == "near"
        assert lanes.choose(NODES, SHORT_S, 1.5) == "own"

    def test_where_all_failed_the_own_node_is_asked(self):
        lanes = AdviceBalancer()
        for node in NODES:
            lanes.failed(node, 0.0)
        assert lanes.choose(NODES, SHORT_S, 0.5) == "own"

    def test_a_long_call_goes_through_a_single_node(self):
        lanes = AdviceBalancer()
        assert lanes.choose(["own"], LONG_S, 0.0) == "own"
        lanes.record_call_start("own", LONG_S)
        assert lanes.choose(["own"], LONG_S, 0.0) == "own"

    def test_a_call_waits_for_those_before_it(self):
        lanes = AdviceBalancer()
        lanes.record_call_start("own", LONG_S)
        assert lanes.record_call_start("own", SHORT_S) == LONG_S + SHORT_S
