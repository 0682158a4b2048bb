"""Policies that choose an upstream from those with a free slot.

References
----------
M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE Transactions on
Parallel and Distributed Systems 12(10), 2001.
W. Lin and P. R. Kumar, "Optimal control of a queueing system with two heterogeneous servers",
IEEE Transactions on Automatic Control 29(8), 1984.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import numpy as np

from redwingplank.core import InvalidValueError
from redwingplank.routing.pools import UpstreamPool
from redwingplank.routing.upstream_rows import UpstreamRow

__all__ = [
    "Candidates",
    "ChoicePolicy",
    "ExpectedFinishPolicy",
    "LeastInFlightPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "make_choice_policy",
]

FASTEST_CONSIDERED = 4
RANDOM_BATCH = 1024
# Fraction of the time to the deadline that the service of a bulk request may take.
BULK_DEADLINE_FRACTION = 0.5
# Smaller differences in slowness than this are ignored.
MIN_GAIN = 0.25


@dataclass(slots=True)
class Candidates:
    """Upstreams that a policy chooses from, and the request that it chooses for.

    Parameters
    ----------
    pool : UpstreamPool
        Upstreams of the service.
    prefers_slow : bool
        Whether the request should leave the fast upstreams to other requests.
    remaining_s : float
        Seconds until the request's deadline.
    work_s, mix_work_s : float
        Expected service time in seconds at slowness 1, of this request and of the average request.
    ahead : int
        Number of waiting requests that are served before this one.
    excluded : frozenset of str
        Names of upstreams that must not be chosen.
    """

    pool: UpstreamPool
    prefers_slow: bool
    remaining_s: float
    work_s: float
    mix_work_s: float
    ahead: int
    excluded: frozenset[str]

    def find_free_rows(self) -> list[UpstreamRow]:
        """Return all rows with a free slot for the request, fastest first."""
        return self.pool.free_rows(self.excluded)


class ChoicePolicy(ABC):
    """Base class of the policies that choose an upstream."""

    @abstractmethod
    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        """Return an upstream with a free slot, or None when the request should wait."""


class ExpectedFinishPolicy(ChoicePolicy):
    """Chooses the earlier expected finish of two random draws from the fastest free upstreams.

    Parameters
    ----------
    generator : numpy.random.Generator
        Source of random numbers.

    Notes
    -----
    A request waits even though a slow upstream is free when a slot of a faster upstream is expected
    to finish it earlier. A slot that would answer after the deadline is left to the requests that
    wait ahead. Bulk requests use the slowest upstream that is expected to take at most
    `BULK_DEADLINE_FRACTION` of their remaining time, or the fastest free one if there is none.
    """

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._random_numbers: list[float] = []

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        if candidates.prefers_slow:
            return self._choose_slowest(candidates)
        found = candidates.pool.fastest_free(FASTEST_CONSIDERED, candidates.excluded)
        if not found:
            return None
        max_slowness = found[0].slowness + MIN_GAIN
        chosen = self._choose_of_two([row for row in found if row.slowness <= max_slowness])
        if candidates.ahead and chosen.slowness * candidates.work_s > candidates.remaining_s:
            return None
        return None if _is_waiting_faster(candidates, found[0]) else chosen

    def _choose_slowest(self, candidates: Candidates) -> UpstreamRow | None:
        budget_s = candidates.remaining_s * BULK_DEADLINE_FRACTION
        max_slowness = budget_s / candidates.work_s
        return candidates.pool.slowest_free(max_slowness, candidates.excluded)

    def _choose_of_two(self, found: list[UpstreamRow]) -> UpstreamRow:
        if len(found) == 1:
            return found[0]
        first = found[int(self._draw_random() * len(found))]
        second = found[int(self._draw_random() * len(found))]
        return first if _relative_finish(first) <= _relative_finish(second) else second

    def _draw_random(self) -> float:
        if not self._random_numbers:
            self._random_numbers = self._generator.random(RANDOM_BATCH).tolist()
        return self._random_numbers.pop()


class RoundRobinPolicy(ChoicePolicy):
    """Chooses the free upstreams in turn, by name."""

    def __init__(self) -> None:
        self._turn = 0

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        free = sorted(candidates.find_free_rows(), key=lambda row: row.name)
        if not free:
            return None
        self._turn += 1
        return free[self._turn % len(free)]


class RandomPolicy(ChoicePolicy):
    """Chooses any free upstream with equal probability."""

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        free = candidates.find_free_rows()
        return free[int(self._generator.integers(len(free)))] if free else None


class LeastInFlightPolicy(ChoicePolicy):
    """Chooses the upstream at which this entry has the most credits that are not in use."""

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        return min(
            candidates.find_free_rows(),
            key=lambda row: (row.in_flight - row.credits, row.name),
            default=None,
        )


def make_choice_policy(name: str, generator: np.random.Generator) -> ChoicePolicy:
    """Return the policy with the given name.

    Parameters
    ----------
    name : str
        ``expected_finish``, ``round_robin``, ``random`` or ``least_in_flight``.
    generator : numpy.random.Generator
        Source of random numbers for the policies that choose at random.

    Raises
    ------
    InvalidValueError
        If no policy has the name.
    """
    if name == "expected_finish":
        return ExpectedFinishPolicy(generator)
    if name == "round_robin":
        return RoundRobinPolicy()
    if name == "random":
        return RandomPolicy(generator)
    if name == "least_in_flight":
        return LeastInFlightPolicy()
    raise InvalidValueError(
        f"policy {name!r} does not exist: use expected_finish, round_robin, random or "
        "least_in_flight"
    )


def _is_waiting_faster(candidates: Candidates, fastest_free: UpstreamRow) -> bool:
    """Return whether a faster upstream that is busy is expected to finish the request earlier."""
    speed = candidates.pool.speed_before(fastest_free)
    # The request must not wait for an upstream that it may not use.
    fastest = next(row for row in candidates.pool.rows if row.name not in candidates.excluded)
    gain_s = (fastest_free.slowness - fastest.slowness - MIN_GAIN) * candidates.work_s
    if not speed or gain_s <= 0:
        return False
    return (candidates.ahead + 1) * candidates.mix_work_s / speed < gain_s


def _relative_finish(row: UpstreamRow) -> float:
    return row.slowness * (1.0 + row.in_flight / (row.credits + 1))
