"""Detection of jobs that can never run."""

from redwingplank.config import Service, WorkloadKind
from redwingplank.core import NO_RESOURCES, Resources
from redwingplank.scheduling.messages import JobSpec
from redwingplank.scheduling.state import ShardState

__all__ = ["Feasibility"]


class Feasibility:
    """Compares the need of a job with the shard's VMs and its organisation's quota.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def find_problem(self, spec: JobSpec, service: Service) -> str:
        """Return the reason why a job can never run, or an empty string."""
        if service.kind not in (WorkloadKind.BATCH, WorkloadKind.GANG):
            return f"service {service.name} takes no jobs: its kind is {service.kind}"
        if spec.task_count < 1:
            return f"task_count is {spec.task_count}: give 1 or more"
        need = spec.resources or service.resources
        is_gang = service.kind is WorkloadKind.GANG
        total_need = need * spec.task_count if is_gang else need
        return self._find_quota_problem(spec.organisation, total_need) or self._find_vm_problem(
            need, spec.task_count if is_gang else 1
        )

    def _find_quota_problem(self, organisation: str, need: Resources) -> str:
        declared = self._state.declarations.organisations_by_name.get(organisation)
        if declared is None or declared.quota is None:
            return ""
        exceeded = need.exceeded_dimensions(declared.quota)
        return f"exceeds the organisation's quota in {', '.join(exceeded)}" if exceeded else ""

    def _find_vm_problem(self, need: Resources, count: int) -> str:
        counts = self._state.vm_count_by_capacity
        if not counts or NO_RESOURCES in counts:
            return ""
        if not any(need.fits_in(capacity) for capacity in counts):
            return f"exceeds every VM in {_name_exceeded_dimensions(need, list(counts))}"
        places = sum(
            number * _count_fitting(need, capacity, count) for capacity, number in counts.items()
        )
        if places < count:
            return f"only {places} of the gang's {count} tasks fit in the whole shard at once"
        return ""


def _name_exceeded_dimensions(need: Resources, capacities: list[Resources]) -> str:
    exceeded = [set(need.exceeded_dimensions(capacity)) for capacity in capacities]
    common = set.intersection(*exceeded)
    return ", ".join(sorted(common)) or f"{', '.join(sorted(set.union(*exceeded)))} together"


def _count_fitting(need: Resources, capacity: Resources, at_most: int) -> int:
    limits = [at_most]
    if need.millicores:
        limits.append(capacity.millicores // need.millicores)
    if need.memory_mib:
        limits.append(capacity.memory_mib // need.memory_mib)
    available = capacity.accelerators_by_kind
    limits.extend(available.get(kind, 0) // count for kind, count in need.accelerators)
    return min(limits)
