"""Usage, quota grants and fair shares of organisations."""

from dataclasses import dataclass, field

import numpy as np

from redwingplank.core import Resources
from redwingplank.scheduling.vm_table import Amounts, VmTable

__all__ = ["OrganisationUsage", "ShareTable"]


@dataclass(slots=True, eq=False)
class OrganisationUsage:
    """What an organisation holds in the shard.

    Parameters
    ----------
    name : str
        The organisation.
    weight : int
        Its declared share.
    has_quota : bool
        Whether a quota is declared, so that it starts nothing before a grant arrives.
    grant : ndarray or None
        What it may reserve here.
    is_unbounded : bool
        Whether a grant without bound arrived.
    """

    name: str
    weight: int = 100
    has_quota: bool = False
    grant: Amounts | None = None
    is_unbounded: bool = False
    used: list[int] = field(default_factory=list)
    share: float = 0.0
    wanted_at_s: float = float("-inf")
    is_wish_due: bool = False


class ShareTable:
    """Weighted dominant shares and grants of all organisations.

    Parameters
    ----------
    table : VmTable
        Gives the dimensions and the whole of the shard.
    """

    def __init__(self, table: VmTable) -> None:
        self._table = table
        self._usage_by_name: dict[str, OrganisationUsage] = {}
        self._inverse_total: list[float] = [1.0, 1.0]

    def find(self, name: str) -> OrganisationUsage:
        """Return an organisation's row, which is made when it is first asked for."""
        usage = self._usage_by_name.get(name)
        if usage is None:
            usage = self._usage_by_name[name] = OrganisationUsage(name)
        return usage

    def set_totals(self) -> None:
        """Work out the shard's whole again after VMs came or went."""
        totals = self._table.capacity.sum(axis=1)
        self._inverse_total = (1.0 / np.maximum(totals, 1)).tolist()

    def declare(self, name: str, weight: int, quota: Resources | None) -> None:
        """Take an organisation's declared share and quota."""
        usage = self.find(name)
        usage.weight = max(1, weight)
        usage.has_quota = quota is not None
        self.update(usage)

    def set_grant(self, name: str, grant: Resources | None) -> None:
        """Take an organisation's grant; None removes every bound."""
        usage = self.find(name)
        usage.is_unbounded = grant is None
        usage.grant = None if grant is None else self._table.amounts(grant)

    def may_start(self, usage: OrganisationUsage, amounts: Amounts, count: int = 1) -> bool:
        """Return whether `count` times `amounts` more stay within the grant."""
        if usage.grant is None:
            return usage.is_unbounded or not usage.has_quota
        grant = usage.grant.tolist()
        used = usage.used
        for dimension, amount in enumerate(amounts.tolist()):
            held = used[dimension] if dimension < len(used) else 0
            bound = grant[dimension] if dimension < len(grant) else 0
            if amount and held + amount * count > bound:
                return False
        return True

    def charge(self, usage: OrganisationUsage, amounts: Amounts, sign: int) -> None:
        """Add a reservation to an organisation's usage, or take it off with sign -1."""
        used = usage.used
        while len(used) < len(amounts):
            used.append(0)
        for dimension, amount in enumerate(amounts.tolist()):
            if amount:
                used[dimension] += sign * amount

    def update(self, usage: OrganisationUsage) -> None:
        """Work the share out again after `charge`."""
        dominant = 0.0
        for amount, inverse in zip(usage.used, self._inverse_total, strict=False):
            if amount * inverse > dominant:
                dominant = amount * inverse
        usage.share = dominant / usage.weight
