"""Finds jobs that can never run."""

from redwingplank.config import Service, WorkloadKind
from redwingplank.core import NO_RESOURCES, Resources
from redwingplank.scheduling.messages import JobSpec
from redwingplank.scheduling.state import ShardState

__all__ = ["Feasibility"]


class Feasibility:
    """Compares a job's need with the shard's VMs and with its organisation's quota.

    Parameters
    ----------
    state : ShardState
        The shard's tables.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def find_problem(self, spec: JobSpec, service: Service) -> str:
        """Return why a job can never run, or an empty string."""
        if service.kind not in (WorkloadKind.BATCH, WorkloadKind.GANG):
            return f"service {service.name} takes no jobs: its kind is {service.kind}"
        if spec.task_count < 1:
            return f"task_count is {spec.task_count}: give 1 or more"
        need = spec.resources or service.resources
        is_gang = service.kind is WorkloadKind.GANG
        whole = need * spec.task_count if is_gang else need
        return self._find_quota_problem(spec.organisation, whole) or self._find_vm_problem(
            need, spec.task_count if is_gang else 1
        )

    def _find_quota_problem(self, organisation: str, need: Resources) -> str:
        found = self._state.declarations.organisations_by_name.get(organisation)
        if found is None or found.quota is None:
            return ""
        exceeded = need.exceeded_dimensions(found.quota)
        return f"exceeds the organisation's quota in {', '.join(exceeded)}" if exceeded else ""

    def _find_vm_problem(self, need: Resources, count: int) -> str:
        counts = self._state.vm_count_by_capacity
        if not counts or NO_RESOURCES in counts:
            return ""
        if not any(need.fits_in(capacity) for capacity in counts):
            return f"exceeds every VM in {_exceeded_everywhere(need, list(counts))}"
        places = sum(number * _times(need, capacity, count) for capacity, number in counts.items())
        if places < count:
            return f"only {places} of the gang's {count} tasks fit in the whole shard at once"
        return ""


def _exceeded_everywhere(need: Resources, capacities: list[Resources]) -> str:
    exceeded = [set(need.exceeded_dimensions(capacity)) for capacity in capacities]
    common = set.intersection(*exceeded)
    return ", ".join(sorted(common)) or f"{', '.join(sorted(set.union(*exceeded)))} together"


def _times(need: Resources, capacity: Resources, at_most: int) -> int:
    times = [at_most]
    if need.millicores:
        times.append(capacity.millicores // need.millicores)
    if need.memory_mib:
        times.append(capacity.memory_mib // need.memory_mib)
    available = capacity.accelerators_by_kind
    times.extend(available.get(kind, 0) // count for kind, count in need.accelerators)
    return min(times)
