"""Estimates by how much the neighbours of a subject slow it down."""

import math
from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "LoadEffect",
    "NeighbourEstimate",
    "Sample",
    "SlowdownRegression",
    "StepSamples",
    "make_sample",
]

FORGETTING = 0.995
"""Factor on the weight of earlier samples with each new one: about 200 samples count."""
RECENT_FORGETTING = 0.96
"""The same for the recent coefficient of a neighbour: about 25 samples beside it count."""
MAX_NEIGHBOURS = 12
"""Largest number of neighbours of one subject; the one that was seen longest ago is forgotten."""
MAX_WORKERS = 8
"""Number of workers for which the evidence of a pair is kept apart."""
RIDGE = 0.05
"""Added to the squared exposure of each neighbour; it draws coefficients with little evidence to
zero."""
MIN_CLIP = 0.35
"""Logarithms of ratios below this are never clipped."""
CLIP_DEVIATIONS = 3.0
"""Larger deviations, in units of the mean deviation, are clipped."""
MIN_NOISE = 0.08
"""Lower bound of the assumed standard deviation of a sample."""
MIN_BESIDE_SHARE = 0.04
"""A sample is beside a neighbour if that one had at least this mean share of the processor."""
MIN_CERTAINTY = 3.0
"""Below this certainty nothing is computed that only matters for pairs to be found."""
DEVIATION_WEIGHT = 0.05
"""Weight of a new sample in the mean deviations."""
KIND_WEIGHT = 0.1
"""Weight of a new sample in the means of kinds of workers."""
MAX_KINDS = 16
"""Largest number of kinds of workers of one subject."""
FULL_LOAD = 0.75
"""Share of a worker's processor above which the general load may have a larger effect."""
LOAD_FORGETTING = 0.998
"""Factor on the weight of earlier samples of the cell with each new one: about 500 count."""
LOAD_RIDGE = 0.5
"""Added to the squared load; it draws the effect of the general load to zero."""
FIRST_LOAD_WEIGHT = 0.2
"""Weight of the first sample of a step, which scatters more, for the effect of the load."""
MAX_SCALE = 1e6
"""Weights of samples grow with each sample, and are scaled down beyond this."""

_INTERCEPT = 0
_FIRST_NEIGHBOUR = 1

Vector = dict[int, float]


@dataclass(frozen=True, slots=True)
class NeighbourEstimate:
    """Estimated effect of a neighbour on a subject.

    Parameters
    ----------
    coefficient : float
        Increase of the logarithm of the run time with a share of 1 of the processor.
    certainty : float
        The coefficient in units of its standard error.
    lowest_coefficient : float
        Smallest coefficient that is left when the samples of any one worker are left out; 0 if the
        certainty is below `MIN_CERTAINTY`.
    recent_coefficient : float
        Coefficient of the last samples only, which follows a change sooner and scatters more.
    typical_share : float
        Mean share of the neighbour in the samples beside it.
    beside, apart : float
        Effective number of samples beside the neighbour, and of all others.
    beside_count : int
        Number of all samples beside the neighbour so far.
    worker_count : int
        Number of workers with recent samples beside it, at most `MAX_WORKERS`.
    """

    coefficient: float
    certainty: float
    lowest_coefficient: float
    recent_coefficient: float
    typical_share: float
    beside: float
    apart: float
    beside_count: int
    worker_count: int

    @property
    def factor(self) -> float:
        """Factor on the run time at the typical share."""
        return math.exp(min(5.0, self.coefficient * self.typical_share))

    @property
    def recent_factor(self) -> float:
        """Factor on the run time at the typical share, from the last samples only."""
        return math.exp(min(5.0, self.recent_coefficient * self.typical_share))


class _Neighbour:
    """Evidence for one neighbour, besides what the normal equations hold."""

    __slots__ = ("beside", "beside_count", "by_worker", "column", "moments", "recent", "share_sum")

    def __init__(self, column: int) -> None:
        self.column = column
        self.beside = 0.0
        self.beside_count = 0
        self.share_sum = 0.0
        self.moments = [0.0, 0.0]
        """Sums of squared exposure and of exposure times remainder, over all workers."""
        self.by_worker: dict[str, list[float]] = {}
        """The same sums by worker, the most recent ones last."""
        self.recent = [0.0, 0.0]
        """The same sums over the last samples."""

    def scale(self, factor: float) -> None:
        self.beside *= factor
        self.share_sum *= factor
        for sums in (self.moments, *self.by_worker.values()):
            sums[0] *= factor
            sums[1] *= factor

    def add(self, worker_key: str, exposure: float, remainder: float, weight: float) -> None:
        sums = self.by_worker.pop(worker_key, None) or [0.0, 0.0]
        self.by_worker[worker_key] = sums
        if len(self.by_worker) > MAX_WORKERS:
            del self.by_worker[next(iter(self.by_worker))]
        for target in (self.moments, sums):
            target[0] += weight * exposure * exposure
            target[1] += weight * exposure * remainder
        self.recent[0] += exposure * exposure - (1 - RECENT_FORGETTING) * self.recent[0]
        self.recent[1] += exposure * remainder - (1 - RECENT_FORGETTING) * self.recent[1]

    def recent_coefficient(self) -> float:
        """Return the coefficient of the last samples."""
        return self.recent[1] / self.recent[0] if self.recent[0] else 0.0

    def lowest_coefficient(self) -> float:
        """Return the smallest coefficient without the samples of any one worker."""
        lowest = math.inf
        for squares, products in self.by_worker.values():
            rest = self.moments[0] - squares
            if rest < 1e-6 * self.moments[0]:
                return 0.0
            lowest = min(lowest, (self.moments[1] - products) / rest)
        return lowest if self.by_worker else 0.0


class Sample(NamedTuple):
    """A run time with what ran beside the run, or the difference of two of them.

    Parameters
    ----------
    value : float
        Logarithm of the ratio of measured to expected run time.
    share_by_subject : dict of str to float
        Mean share of the worker's processor of each neighbour.
    load : float
        Mean share of all neighbours together.
    excess : float
        Part of the worker's whole load that exceeds `FULL_LOAD`.
    is_difference : bool
        Whether the sample was compared with others of its step.
    """

    value: float
    share_by_subject: dict[str, float]
    load: float
    excess: float
    is_difference: bool = False


def make_sample(value: float, share_by_subject: dict[str, float], own_share: float) -> Sample:
    """Return the sample of a run that used `own_share` of its worker's processor."""
    load = sum(share_by_subject.values())
    return Sample(value, share_by_subject, load, max(0.0, load + own_share - FULL_LOAD))


class StepSamples:
    """Running means of the samples of one step on one kind of worker."""

    __slots__ = ("_count", "_excess", "_load", "_shares", "_value")

    def __init__(self) -> None:
        self._count = 0
        self._value = self._load = self._excess = 0.0
        self._shares: dict[str, float] = {}

    def compare(self, sample: Sample) -> Sample:
        """Return the scaled difference of a sample to the mean of those before it, and add it.

        The differences of a step are uncorrelated, and scatter as much as single samples do. The
        first sample is returned as it is.
        """
        count = self._count
        shares, means = sample.share_by_subject, self._shares
        compared = sample
        if count:
            scale = math.sqrt(count / (count + 1))
            compared = Sample(
                scale * (sample.value - self._value),
                {
                    name: scale * (shares.get(name, 0.0) - means.get(name, 0.0))
                    for name in shares.keys() | means.keys()
                },
                scale * (sample.load - self._load),
                scale * (sample.excess - self._excess),
                is_difference=True,
            )
        self._add(sample)
        return compared

    def _add(self, sample: Sample) -> None:
        self._count += 1
        weight = 1.0 / self._count
        self._value += weight * (sample.value - self._value)
        self._load += weight * (sample.load - self._load)
        self._excess += weight * (sample.excess - self._excess)
        shares, means = sample.share_by_subject, self._shares
        for name in shares.keys() | means.keys():
            mean = means.get(name, 0.0)
            means[name] = mean + weight * (shares.get(name, 0.0) - mean)


class LoadEffect:
    """Effect of the general load of a worker on all run times, as learned from the whole cell."""

    def __init__(self) -> None:
        self._gram = [[0.0, 0.0], [0.0, 0.0]]
        self._products = [0.0, 0.0]
        self._coefficients = (0.0, 0.0)

    def expected(self, sample: Sample) -> float:
        """Return the part of a sample's value that is due to the general load."""
        return self._coefficients[0] * sample.load + self._coefficients[1] * sample.excess

    def add(self, sample: Sample, remainder: float) -> None:
        """Add a sample; `remainder` is its value without the effects of judged pairs."""
        weight = 1.0 if sample.is_difference else FIRST_LOAD_WEIGHT
        limit = MIN_CLIP * 2
        remainder = min(limit, max(-limit, remainder))
        entries = (sample.load, sample.excess)
        for row, entry in enumerate(entries):
            self._products[row] *= LOAD_FORGETTING
            self._products[row] += weight * entry * remainder
            for column, other in enumerate(entries):
                self._gram[row][column] *= LOAD_FORGETTING
                self._gram[row][column] += weight * entry * other
        (a, b), (_, d) = self._gram
        a += LOAD_RIDGE
        d += LOAD_RIDGE
        determinant = a * d - b * b
        first, second = self._products
        self._coefficients = (
            (d * first - b * second) / determinant,
            (a * second - b * first) / determinant,
        )


class SlowdownRegression:
    """Weighted least squares of the run times of one subject on what ran beside it.

    Notes
    -----
    Sample n of a step is compared with the mean of the n - 1 samples of the step before it, in the
    run time as in the neighbours; see `StepSamples`. These differences are free of all that the
    tasks of a step have in common: the error of the caller's estimate, and the state of the cell at
    that time. Only the first sample of a step is compared with other steps, and counts less by as
    much as it scatters more.
    """

    def __init__(self) -> None:
        self._weight = 1.0
        self._total_weight = 0.0
        size = _FIRST_NEIGHBOUR + MAX_NEIGHBOURS
        self._gram = [[0.0] * size for _ in range(size)]
        self._products = [0.0] * size
        self._squares = 0.0
        self._coefficients = [0.0] * size
        self._neighbours: dict[str, _Neighbour] = {}
        self._free_columns = list(range(size - 1, _FIRST_NEIGHBOUR - 1, -1))
        self._deviation_first = 0.0
        self._deviation_within = 0.0
        self._means_by_kind: dict[str, float] = {}
        self.sample_count = 0

    def add(self, sample: Sample, shares: dict[str, float], worker_key: str, kind: str) -> None:
        """Add a sample.

        Parameters
        ----------
        sample : Sample
            Sample as compared with those of its step, without the effect of the general load.
        shares : dict of str to float
            Mean share of the processor of each neighbour in the sample itself.
        worker_key : str
            Incarnation of the worker.
        kind : str
            Kind of the worker.
        """
        self.sample_count += 1
        self._age_samples()
        for name in shares:
            self._touch(name)
        is_first = not sample.is_difference
        value = sample.value - self._kind_mean(kind, sample.value) if is_first else sample.value
        value = self._clip(value, is_first=is_first)
        vector: Vector = {_INTERCEPT: 1.0} if is_first else {}
        for name, entry in sample.share_by_subject.items():
            neighbour = self._neighbours.get(name)
            if neighbour is not None and entry:
                vector[neighbour.column] = entry
        weight = self._weight * (self._relative_weight() if is_first else 1.0)
        self._total_weight += weight
        self._add_to_equations(value, vector, weight)
        self._add_to_neighbours(value, vector, weight, shares, worker_key)

    def _add_to_neighbours(
        self,
        value: float,
        vector: Vector,
        weight: float,
        shares: dict[str, float],
        worker_key: str,
    ) -> None:
        fitted = sum(self._coefficients[column] * entry for column, entry in vector.items())
        for name, share in shares.items():
            neighbour = self._neighbours.get(name)
            if neighbour is None:
                continue
            entry = vector.get(neighbour.column, 0.0)
            remainder = value - fitted + self._coefficients[neighbour.column] * entry
            neighbour.add(worker_key, entry, remainder, weight)
            if share >= MIN_BESIDE_SHARE:
                neighbour.beside += weight
                neighbour.beside_count += 1
                neighbour.share_sum += weight * share

    def _kind_mean(self, kind: str, value: float) -> float:
        """Return the mean of the earlier first samples on a kind of worker, and add one."""
        mean = self._means_by_kind.pop(kind, 0.0)
        self._means_by_kind[kind] = mean + KIND_WEIGHT * (value - mean)
        if len(self._means_by_kind) > MAX_KINDS:
            del self._means_by_kind[next(iter(self._means_by_kind))]
        return mean

    def _relative_weight(self) -> float:
        """Return the weight of the first sample of a step relative to the others."""
        if not self._deviation_within or not self._deviation_first:
            return 1.0
        return min(1.0, (self._deviation_within / self._deviation_first) ** 2)

    def _clip(self, difference: float, *, is_first: bool) -> float:
        deviation = self._deviation_first if is_first else self._deviation_within
        limit = max(MIN_CLIP, CLIP_DEVIATIONS * deviation)
        clipped = min(limit, max(-limit, difference))
        weight = DEVIATION_WEIGHT if deviation else 1.0
        deviation += weight * (abs(clipped) - deviation)
        if is_first:
            self._deviation_first = deviation
        else:
            self._deviation_within = deviation
        return clipped

    def _add_to_equations(self, difference: float, vector: Vector, weight: float) -> None:
        self._squares += weight * difference * difference
        entries = list(vector.items())
        for column, entry in entries:
            weighted = weight * entry
            self._products[column] += weighted * difference
            row = self._gram[column]
            for other, value in entries:
                row[other] += weighted * value

    def _age_samples(self) -> None:
        """Give the next sample more weight than all earlier ones, which ages these."""
        self._weight /= FORGETTING
        if self._weight < MAX_SCALE:
            return
        factor = 1.0 / self._weight
        self._weight = 1.0
        self._total_weight *= factor
        self._squares *= factor
        self._products = [value * factor for value in self._products]
        self._gram = [[value * factor for value in row] for row in self._gram]
        for neighbour in self._neighbours.values():
            neighbour.scale(factor)

    def _touch(self, name: str) -> None:
        """Make a neighbour the most recent one, and add it if it is unknown."""
        neighbour = self._neighbours.pop(name, None)
        if neighbour is None:
            if not self._free_columns:
                self._drop(next(iter(self._neighbours)))
            neighbour = _Neighbour(self._free_columns.pop())
        self._neighbours[name] = neighbour

    def forget(self, name: str) -> None:
        """Forget the evidence for a neighbour."""
        if name in self._neighbours:
            self._drop(name)

    def _drop(self, name: str) -> None:
        column = self._neighbours.pop(name).column
        self._free_columns.append(column)
        self._products[column] = self._coefficients[column] = 0.0
        self._gram[column] = [0.0] * len(self._products)
        for row in self._gram:
            row[column] = 0.0

    def estimate(self) -> dict[str, NeighbourEstimate]:
        """Return the estimates for all neighbours; the cost is bounded by `MAX_NEIGHBOURS`."""
        columns = [_INTERCEPT, *(other.column for other in self._neighbours.values())]
        ridge = RIDGE * self._weight
        matrix = [[self._gram[row][column] for column in columns] for row in columns]
        for index, row in enumerate(matrix):
            row[index] += ridge
        inverse = _invert(matrix)
        products = [self._products[column] for column in columns]
        solution = [sum(a * b for a, b in zip(row, products, strict=True)) for row in inverse]
        for column, coefficient in zip(columns, solution, strict=True):
            self._coefficients[column] = coefficient
        explained = sum(a * b for a, b in zip(solution, products, strict=True))
        freedom = self._total_weight / self._weight - len(columns)
        noise = max(0.0, self._squares - explained) / self._weight / max(1.0, freedom)
        noise = max(MIN_NOISE**2, noise)
        return {
            name: self._estimate_of(neighbour, solution[index], inverse[index][index], noise)
            for index, (name, neighbour) in enumerate(self._neighbours.items(), _FIRST_NEIGHBOUR)
        }

    def _estimate_of(
        self, neighbour: _Neighbour, coefficient: float, inverse: float, noise: float
    ) -> NeighbourEstimate:
        error = math.sqrt(max(1e-12, noise * inverse * self._weight))
        certainty = coefficient / error
        beside = neighbour.beside / self._weight
        return NeighbourEstimate(
            coefficient,
            certainty,
            neighbour.lowest_coefficient() if certainty >= MIN_CERTAINTY else 0.0,
            neighbour.recent_coefficient(),
            neighbour.share_sum / neighbour.beside if neighbour.beside else 0.0,
            beside,
            max(0.0, self._total_weight / self._weight - beside),
            neighbour.beside_count,
            len(neighbour.by_worker),
        )


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a symmetric positive definite matrix, which is overwritten."""
    size = len(matrix)
    for index in range(size):
        pivot = 1.0 / matrix[index][index]
        matrix[index][index] = 1.0
        base = matrix[index] = [value * pivot for value in matrix[index]]
        for other in range(size):
            factor = matrix[other][index]
            if other == index or not factor:
                continue
            matrix[other][index] = 0.0
            matrix[other] = [
                value - factor * entry for value, entry in zip(matrix[other], base, strict=True)
            ]
    return matrix
