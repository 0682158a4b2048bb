"""The bounds of all benchmarks, each with the statement of the target that requires it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from benchmarks.measure import Metric

__all__ = ["BOUNDS", "Bound", "CheckedMetric", "check_metrics"]


@dataclass(frozen=True)
class Bound:
    """A limit on one metric.

    Parameters
    ----------
    benchmark : str
        ``"MODULE.CLASS"``.
    metric : str
        Name of the metric.
    limit : float
        The largest or smallest allowed value, in the unit of the metric.
    source : str
        The statement of the target that requires this limit.
    is_minimum : bool
        Whether the limit is a minimum instead of a maximum.
    parameters : mapping of str to value
        Parameter values for which the bound applies; if empty, it applies to all.
    """

    benchmark: str
    metric: str
    limit: float
    source: str
    is_minimum: bool = False
    parameters: Mapping[str, Any] = field(default_factory=dict)

    def applies_to(self, benchmark: str, metric: Metric) -> bool:
        """Return whether the bound applies to this metric of this benchmark."""
        return (
            benchmark == self.benchmark
            and metric.name == self.metric
            and all(metric.parameters.get(name) == value for name, value in self.parameters.items())
        )

    def is_kept(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        return value >= self.limit if self.is_minimum else value <= self.limit

    def margin(self, value: float) -> float:
        """Return the distance to the limit as a fraction of it; negative beyond the bound."""
        if self.limit == 0:
            return 0.0 if self.is_kept(value) else -1.0
        distance = value - self.limit if self.is_minimum else self.limit - value
        return distance / abs(self.limit)


@dataclass(frozen=True)
class CheckedMetric:
    """A metric with the bounds that apply to it."""

    metric: Metric
    bounds: tuple[Bound, ...]

    @property
    def is_ok(self) -> bool:
        """Whether the value is within all of its bounds."""
        return all(bound.is_kept(self.metric.value) for bound in self.bounds)


def check_metrics(
    benchmark: str, metrics: Iterable[Metric], bounds: Iterable[Bound]
) -> list[CheckedMetric]:
    """Return each metric with the bounds that apply to it."""
    all_bounds = tuple(bounds)
    return [
        CheckedMetric(
            metric, tuple(bound for bound in all_bounds if bound.applies_to(benchmark, metric))
        )
        for metric in metrics
    ]


_TICK_TIME = "one owner of 460 workers decides within 5 ms at the 99th percentile"
_CORE_LIMIT = "control takes at most 2.3 % of a core of a node"
_MEMORY_LIMIT = "control takes at most 256 MB of a node"
_NEVER_WORSE = "a policy is never worse than first fit in the measure that it is for"
_PEAK_LOAD = {"starts_per_s": 3700}
_SHARD_LOAD = {"starts_per_s": 247}

_ROUTING_DECISIONS = "a routing decision with its log line takes 50 us, 1 ms at the 99th percentile"
_GOODPUT = "goodput stays at 90 % of capacity when callers retry at three times the load"
_HOT_SPOT = "slot credits move to a new hot spot within 100 ms"
_CREDIT_LIMIT = "the credits of an upstream never exceed its slots"
_CHECK_TIME = "plan and validate of 150 organisations take at most 1 s"
_PROPAGATION_TIME = "an accepted change is in force everywhere within 9 s"
_TAKEOVER_TIME = "a takeover takes 2.5 s at most"
_STORE_RATE = "the store takes some hundred writes and 2,000 reads a second in all"

BOUNDS: tuple[Bound, ...] = (
    Bound(
        "scheduling.SteadyStarts",
        "track_cost.starts_per_s",
        3700,
        "3,700 task starts a second at the peak, sustained by one owner of 460 workers",
        is_minimum=True,
        parameters=_PEAK_LOAD,
    ),
    Bound(
        "scheduling.SteadyStarts", "track_cost.tick_p99_ms", 5.0, _TICK_TIME, parameters=_PEAK_LOAD
    ),
    Bound(
        "scheduling.SteadyStarts",
        "track_cost.core_percent",
        100.0,
        "3,700 task starts a second are decided on one core",
        parameters=_PEAK_LOAD,
    ),
    Bound(
        "scheduling.SteadyStarts",
        "track_cost.core_percent",
        2.3,
        _CORE_LIMIT,
        parameters=_SHARD_LOAD,
    ),
    Bound("scheduling.RunningTasks", "peakmem_running", 244.14, _MEMORY_LIMIT),
    Bound("policies.PolicyComparison", "track_packing_over_first_fit", 1.0, _NEVER_WORSE),
    Bound("policies.PolicyComparison", "track_packing_vms_over_first_fit", 1.0, _NEVER_WORSE),
    Bound("policies.PolicyComparison", "track_waiting_over_first_fit", 1.0, _NEVER_WORSE),
    Bound(
        "policies.PolicyComparison",
        "track_urgent_late",
        0,
        "urgent work starts within 6.9 s",
    ),
    Bound("routing.DecisionCost", "track_decision.median", 50.0, _ROUTING_DECISIONS),
    Bound("routing.DecisionCost", "track_decision.p99", 1000.0, _ROUTING_DECISIONS),
    Bound("routing.QuickQuotes", "track_answer_p99_over_best_baseline", 1.0, _NEVER_WORSE),
    Bound("routing.RetryStorm", "track_goodput_over_capacity", 0.9, _GOODPUT, is_minimum=True),
    Bound("routing.CreditMoves", "track_move_time", 100.0, _HOT_SPOT),
    Bound("routing.CreditMoves", "track_most_held_over_slots", 1.0, _CREDIT_LIMIT),
    Bound("recovery.Takeover", "track_takeover.total_s", 6.9, "urgent work starts within 6.9 s"),
    Bound("recovery.Takeover", "track_takeover.doubled_or_lost", 0, "placed work is never lost"),
    Bound(
        "recovery.JournalTraffic",
        "track_figures.peak_writes_per_s",
        20,
        "a fifteenth of the store's 300 writes a second",
    ),
    Bound(
        "recovery.JournalTraffic",
        "track_figures.reads_per_s",
        133,
        "a fifteenth of the store's 2,000 reads a second",
    ),
    Bound(
        "recovery.JournalTraffic",
        "track_figures.journal_bytes_per_s",
        15_000,
        "control sends at most 15 KB a second",
    ),
    Bound("config.ParseTime", "time_validate.median", 1.0, _CHECK_TIME),
    Bound("config.ParseTime", "time_plan.median", 1.0, _CHECK_TIME),
    Bound("config.ChangeInForce", "track_time.max_s", 9.0, _PROPAGATION_TIME),
    Bound("config.ChangeInForceWithoutWatch", "track_time.max_s", 9.0, _PROPAGATION_TIME),
    Bound(
        "config.NodeProcesses",
        "track_change.p99_s",
        2.0,
        "an accepted change is in force on nine separate processes within 2 s at p99",
    ),
    Bound("config.NodeProcesses", "track_change.idle_cpu_percent", 2.3, _CORE_LIMIT),
    Bound(
        "config.Detection",
        "track_leaving.max_s",
        2.0,
        "a leaving VM is known in its failure domain within 2 s",
    ),
    Bound(
        "config.Detection",
        "track_upstream_leaving.max_s",
        2.0,
        "a leaving VM is known in its failure domain within 2 s",
    ),
    Bound(
        "config.Detection",
        "track_dead.max_s",
        5.0,
        "a dead VM is known in its failure domain within 5 s",
    ),
    Bound(
        "config.Detection",
        "track_false_deaths_in_one_hour",
        0,
        "no false death in an hour with pauses of 1 s",
    ),
    Bound(
        "config.NodeTraffic",
        "track_traffic.busiest_node_bytes_per_s",
        15_000,
        "a node spends at most 15 KB a second for control",
    ),
    Bound("config.StoreCalls", "track_calls.busiest_second_at_start", 300, _STORE_RATE),
    Bound("config.StoreCalls", "track_calls.busiest_second_at_return", 300, _STORE_RATE),
    Bound("config.StoreCalls", "track_calls.in_force_after_return_s", 9.0, _PROPAGATION_TIME),
    Bound("takeover.OwnerGone", "track_killed.max_s", 2.5, _TAKEOVER_TIME),
    Bound("takeover.OwnerGone", "track_stopped.max_s", 2.5, _TAKEOVER_TIME),
)
