"""Usage, quota grants and fair shares of organisations."""

from dataclasses import dataclass, field

import numpy as np

from redwingplank.core import Resources
from redwingplank.scheduling.vm_table import Amounts, VmTable

__all__ = ["OrganisationUsage", "ShareTable"]


@dataclass(slots=True, eq=False)
class OrganisationUsage:
    """Resources that an organisation uses in the shard, and their limits.

    Parameters
    ----------
    name : str
        Name of the organisation.
    weight : int
        Declared share of the organisation.
    has_quota : bool
        Whether a quota is declared; if so, no task starts before a grant arrives.
    grant : ndarray or None
        Amounts that the organisation may reserve in this shard.
    is_unbounded : bool
        Whether a grant without limit has arrived.
    used : list of int
        Reserved amount in each dimension.
    share : float
        Dominant share divided by `weight`, as of the last `ShareTable.update`.
    wanted_at_s : float
        Time of the last request for a larger grant.
    is_wish_due : bool
        Whether the next request for a larger grant is scheduled.
    """

    name: str
    weight: int = 100
    has_quota: bool = False
    grant: Amounts | None = None
    is_unbounded: bool = False
    used: list[int] = field(default_factory=list)
    share: float = 0.0
    wanted_at_s: float = float("-inf")
    is_grant_request_due: bool = False


class ShareTable:
    """Usage, grants and weighted dominant shares of all organisations.

    Parameters
    ----------
    table : VmTable
        Provides the resource dimensions and the total capacity of the shard.
    """

    def __init__(self, table: VmTable) -> None:
        self._table = table
        self._usage_by_name: dict[str, OrganisationUsage] = {}
        self._inverse_totals: list[float] = [1.0, 1.0]

    def find(self, name: str) -> OrganisationUsage:
        """Return the usage of an organisation, which is created on first access."""
        usage = self._usage_by_name.get(name)
        if usage is None:
            usage = self._usage_by_name[name] = OrganisationUsage(name)
        return usage

    def set_totals(self) -> None:
        """Recompute the shard's total capacity after VMs were added or removed."""
        totals = self._table.capacity.sum(axis=1)
        self._inverse_totals = (1.0 / np.maximum(totals, 1)).tolist()

    def declare(self, name: str, weight: int, quota: Resources | None) -> None:
        """Apply the declared share and quota of an organisation."""
        usage = self.find(name)
        usage.weight = max(1, weight)
        usage.has_quota = quota is not None
        self.update(usage)

    def set_grant(self, name: str, grant: Resources | None) -> None:
        """Apply an organisation's grant; None removes all limits."""
        usage = self.find(name)
        usage.is_unbounded = grant is None
        usage.grant = None if grant is None else self._table.amounts(grant)

    def may_start(self, usage: OrganisationUsage, amounts: Amounts, count: int = 1) -> bool:
        """Return whether reserving another `count` times `amounts` stays within the grant."""
        if usage.grant is None:
            return usage.is_unbounded or not usage.has_quota
        grant = usage.grant.tolist()
        used = usage.used
        for dimension, amount in enumerate(amounts.tolist()):
            reserved = used[dimension] if dimension < len(used) else 0
            limit = grant[dimension] if dimension < len(grant) else 0
            if amount and reserved + amount * count > limit:
                return False
        return True

    def charge(self, usage: OrganisationUsage, amounts: Amounts, sign: int) -> None:
        """Add a reservation to an organisation's usage, or subtract it with sign -1."""
        used = usage.used
        while len(used) < len(amounts):
            used.append(0)
        for dimension, amount in enumerate(amounts.tolist()):
            if amount:
                used[dimension] += sign * amount

    def update(self, usage: OrganisationUsage) -> None:
        """Recompute the share of an organisation after its usage or weight has changed."""
        dominant = 0.0
        for amount, inverse in zip(usage.used, self._inverse_totals, strict=False):
            if amount * inverse > dominant:
                dominant = amount * inverse
        usage.share = dominant / usage.weight
