"""Quota grants of organisations, and their usage in the shard."""

from dataclasses import dataclass

from redwingplank.core import Resources
from redwingplank.core.shares import OrganisationUsage, UsageTable
from redwingplank.scheduling.vm_table import Amounts, VmTable

__all__ = ["GrantedUsage", "ShareTable"]


@dataclass(slots=True, eq=False)
class GrantedUsage(OrganisationUsage):
    """Resources that an organisation uses in the shard; its limits are its grant.

    Parameters
    ----------
    has_grant : bool
        Whether a grant has arrived, with or without limits.
    wanted_at_s : float
        Time of the last request for a larger grant.
    is_grant_request_due : bool
        Whether the next request for a larger grant is scheduled.
    """

    has_grant: bool = False
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
        """Apply the declared share of an organisation.

        With a quota, no task starts before a grant has arrived.
        """
        usage = self.find(name)
        usage.weight = max(1, weight)
        if not usage.has_grant:
            usage.limits = None if quota is None else []
        self.update(usage)

    def set_grant(self, name: str, grant: Resources | None) -> None:
        """Apply an organisation's grant; None removes all limits."""
        usage = self.find(name)
        usage.has_grant = True
        usage.limits = None if grant is None else self._table.amounts(grant).tolist()

    def may_start(self, usage: GrantedUsage, amounts: Amounts, count: int = 1) -> bool:
        """Return whether reserving another `count` times `amounts` stays within the grant."""
        return usage.limits is None or usage.has_room(amounts.tolist(), count)
