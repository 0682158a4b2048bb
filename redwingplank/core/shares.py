"""Usage, limits and weighted dominant shares of organisations."""

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["OrganisationUsage", "UsageTable"]


@dataclass(slots=True, eq=False)
class OrganisationUsage:
    """Amounts that an organisation uses, and their limits.

    Parameters
    ----------
    name : str
        Name of the organisation.
    weight : float
        Share of the organisation relative to others.
    limits : list of float or None
        Largest amount in each dimension, None without limits; a dimension beyond the end of the
        list has the limit 0.
    used : list of int
        Amount in use in each dimension.
    share : float
        Dominant share divided by `weight`, as of the last `UsageTable.update`.
    """

    name: str
    weight: float = 100
    limits: list[float] | None = None
    used: list[int] = field(default_factory=list)
    share: float = 0.0

    def charge(self, amounts: Sequence[int], sign: int) -> None:
        """Add amounts to the usage, or subtract them with sign -1."""
        used = self.used
        while len(used) < len(amounts):
            used.append(0)
        for dimension, amount in enumerate(amounts):
            if amount:
                used[dimension] += sign * amount

    def has_room(self, amounts: Sequence[int], count: int = 1) -> bool:
        """Return whether another `count` times `amounts` stay within the limits."""
        used, limits = self.used, self.limits
        if limits is None:
            return True
        for dimension, amount in enumerate(amounts):
            if not amount:
                continue
            in_use = used[dimension] if dimension < len(used) else 0
            limit = limits[dimension] if dimension < len(limits) else 0
            if in_use + amount * count > limit:
                return False
        return True

    def is_within_limits(self) -> bool:
        """Return whether no dimension is used beyond its limit."""
        return self._are_allowed(self.used)

    def may_ever_use(self, amounts: Sequence[int]) -> bool:
        """Return whether `amounts` would be within the limits if nothing else was in use."""
        return self._are_allowed(amounts)

    def _are_allowed(self, amounts: Sequence[int]) -> bool:
        limits = self.limits
        if limits is None:
            return True
        return all(
            not amount or (dimension < len(limits) and amount <= limits[dimension])
            for dimension, amount in enumerate(amounts)
        )


Usage = TypeVar("Usage", bound=OrganisationUsage)


class UsageTable(Generic[Usage]):
    """Usage and weighted dominant shares of all organisations.

    Parameters
    ----------
    make_usage : callable
        Returns the usage of an organisation, by its name, that has not been used yet.
    """

    def __init__(self, make_usage: Callable[[str], Usage]) -> None:
        self._make_usage = make_usage
        self._usage_by_name: dict[str, Usage] = {}
        self._inverse_totals: list[float] = [1.0, 1.0]

    def __iter__(self) -> Iterator[Usage]:
        return iter(self._usage_by_name.values())

    def find(self, name: str) -> Usage:
        """Return the usage of an organisation, which is created on first access."""
        usage = self._usage_by_name.get(name)
        if usage is None:
            usage = self._usage_by_name[name] = self._make_usage(name)
        return usage

    def set_totals(self, totals: Sequence[int]) -> None:
        """Set the total capacity, in each dimension, that shares refer to."""
        self._inverse_totals = [1.0 / max(total, 1) for total in totals]

    def dominant(self, usage: OrganisationUsage) -> float:
        """Return the largest fraction of the total capacity that an organisation uses."""
        dominant = 0.0
        for amount, inverse in zip(usage.used, self._inverse_totals, strict=False):
            if amount * inverse > dominant:
                dominant = amount * inverse
        return dominant

    def update(self, usage: Usage) -> None:
        """Recompute the share of an organisation after its usage or weight has changed."""
        dominant = self.dominant(usage)
        usage.share = dominant / usage.weight if usage.weight > 0 else math.inf
