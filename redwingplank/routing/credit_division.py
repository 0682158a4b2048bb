"""Division of the slots of each upstream between entries, in proportion to their demand."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from redwingplank.routing.credit_messages import ServiceUse

__all__ = [
    "Divisions",
    "EntryUse",
    "UpstreamSlots",
    "divide_slots",
    "make_divisions",
    "make_upstream_slots",
]

HASH_RANGE = 1 << 32
NO_USE = ServiceUse()


@dataclass(frozen=True, slots=True)
class UpstreamSlots:
    """Service and slots of an upstream, and its phase (0 to 1) for `divide_slots`."""

    service: str
    slots: int
    phase: float


@dataclass(frozen=True, slots=True)
class EntryUse:
    """Requests and held credits of an entry, by service."""

    use_by_service: Mapping[str, ServiceUse]
    held_by_service: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Divisions:
    """Share of each entry in the slots of every service.

    Parameters
    ----------
    bounds_by_service : mapping of str to mapping of str to (float, float)
        Lower and upper bound of the entry's share, within 0 to 1, by service and entry.
    wanting_by_service : mapping of str to frozenset of str
        Entries with waiting requests or fewer credits than the base, by service.
    """

    bounds_by_service: Mapping[str, Mapping[str, tuple[float, float]]]
    wanting_by_service: Mapping[str, frozenset[str]]

    def target(self, upstream: UpstreamSlots, entry: str) -> int:
        """Return how many slots of an upstream an entry should hold."""
        bounds = self.bounds_by_service[upstream.service].get(entry)
        return divide_slots(upstream.slots, upstream.phase, bounds) if bounds else 0

    def is_wanted(self, service: str, entry: str) -> bool:
        """Return whether another entry has waiting requests or fewer credits than the base."""
        return bool(self.wanting_by_service[service] - {entry})


def make_upstream_slots(name: str, service: str, slots: int) -> UpstreamSlots:
    """Return the slots of an upstream with a phase derived from its name."""
    phase = xxhash.xxh32_intdigest(name.encode()) / HASH_RANGE
    return UpstreamSlots(service, slots, phase)


def make_divisions(
    upstreams: Iterable[UpstreamSlots],
    uses_by_entry: Mapping[str, EntryUse],
    base_fraction: float,
) -> Divisions:
    """Divide the slots of every service between entries.

    The weight of an entry is the number of its requests in flight and waiting, plus the base: the
    fraction `base_fraction` of the service's slots, at least 1.
    """
    slots_by_service: dict[str, int] = {}
    for upstream in upstreams:
        total = slots_by_service.get(upstream.service, 0)
        slots_by_service[upstream.service] = total + upstream.slots
    bounds_by_service = {}
    wanting_by_service = {}
    for service, slots in slots_by_service.items():
        base = max(1.0, slots * base_fraction)
        weights, wanting = {}, set()
        for entry in sorted(uses_by_entry):
            entry_use = uses_by_entry[entry]
            use = entry_use.use_by_service.get(service, NO_USE)
            weights[entry] = use.in_flight + use.waiting + base
            if use.waiting or entry_use.held_by_service.get(service, 0) < base:
                wanting.add(entry)
        bounds_by_service[service] = _bounds_from_weights(weights)
        wanting_by_service[service] = frozenset(wanting)
    return Divisions(bounds_by_service, wanting_by_service)


def divide_slots(slots: int, phase: float, bounds: tuple[float, float]) -> int:
    """Return how many of an upstream's slots fall between two bounds within 0 to 1.

    Parameters
    ----------
    slots : int
        Number of slots of the upstream.
    phase : float
        Offset from 0 to 1 that differs between upstreams, so that shares smaller than one slot are
        spread over the upstreams.
    bounds : (float, float)
        Lower and upper bound of the share. Adjacent shares that cover 0 to 1 give counts whose
        sum is `slots`.

    Examples
    --------
    >>> divide_slots(8, 0.0, (0.0, 0.5)), divide_slots(8, 0.0, (0.5, 1.0))
    (4, 4)
    """
    lower, upper = bounds
    return int(slots * upper + phase) - int(slots * lower + phase)


def _bounds_from_weights(weights: Mapping[str, float]) -> dict[str, tuple[float, float]]:
    total = sum(weights.values())
    entries = list(weights)
    bounds: dict[str, tuple[float, float]] = {}
    lower = 0.0
    cumulative_weight = 0.0
    for entry in entries:
        cumulative_weight += weights[entry]
        upper = 1.0 if entry == entries[-1] else cumulative_weight / total
        bounds[entry] = (lower, upper)
        lower = upper
    return bounds
