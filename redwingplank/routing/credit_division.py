"""Divides the slots of each upstream between entries by their demand."""

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
    """An upstream's service and slots, and the phase by which they are divided."""

    service: str
    slots: int
    phase: float


@dataclass(frozen=True, slots=True)
class EntryUse:
    """What an entry uses, wants and holds, by service."""

    use_by_service: Mapping[str, ServiceUse]
    held_by_service: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Divisions:
    """Each entry's part of every service.

    Parameters
    ----------
    bounds_by_service : mapping of str to mapping of str to (float, float)
        Lower and upper end of an entry's part, within 0 to 1.
    wanting_by_service : mapping of str to frozenset of str
        Entries with waiting requests or hardly any credits.
    """

    bounds_by_service: Mapping[str, Mapping[str, tuple[float, float]]]
    wanting_by_service: Mapping[str, frozenset[str]]

    def target(self, upstream: UpstreamSlots, entry: str) -> int:
        """Return an entry's part of an upstream's slots."""
        bounds = self.bounds_by_service[upstream.service].get(entry)
        return divide_slots(upstream.slots, upstream.phase, bounds) if bounds else 0

    def is_wanted(self, service: str, entry: str) -> bool:
        """Return whether another entry has waiting requests, or hardly any credits."""
        return bool(self.wanting_by_service[service] - {entry})


def make_upstream_slots(name: str, service: str, slots: int) -> UpstreamSlots:
    """Return an upstream's slots with a phase from its name."""
    phase = xxhash.xxh32_intdigest(name.encode()) / HASH_RANGE
    return UpstreamSlots(service, slots, phase)


def make_divisions(
    upstreams: Iterable[UpstreamSlots],
    uses_by_entry: Mapping[str, EntryUse],
    base_fraction: float,
) -> Divisions:
    """Divide every service by requests in flight and waiting, plus a base for each entry."""
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
            known = uses_by_entry[entry]
            use = known.use_by_service.get(service, NO_USE)
            weights[entry] = use.in_flight + use.waiting + base
            if use.waiting or known.held_by_service.get(service, 0) < base:
                wanting.add(entry)
        bounds_by_service[service] = _bounds(weights)
        wanting_by_service[service] = frozenset(wanting)
    return Divisions(bounds_by_service, wanting_by_service)


def divide_slots(slots: int, phase: float, bounds: tuple[float, float]) -> int:
    """Return how many of an upstream's slots fall between two bounds within 0 to 1.

    Parameters
    ----------
    slots : int
        Of the upstream.
    phase : float
        0 to 1; differs between upstreams, so that parts below one slot are spread over them.
    bounds : (float, float)
        Part of the whole; parts that touch give counts whose sum is `slots`.

    Examples
    --------
    >>> divide_slots(8, 0.0, (0.0, 0.5)), divide_slots(8, 0.0, (0.5, 1.0))
    (4, 4)
    """
    low, high = bounds
    return int(slots * high + phase) - int(slots * low + phase)


def _bounds(weights: Mapping[str, float]) -> dict[str, tuple[float, float]]:
    total = sum(weights.values())
    entries = list(weights)
    bounds: dict[str, tuple[float, float]] = {}
    low = 0.0
    passed = 0.0
    for entry in entries:
        passed += weights[entry]
        high = 1.0 if entry == entries[-1] else passed / total
        bounds[entry] = (low, high)
        low = high
    return bounds
