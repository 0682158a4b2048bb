"""Policies that choose an upstream among those with a free slot.

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
BULK_DEADLINE_FRACTION = 0.5
MIN_GAIN = 0.25


@dataclass(slots=True)
class Candidates:
    """What a policy chooses from.

    Parameters
    ----------
    pool : UpstreamPool
        Upstreams of the service.
    prefers_slow : bool
        Whether the request leaves the fast upstreams to others.
    remaining_s : float
        Seconds to the request's deadline.
    work_s, mix_work_s : float
        Expected service time at slowness 1, of the request and of the average request.
    ahead : int
        Requests that wait and are served before this one.
    excluded : frozenset of str
        Upstreams that must not be chosen.
    """

    pool: UpstreamPool
    prefers_slow: bool
    remaining_s: float
    work_s: float
    mix_work_s: float
    ahead: int
    excluded: frozenset[str]

    def free(self) -> list[UpstreamRow]:
        """Return all rows that can take the request now, fastest first."""
        return self.pool.free_rows(self.excluded)


class ChoicePolicy(ABC):
    """Chooses an upstream."""

    @abstractmethod
    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        """Return an upstream with a free slot, or None when the request should wait."""


class ExpectedFinishPolicy(ChoicePolicy):
    """Two random choices among the fastest free upstreams, the earlier expected finish wins.

    Parameters
    ----------
    generator : numpy.random.Generator
        The source of randomness.

    Notes
    -----
    A request waits although a slow upstream is free when a slot of a faster one is expected to
    finish it earlier. A slot that would answer after the deadline is left to others that wait.
    Bulk requests take the slowest upstream that leaves half of their time.
    """

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._numbers: list[float] = []

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        if candidates.prefers_slow:
            return self._choose_slowest(candidates)
        found = candidates.pool.fastest_free(FASTEST_CONSIDERED, candidates.excluded)
        if not found:
            return None
        most = found[0].slowness + MIN_GAIN
        chosen = self._choose_of_two([row for row in found if row.slowness <= most])
        if candidates.ahead and chosen.slowness * candidates.work_s > candidates.remaining_s:
            return None
        return None if _is_wait_shorter(candidates, found[0]) else chosen

    def _choose_slowest(self, candidates: Candidates) -> UpstreamRow | None:
        budget_s = candidates.remaining_s * BULK_DEADLINE_FRACTION
        max_slowness = budget_s / candidates.work_s
        return candidates.pool.slowest_free(max_slowness, candidates.excluded)

    def _choose_of_two(self, found: list[UpstreamRow]) -> UpstreamRow:
        if len(found) == 1:
            return found[0]
        first = found[int(self._random() * len(found))]
        second = found[int(self._random() * len(found))]
        return first if _relative_finish(first) <= _relative_finish(second) else second

    def _random(self) -> float:
        if not self._numbers:
            self._numbers = self._generator.random(RANDOM_BATCH).tolist()
        return self._numbers.pop()


class RoundRobinPolicy(ChoicePolicy):
    """The next free upstream in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        free = sorted(candidates.free(), key=lambda row: row.name)
        if not free:
            return None
        self._turn += 1
        return free[self._turn % len(free)]


class RandomPolicy(ChoicePolicy):
    """Any free upstream."""

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        free = candidates.free()
        return free[int(self._generator.integers(len(free)))] if free else None


class LeastInFlightPolicy(ChoicePolicy):
    """The free upstream with the fewest requests of this entry."""

    def choose_upstream(self, candidates: Candidates) -> UpstreamRow | None:
        return min(
            candidates.free(), key=lambda row: (row.in_flight - row.credits, row.name), default=None
        )


def make_choice_policy(name: str, generator: np.random.Generator) -> ChoicePolicy:
    """Return the policy with a name.

    Parameters
    ----------
    name : str
        ``expected_finish``, ``round_robin``, ``random`` or ``least_in_flight``.
    generator : numpy.random.Generator
        For the policies that choose at random.

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


def _is_wait_shorter(candidates: Candidates, fastest_free: UpstreamRow) -> bool:
    """Return whether a slot of a faster, busy upstream is expected to finish it earlier."""
    speed = candidates.pool.speed_before(fastest_free)
    # An upstream that the request must not use is not worth waiting for.
    fastest = next(row for row in candidates.pool.rows if row.name not in candidates.excluded)
    gain_s = (fastest_free.slowness - fastest.slowness - MIN_GAIN) * candidates.work_s
    if not speed or gain_s <= 0:
        return False
    return (candidates.ahead + 1) * candidates.mix_work_s / speed < gain_s


def _relative_finish(row: UpstreamRow) -> float:
    return row.slowness * (1.0 + row.in_flight / (row.credits + 1))
