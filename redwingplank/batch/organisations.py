"""Usage, quotas and shares of the organisations of a cell.

Every run that may exist is charged to the organisation of its job, and so is every task that an
earlier owner may have started on a worker that has not reported to this owner yet.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from redwingplank.batch.entities import Job, Step
from redwingplank.batch.model import NO_AMOUNTS, Amounts, CellConfig
from redwingplank.batch.ranking import BEYOND_RATE_TIER, LAST_TIER, Rank
from redwingplank.batch.runs import Run
from redwingplank.batch.submission_rates import SubmissionRates
from redwingplank.core.shares import OrganisationUsage, UsageTable

__all__ = ["BatchUsage", "Organisations", "RankedStep"]

_TIER_COUNT = LAST_TIER + 1


class RankedStep(Protocol):
    """A step with its rank in a pass."""

    @property
    def rank(self) -> Rank:
        """Sort key of the step."""

    @property
    def step(self) -> Step:
        """The step."""


_Ranked = TypeVar("_Ranked", bound=RankedStep)


@dataclass(slots=True, eq=False)
class BatchUsage(OrganisationUsage):
    """What an organisation uses in the cell.

    Parameters
    ----------
    quota : Amounts
        Largest amounts in the present configuration; 0 means no limit.
    is_configured : bool
        Whether the present configuration has the organisation.
    charge_count : int
        Number of runs, and of tasks on unconfirmed workers, that are charged.
    release_count : int
        Number of times that charges were released or the quota was set; between two of them, no
        step that waits for the quota can start.
    is_above_share : bool
        Whether the organisation used more than its weighted share when the pass began.
    is_held_back, was_held_back : bool
        Whether a task waited for the quota in this pass, and in the one before.
    """

    quota: Amounts = NO_AMOUNTS
    is_configured: bool = False
    charge_count: int = 0
    release_count: int = 0
    is_above_share: bool = False
    is_held_back: bool = False
    was_held_back: bool = False

    def is_share_above(self, even_share: float) -> bool:
        """Return whether half of one more task would bring the share above the even one.

        The half rounds to whole tasks; without it, small shares would be exceeded by more.
        """
        return self.share * (self.charge_count + 0.5) > even_share * self.charge_count

    def may_start(self, amounts: Amounts, count: int) -> bool:
        """Return whether `count` tasks may start together.

        A single task that is larger than the quota may start while nothing else is charged.
        """
        if count == 1 and self.charge_count == 0:
            return True
        return self.is_within_limits() and self.has_room(amounts, count)


@dataclass(slots=True)
class _HostCharge:
    """Amounts that an unconfirmed worker may use, by organisation, until its leases expired."""

    until_s: float
    charges: list[tuple[str, Amounts]] = field(default_factory=list)


class Organisations:
    """Charges runs to organisations, checks their quotas and ranks their jobs.

    Parameters
    ----------
    config : CellConfig
        Current configuration.
    log_decision : callable
        Called with the name and the fields of each event that is written to the log.
    """

    def __init__(self, config: CellConfig, log_decision: Callable[..., None]) -> None:
        self._log_decision = log_decision
        self._usages: UsageTable[BatchUsage] = UsageTable(_make_usage)
        self._rates = SubmissionRates()
        self._charges_by_host: dict[str, _HostCharge] = {}
        self._has_organisations = False
        self._even_share = math.inf
        self.is_capacity_short = False
        """Whether a step found no worker with enough free capacity in the present pass."""
        self.set_config(config)

    def set_config(self, config: CellConfig) -> None:
        """Apply the weights and quotas of a configuration; nothing is stopped."""
        self._version = config.version
        for usage in self._usages:
            usage.is_configured = usage.name in config.organisations_by_name
            if not usage.is_configured:
                _set_policy(usage, 0.0, NO_AMOUNTS)
        for policy in config.organisations_by_name.values():
            usage = self._usages.find(policy.name)
            usage.is_configured = True
            _set_policy(usage, policy.weight, policy.quota)
        self._rates.set_weights(
            {name: policy.weight for name, policy in config.organisations_by_name.items()}
        )

    def set_capacity(self, capacities: Iterable[Amounts]) -> None:
        """Set the capacity of the cell, which shares refer to."""
        self._usages.set_totals([sum(amounts) for amounts in zip(*capacities, strict=True)])

    # Charges.

    def charge_run(self, run: Run, organisation: str) -> None:
        """Charge a run that may exist from now on."""
        if organisation and run.spec is not None:
            run.organisation = organisation
            self._charge(organisation, run.spec.amounts, 1)

    def release_run(self, run: Run) -> None:
        """Release a run that certainly no longer exists; one that is not charged is ignored."""
        organisation, run.organisation = run.organisation, ""
        if organisation and run.spec is not None:
            self._charge(organisation, run.spec.amounts, -1)

    def charge_host(self, worker_id: str, step: Step, count: int, until_s: float) -> None:
        """Charge tasks that an earlier owner may have started on a worker.

        Parameters
        ----------
        worker_id : str
            Worker that has not reported to this owner yet.
        step : Step
            Step of the tasks.
        count : int
            Number of tasks.
        until_s : float
            Time in seconds when every lease on the worker has expired.
        """
        organisation = step.job.spec.organisation
        if not organisation:
            return
        host = self._charges_by_host.setdefault(worker_id, _HostCharge(until_s))
        host.until_s = max(host.until_s, until_s)
        for _ in range(count):
            host.charges.append((organisation, step.spec.amounts))
            self._charge(organisation, step.spec.amounts, 1)

    def extend_host(self, worker_id: str, until_s: float) -> None:
        """Charge what a worker may run until a later time."""
        host = self._charges_by_host.get(worker_id)
        if host is not None:
            host.until_s = max(host.until_s, until_s)

    def release_host(self, worker_id: str) -> None:
        """Release what a worker may have run; call it after the runs it listed were charged."""
        host = self._charges_by_host.pop(worker_id, None)
        for organisation, amounts in host.charges if host else ():
            self._charge(organisation, amounts, -1)

    def release_expired_hosts(self, now_s: float) -> None:
        """Release the workers on which every lease of an earlier owner has expired."""
        for worker_id, host in list(self._charges_by_host.items()):
            if now_s >= host.until_s:
                self.release_host(worker_id)

    def _charge(self, organisation: str, amounts: Amounts, sign: int) -> None:
        usage = self._usages.find(organisation)
        usage.charge(amounts, sign)
        usage.charge_count += sign
        usage.release_count += sign < 0

    # Quotas.

    def may_start(self, step: Step, count: int = 1) -> bool:
        """Return whether the quota allows the start of `count` tasks of a step.

        If not, the step is held back until it does.
        """
        organisation = step.job.spec.organisation
        if not organisation:
            return True
        usage = self._usages.find(organisation)
        if usage.may_start(step.spec.amounts, count):
            step.quota_release = -1
            return True
        step.quota_release = usage.release_count
        self._hold_back(usage, step)
        return False

    def is_waiting(self, step: Step) -> bool:
        """Return whether a step that was held back still has to wait for the quota.

        Its tasks need not be looked at then.
        """
        if step.quota_release < 0:
            return False
        usage = self._usages.find(step.job.spec.organisation)
        if step.quota_release == usage.release_count:
            usage.is_held_back = True
            return True
        return not self.may_start(step, step.spec.count if step.spec.is_gang else 1)

    def may_send(self, run: Run) -> bool:
        """Return whether a planned run, which is charged already, may still be started.

        A quota may have been lowered since the run was planned.
        """
        if not run.organisation:
            return True
        usage = self._usages.find(run.organisation)
        return usage.charge_count == 1 or usage.is_within_limits()

    def _hold_back(self, usage: BatchUsage, step: Step) -> None:
        usage.is_held_back = True
        if usage.was_held_back:
            return
        usage.was_held_back = True
        self._log_decision(
            "organisation_at_quota",
            organisation=usage.name,
            config=self._version,
            used=tuple(usage.used),
            quota=tuple(usage.quota),
            needed=tuple(step.spec.amounts),
            tasks=step.spec.count if step.spec.is_gang else 1,
            job=step.key.job_id,
        )

    # Order.

    def add_job(self, job: Job) -> None:
        """Count a job against the rate of its organisation."""
        self._rates.add(job)

    def remove_job(self, job: Job) -> None:
        """Forget a job whose record is removed."""
        self._rates.remove(job)

    def begin_pass(self, open_steps: Iterable[Step]) -> None:
        """Determine which organisations use more than their share.

        Organisations that do not compete for capacity, because they have no open steps or wait for
        their quota, are left out: what they leave unused is shared by weight as well. While every
        step finds capacity, no organisation counts as above its share.
        """
        is_short, self.is_capacity_short = self.is_capacity_short, False
        usages = list(self._usages)
        self._has_organisations = bool(usages)
        if not usages:
            return
        waiting = {step.job.spec.organisation for step in open_steps}
        for usage in usages:
            usage.was_held_back, usage.is_held_back = usage.is_held_back, False
            self._usages.update(usage)
        competing = [usage for usage in usages if usage.name in waiting and not usage.was_held_back]
        total_weight = sum(usage.weight for usage in competing)
        total_used = sum(self._usages.dominant(usage) for usage in competing)
        even_share = total_used / total_weight if total_weight else 0.0
        self._even_share = even_share if is_short and len(competing) > 1 else math.inf
        for usage in usages:
            usage.is_above_share = usage.is_share_above(self._even_share)

    def order(self, job: Job, rank: Rank) -> Rank:
        """Return the rank of a step of a job among those of all organisations.

        Without organisations the rank stays as it is. Otherwise its first part becomes a position
        that combines the tier, whether the organisation is above its share, and the original tier.

        Parameters
        ----------
        job : Job
            Job of the step.
        rank : tuple
            Rank of the step without regard to organisations, from `rank_step`.
        """
        if not self._has_organisations:
            return rank
        tier = own_tier = rank[0]
        is_above_share = False
        if job.spec.organisation:
            usage = self._usages.find(job.spec.organisation)
            is_above_share = usage.is_above_share
            if not usage.is_configured:
                tier = LAST_TIER
            elif job.is_beyond_rate:
                tier = max(tier, BEYOND_RATE_TIER)
        return _join_position(tier, is_above_share, own_tier), *rank[1:]

    def reaches_share(self, step: Step) -> bool:
        """Return whether the last start has brought an organisation above its share.

        The rest of the step is then planned at the end of its tier, see `take_turns`.
        """
        organisation = step.job.spec.organisation
        if not organisation or self._even_share == math.inf:
            return False
        usage = self._usages.find(organisation)
        if usage.is_above_share:
            return False
        self._usages.update(usage)
        usage.is_above_share = usage.is_share_above(self._even_share)
        return usage.is_above_share

    def take_turns(self, ranked: Iterable[_Ranked]) -> Iterator[_Ranked]:
        """Yield steps in order, except those of organisations that exceed their share meanwhile.

        They come at the end of their tier, where a step that `reaches_share` has interrupted is
        yielded once more.
        """
        if not self._has_organisations:
            yield from ranked
            return
        deferred: list[_Ranked] = []
        current_tier = -1
        for entry in ranked:
            tier, was_above_share = _split_position(entry.rank[0])
            if tier != current_tier:
                yield from deferred
                deferred.clear()
                current_tier = tier
            if was_above_share or not self._is_above_share(entry.step):
                yield entry
            if not was_above_share and self._is_above_share(entry.step):
                deferred.append(entry)
        yield from deferred

    def _is_above_share(self, step: Step) -> bool:
        organisation = step.job.spec.organisation
        return bool(organisation) and self._usages.find(organisation).is_above_share

    def usages(self) -> list[BatchUsage]:
        """Return the usage of each organisation that is configured or uses anything."""
        return [usage for usage in self._usages if usage.is_configured or usage.charge_count]

    def shares(self) -> dict[str, float]:
        """Return the largest fraction of the capacity that each organisation uses, by its name."""
        return {usage.name: self._usages.dominant(usage) for usage in self._usages}


def _join_position(tier: int, is_above_share: bool, own_tier: int) -> int:
    return (2 * tier + is_above_share) * _TIER_COUNT + own_tier


def _split_position(position: int) -> tuple[int, bool]:
    """Return the tier in a position, and whether the organisation was above its share."""
    tier, is_above_share = divmod(position // _TIER_COUNT, 2)
    return tier, bool(is_above_share)


def _make_usage(name: str) -> BatchUsage:
    usage = BatchUsage(name, used=[0, 0, 0])
    _set_policy(usage, 0.0, NO_AMOUNTS)
    return usage


def _set_policy(usage: BatchUsage, weight: float, quota: Amounts) -> None:
    usage.weight = weight
    usage.quota = quota
    usage.release_count += 1
    usage.limits = [limit or math.inf for limit in quota]
