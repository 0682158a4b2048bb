"""Integer resource amounts: processors, memory and accelerators by kind."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from redwingplank.core.errors import InvalidValueError

__all__ = ["NO_RESOURCES", "Resources", "make_resources", "sum_resources"]


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource dimension.

    Parameters
    ----------
    millicores : int
        Processor time, in thousandths of a processor.
    memory_mib : int
        Memory in MiB.
    accelerators : tuple of (str, int)
        Whole accelerators by kind, sorted by kind, without zero counts.

    Notes
    -----
    Build instances with `make_resources`, which sorts and checks the amounts.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: tuple[tuple[str, int], ...] = ()

    @property
    def accelerators_by_kind(self) -> Mapping[str, int]:
        """Read-only mapping from accelerator kind to count."""
        return MappingProxyType(dict(self.accelerators))

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether every dimension is at most that of `capacity`."""
        return not self.exceeded_dimensions(capacity)

    def exceeded_dimensions(self, capacity: "Resources") -> tuple[str, ...]:
        """Return the names of the dimensions in which `capacity` is too small.

        Returns
        -------
        tuple of str
            Any of ``"millicores"``, ``"memory_mib"`` and ``"accelerators.KIND"``.
        """
        exceeded = []
        if self.millicores > capacity.millicores:
            exceeded.append("millicores")
        if self.memory_mib > capacity.memory_mib:
            exceeded.append("memory_mib")
        available = capacity.accelerators_by_kind
        for kind, count in self.accelerators:
            if count > available.get(kind, 0):
                exceeded.append(f"accelerators.{kind}")
        return tuple(exceeded)

    def __add__(self, other: "Resources") -> "Resources":
        return _combine(self, other, sign=1)

    def __sub__(self, other: "Resources") -> "Resources":
        return _combine(self, other, sign=-1)

    def __mul__(self, count: int) -> "Resources":
        accelerators = tuple((kind, amount * count) for kind, amount in self.accelerators)
        return Resources(self.millicores * count, self.memory_mib * count, accelerators)


NO_RESOURCES = Resources()


def make_resources(
    millicores: int = 0,
    memory_mib: int = 0,
    accelerators_by_kind: Mapping[str, int] | None = None,
) -> Resources:
    """Check amounts and build a `Resources` value from them.

    Parameters
    ----------
    millicores : int
        Processor time in thousandths of a processor, not negative.
    memory_mib : int
        Memory in MiB, not negative.
    accelerators_by_kind : mapping of str to int, optional
        Number of accelerators by kind, not negative.

    Returns
    -------
    Resources

    Raises
    ------
    InvalidValueError
        If an amount is negative.

    Examples
    --------
    >>> make_resources(1500, 2048, {"gpu": 1}).millicores
    1500
    """
    accelerators = accelerators_by_kind or {}
    for name, amount in [
        ("millicores", millicores),
        ("memory_mib", memory_mib),
        *accelerators.items(),
    ]:
        if amount < 0:
            raise InvalidValueError(f"{name} is {amount}: give an amount of zero or more")
    present = tuple(sorted((kind, count) for kind, count in accelerators.items() if count))
    return Resources(millicores, memory_mib, present)


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of `amounts` in every dimension."""
    total = NO_RESOURCES
    for amount in amounts:
        total = total + amount
    return total


def _combine(left: Resources, right: Resources, sign: int) -> Resources:
    millicores = left.millicores + sign * right.millicores
    memory_mib = left.memory_mib + sign * right.memory_mib
    if not left.accelerators and not right.accelerators:
        return Resources(millicores, memory_mib)
    by_kind = dict(left.accelerators)
    for kind, count in right.accelerators:
        by_kind[kind] = by_kind.get(kind, 0) + sign * count
    present = tuple(sorted((kind, count) for kind, count in by_kind.items() if count))
    return Resources(millicores, memory_mib, present)
