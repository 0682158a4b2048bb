"""Request routing: cost of a decision, waiting time of quick quotes, goodput, credit moves."""

import time
from functools import cache

from benchmarks.credit_domain import CreditMove, measure_credit_move
from benchmarks.measure import LatencyHistogram
from benchmarks.request_simulation import (
    ONLY_QUOTES,
    RequestLoad,
    RequestSimulation,
    SimulationResult,
)
from redwingplank.core import format_event
from redwingplank.routing import Decision, RouteRequest
from redwingplank.routing.decision_log import decision_fields

__all__ = ["CreditMoves", "DecisionCost", "QuickQuotes", "RetryStorm"]

BASELINES = ("round_robin", "random", "least_in_flight")
LOADS = [0.5, 0.8, 0.95, 1.2]
QUOTES_DURATION_S = 30.0
STORM_DURATION_S = 5.0
SEED = 1
DECISIONS = 20_000
SLOWDOWN_FACTORS = (0.5, 1.0, 1.0, 2.0)
US_PER_S = 1e6


class DecisionCost:
    """Duration of one routing decision, including its formatted log line, at 80 % load."""

    params = [8, 24, 460]
    param_names = ["upstreams"]

    def track_decision(self, upstreams: int) -> dict[str, float]:
        """Return percentiles over all decisions of a run, in microseconds."""
        slowdown_factors = tuple(
            SLOWDOWN_FACTORS[number % len(SLOWDOWN_FACTORS)] for number in range(upstreams)
        )
        offered = RequestLoad(0.8, duration_s=1.0, slowdown_factors=slowdown_factors)
        duration_s = DECISIONS / (offered.load * offered.capacity_per_s())
        offered = RequestLoad(0.8, duration_s=duration_s, slowdown_factors=slowdown_factors)
        simulation = RequestSimulation(offered, "expected_finish", SEED)
        histogram = LatencyHistogram()
        decide = simulation.decide

        def decide_timed(now_s: float, request: RouteRequest) -> Decision:
            started_s = time.perf_counter()
            decision = decide(now_s, request)
            format_event("request_decided", decision_fields(request, decision))
            histogram.record_s(time.perf_counter() - started_s)
            return decision

        simulation.decide = decide_timed
        simulation.run()
        return {
            "median": histogram.percentile_s(50) * US_PER_S,
            "p99": histogram.percentile_s(99) * US_PER_S,
        }

    track_decision.unit = "us"


class QuickQuotes:
    """Waiting time of quick quotes that compete with full estimates.

    The upstreams differ in speed by up to a factor of four.

    Notes
    -----
    The waiting time of a quote is measured from the request to the complete answer. The policy may
    let a quote wait for a fast upstream while a slow one is free, so the time to the start at an
    upstream, which is tracked as well, does not show when the caller gets the answer. The baselines
    use the same admission and queues.
    """

    params = LOADS
    param_names = ["load"]

    def track_answer_p99(self, load: float) -> dict[str, float]:
        """Return the 99th percentile from request to answer, by policy."""
        return {name: _answer_p99_ms(name, load) for name in ("expected_finish", *BASELINES)}

    track_answer_p99.unit = "ms"

    def track_answer_p99_over_best_baseline(self, load: float) -> float:
        """Return the 99th percentile of this policy divided by that of the best baseline."""
        return _answer_p99_ms("expected_finish", load) / min(
            _answer_p99_ms(name, load) for name in BASELINES
        )

    def track_start_p99(self, load: float) -> dict[str, float]:
        """Return the 99th percentile from request to start at an upstream, by policy."""
        return {
            name: _run(name, load).percentile_s(_run(name, load).waits_s, "quick", 99) * 1000
            for name in ("expected_finish", *BASELINES)
        }

    track_start_p99.unit = "ms"

    def track_estimate_answer_p99(self, load: float) -> dict[str, float]:
        """Return the 99th percentile of full estimates from request to answer, by policy."""
        return {
            name: _run(name, load).percentile_s(_run(name, load).answers_s, "estimate", 99) * 1000
            for name in ("expected_finish", *BASELINES)
        }

    track_estimate_answer_p99.unit = "ms"

    def track_shed_fraction(self, load: float) -> dict[str, float]:
        """Return the fraction of all requests that were shed, by policy."""
        return {
            name: _run(name, load).counts["given_up"] / _run(name, load).counts["tries"]
            for name in ("expected_finish", *BASELINES)
        }


class RetryStorm:
    """Callers that make up to ten attempts, at three times the load that upstreams can serve."""

    params = [True, False]
    param_names = ["are_callers_patient"]

    def track_goodput_over_capacity(self, are_callers_patient: bool) -> float:
        """Return the answers within the run, divided by the capacity of the upstreams."""
        offered = RequestLoad(
            3.0,
            duration_s=STORM_DURATION_S,
            kinds=ONLY_QUOTES,
            max_tries=10,
            are_callers_patient=are_callers_patient,
        )
        result = RequestSimulation(offered, "expected_finish", SEED).run()
        return result.counts["answered_in_run"] / (offered.capacity_per_s() * STORM_DURATION_S)


class CreditMoves:
    """Time until credits move from idle entries to one that becomes hot, in virtual time.

    Notes
    -----
    The benchmark runs the credit exchange code of an entry; a message takes 1.5 ms one way.
    """

    params = [[2, 3, 9], [8, 24, 460]]
    param_names = ["entries", "upstreams"]

    def track_move_time(self, entries: int, upstreams: int) -> float:
        """Return the milliseconds until the hot entry uses nine tenths of its final slots."""
        return _measure_move(entries, upstreams).duration_s * 1000

    track_move_time.unit = "ms"

    def track_most_held_over_slots(self, entries: int, upstreams: int) -> float:
        """Return the highest sum of the credits for an upstream, divided by its slots."""
        return _measure_move(entries, upstreams).most_over_slots

    def track_part_of_slots(self, entries: int, upstreams: int) -> float:
        """Return the fraction of all slots that the hot entry uses at the end."""
        return _measure_move(entries, upstreams).final_part


@cache
def _measure_move(entries: int, upstreams: int) -> CreditMove:
    return measure_credit_move(entries, upstreams)


@cache
def _run(policy: str, load: float) -> SimulationResult:
    offered = RequestLoad(load, duration_s=QUOTES_DURATION_S)
    return RequestSimulation(offered, policy, SEED).run()


def _answer_p99_ms(policy: str, load: float) -> float:
    result = _run(policy, load)
    return result.percentile_s(result.answers_s, "quick", 99) * 1000
