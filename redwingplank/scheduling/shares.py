"""Quota grants of organisations, and their usage in the shard."""

from dataclasses import dataclass

from redwingplank.core import Resources
from redwingplank.core.shares import OrganisationUsage, UsageTable
from redwingplank.scheduling.vm_table import Amounts, VmTable

__all__ = ["GrantedUsage", "ShareTable"]


@dataclass(slots=True, eq=False)
class GrantedUsage(OrganisationUsage):
    """Resources that an organisation uses in the shard, and its grant.

    Parameters
    ----------
    has_quota : bool
        Whether a quota is declared; if so, no task starts before a grant arrives.
    grant : ndarray or None
        Amounts that the organisation may reserve in this shard.
    is_unbounded : bool
        Whether a grant without limit has arrived.
    wanted_at_s : float
        Time of the last request for a larger grant.
    is_grant_request_due : bool
        Whether the next request for a larger grant is scheduled.
    """

    has_quota: bool = False
    grant: Amounts | None = None
    is_unbounded: bool = False
    wanted_at_s: float = float("-inf")
    is_grant_request_due: bool = False


class ShareTable(UsageTable[GrantedUsage]):
    """Usage, grants and weighted dominant shares of all organisations.

    Parameters
    ----------
    table : VmTable
        Provides the resource dimensions and the total capacity of the shard.
    """

    def __init__(self, table: VmTable) -> None:
        super().__init__(GrantedUsage)
        self._table = table

    def refresh_totals(self) -> None:
        """Recompute the shard's total capacity after VMs were added or removed."""
        self.set_totals(self._table.capacity.sum(axis=1).tolist())

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
        usage.limits = [] if usage.grant is None else usage.grant.tolist()

    def may_start(self, usage: GrantedUsage, amounts: Amounts, count: int = 1) -> bool:
        """Return whether reserving another `count` times `amounts` stays within the grant."""
        if usage.grant is None:
            return usage.is_unbounded or not usage.has_quota
        return usage.has_room(amounts.tolist(), count)
