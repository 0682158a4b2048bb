"""Comparison of placement policies on the same seeded workloads."""

from collections.abc import Callable
from functools import lru_cache

from benchmarks.driver import EPOCH, MakeScheduler, run_workload
from benchmarks.measures import Measures, measure_run
from benchmarks.workloads import make_workload
from redwingplank.config import DeadlineClass, Declarations, PlacementPolicyName
from redwingplank.scheduling import SchedulerSettings, make_scheduler
from redwingplank.scheduling.messages import RecoveredState

__all__ = ["POLICY_SEEDS", "PolicyComparison", "make_core", "run_policy"]

POLICY_SEEDS = (1, 2, 3)
POLICY_LOAD = 0.9
POLICY_DURATION_S = 90.0
POLICY_DRAIN_S = 30.0
FIRST_FIT = PlacementPolicyName.FIRST_FIT
RANDOM = PlacementPolicyName.RANDOM


def make_core(seed: int) -> MakeScheduler:
    """Return a factory that makes decision cores with the given seed."""

    def make(declarations: Declarations, now_s: float):
        settings = SchedulerSettings(shard="domain-1", seed=seed)
        recovered = RecoveredState(EPOCH, last_sequence=0, jobs=(), fence_at_s=0.0)
        return make_scheduler(settings, recovered, declarations, now_s)

    return make


@lru_cache(maxsize=64)
def run_policy(
    workload_name: str,
    policy: PlacementPolicyName,
    seed: int,
    load: float = POLICY_LOAD,
    duration_s: float = POLICY_DURATION_S,
) -> Measures:
    """Run one workload under one policy and return its measures."""
    workload = make_workload(workload_name, seed, policy, load=load, duration_s=duration_s)
    result = run_workload(workload, make_core(seed), drain_s=POLICY_DRAIN_S)
    return measure_run(workload, result)


class PolicyComparison:
    """The measure that each policy optimises, relative to first fit and random placement.

    Each ratio compares sums over the same seeds; below 1 the policy is better than the baseline.
    """

    params = [["bureau", "cooperative"]]
    param_names = ["workload"]

    def track_packing_over_first_fit(self, workload: str) -> float:
        """Total over used capacity of the occupied VMs, packing policy over first fit."""
        return _ratio(workload, PlacementPolicyName.PACKING, FIRST_FIT, _total_over_used)

    def track_packing_over_random(self, workload: str) -> float:
        """Total over used capacity of the occupied VMs, packing policy over random."""
        return _ratio(workload, PlacementPolicyName.PACKING, RANDOM, _total_over_used)

    def track_packing_vms_over_first_fit(self, workload: str) -> float:
        """Occupied VMs, packing policy over first fit."""
        return _ratio(workload, PlacementPolicyName.PACKING, FIRST_FIT, _occupied_vms)

    def track_waiting_over_first_fit(self, workload: str) -> float:
        """Mean wait of urgent tasks, waiting policy over first fit."""
        return _ratio(workload, PlacementPolicyName.WAITING, FIRST_FIT, _urgent_wait_s)

    def track_waiting_over_random(self, workload: str) -> float:
        """Mean wait of urgent tasks, waiting policy over random."""
        return _ratio(workload, PlacementPolicyName.WAITING, RANDOM, _urgent_wait_s)

    def track_urgent_late(self, workload: str) -> float:
        """Urgent tasks that started later than their template allows, waiting policy."""
        policy = PlacementPolicyName.WAITING
        return sum(
            run_policy(workload, policy, seed).waiting_by_class[DeadlineClass.URGENT].late
            for seed in POLICY_SEEDS
        )


for _name, _method in vars(PolicyComparison).items():
    if _name.startswith("track_"):
        _method.unit = "tasks" if _name.endswith("late") else "ratio"


def _total_over_used(measures: Measures) -> float:
    return 2.0 / (measures.packing.used_millicores + measures.packing.used_memory)


def _occupied_vms(measures: Measures) -> float:
    return measures.packing.occupied_vms


def _urgent_wait_s(measures: Measures) -> float:
    return measures.waiting_by_class[DeadlineClass.URGENT].mean_s


def _ratio(
    workload: str,
    policy: PlacementPolicyName,
    baseline: PlacementPolicyName,
    measure: Callable[[Measures], float],
) -> float:
    policy_sum = sum(measure(run_policy(workload, policy, seed)) for seed in POLICY_SEEDS)
    baseline_sum = sum(measure(run_policy(workload, baseline, seed)) for seed in POLICY_SEEDS)
    return policy_sum / baseline_sum
