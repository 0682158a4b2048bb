import pytest

from benchmarks.request_simulation import ONLY_QUOTES, RequestLoad, RequestSimulation


class TestRetryStorm:
    @pytest.mark.parametrize("are_callers_patient", [True, False])
    def test_goodput_stays_near_capacity_at_three_times_the_load(self, are_callers_patient):
        offered = RequestLoad(
            3.0,
            duration_s=3.0,
            kinds=ONLY_QUOTES,
            max_tries=10,
            are_callers_patient=are_callers_patient,
        )
        result = RequestSimulation(offered, "expected_finish").run()
        capacity = offered.capacity_per_s() * offered.duration_s
        assert result.counts["answered_in_run"] >= 0.9 * capacity
        assert result.max_in_flight <= 8


class TestQuickQuotes:
    def test_the_same_seed_gives_the_same_answers(self):
        offered = RequestLoad(0.8, duration_s=2.0)
        runs = [RequestSimulation(offered, "expected_finish", 3).run() for _ in range(2)]
        assert runs[0].answers_s == runs[1].answers_s

    @pytest.mark.parametrize("load", [0.8, 1.2])
    def test_they_are_answered_earlier_than_by_the_baselines(self, load):
        offered = RequestLoad(load, duration_s=5.0)

        def p99_s(policy):
            result = RequestSimulation(offered, policy).run()
            return result.percentile_s(result.answers_s, "quick", 99)

        baselines = ("round_robin", "random", "least_in_flight")
        assert p99_s("expected_finish") < min(p99_s(policy) for policy in baselines)
