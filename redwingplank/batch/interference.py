"""Finds the pairs of subjects that slow each other down on one worker.

A subject is an image, or a queue if there is no image.
"""

import math
from collections.abc import Callable
from typing import Any

import msgspec

from redwingplank.batch.model import StepKey
from redwingplank.batch.neighbours import Exposure, Neighbours, share_of
from redwingplank.batch.runs import Run
from redwingplank.batch.slowdown import (
    LoadEffect,
    NeighbourEstimate,
    Sample,
    SlowdownRegression,
    StepSamples,
    make_sample,
)

__all__ = ["Interference", "StoredPair"]

MAX_SUBJECTS = 64
"""Largest number of subjects with estimates; the one that completed longest ago is forgotten."""
MAX_STEPS = 512
"""Largest number of steps with samples; the one that began longest ago is forgotten."""
MAX_PAIRS = 64
"""Largest number of judged pairs."""
MAX_NAME_LENGTH = 200
"""Largest length of a name in bytes; pairs with longer names are not stored. All pairs together
take at most 30 kB in the store."""
JUDGE_INTERVAL = 8
"""Number of samples of a subject between two judgements."""
LATER_JUDGE_INTERVAL = 16
"""The same once the subject has `MANY_SAMPLES`, to save processor time."""
MANY_SAMPLES = 128
"""Number of samples of a subject from which each new one changes little."""
MIN_SAMPLES = 24
"""Smallest number of samples of a subject before its neighbours are judged."""
MIN_BESIDE = 8.0
"""Smallest effective number of samples beside a neighbour before the pair is found."""
MIN_WORKERS = 3
"""Smallest number of workers with samples beside a neighbour: fewer may just be slow."""
FOUND_CERTAINTY = 4.75
"""Smallest effect in standard errors with which a pair is found. Some hundred pairs are judged
again and again, so that chance alone often exceeds three."""
FOUND_FACTOR = 1.15
"""Smallest factor on the run time with which a pair is found."""
CLEARED_CERTAINTY = 2.0
"""A pair whose effect is smaller than this, in standard errors, is cleared."""
CLEARED_FACTOR = 1.07
"""A pair with a smaller factor on the run time is cleared."""
MIN_BESIDE_TO_UPDATE = 6.0
"""Smallest effective number of samples beside a neighbour with which a judged pair is updated. A
pair that is kept apart has fewer; its last estimate is used."""
MIN_NEW_TO_UPDATE = 4
"""Smallest number of samples beside a neighbour since the last update of a judged pair."""
KEPT_S = 300.0
"""A pair that was not confirmed for this long is cleared."""
MAX_SLOWDOWN = 3.0
"""Upper bound of the factor on scores."""
MAX_COEFFICIENT = 10.0
"""Upper bound of the coefficients of judged pairs."""
CELL_WEIGHT = 0.05
"""Weight of a new sample in the mean of all subjects, which follows changes of the whole cell."""
MAX_LOG_RATIO = math.log(6.0)
"""Bound of the logarithm of a sample."""

LogDecision = Callable[..., None]
Pair = tuple[str, str]


class StoredPair(msgspec.Struct, array_like=True):
    """A judged pair in its stored form.

    `age_s` is the time in seconds since the pair was last confirmed.
    """

    subject: str
    neighbour: str
    coefficient: float
    typical_share: float
    age_s: float


class _JudgedPair:
    __slots__ = ("age_s", "beside_count", "coefficient", "typical_share")

    def __init__(
        self,
        coefficient: float,
        typical_share: float,
        age_s: float = 0.0,
        beside_count: int = 0,
    ) -> None:
        self.coefficient = min(MAX_COEFFICIENT, max(0.0, coefficient))
        self.typical_share = min(1.0, max(0.0, typical_share))
        self.age_s = max(0.0, age_s)
        """Time since the pair was last confirmed, in seconds."""
        self.beside_count = beside_count
        """Number of samples beside the neighbour at that time."""

    @classmethod
    def from_estimate(cls, estimate: NeighbourEstimate) -> "_JudgedPair":
        return cls(estimate.coefficient, estimate.typical_share, beside_count=estimate.beside_count)

    @property
    def factor(self) -> float:
        return math.exp(self.coefficient * self.typical_share)


class Interference:
    """Learns which subjects slow down which others on the same worker.

    Parameters
    ----------
    log_decision : callable
        Called with the name and the fields of each event that is written to the log.

    Notes
    -----
    Pairs have a direction: a subject that is slowed down, and its neighbour. Both directions of a
    pair that slows each other down are found separately.
    """

    def __init__(self, log_decision: LogDecision) -> None:
        self._log_decision = log_decision
        self.neighbours = Neighbours()
        self._regressions: dict[str, SlowdownRegression] = {}
        self._samples_by_step: dict[tuple[StepKey, str], StepSamples] = {}
        self._judged: dict[Pair, _JudgedPair] = {}
        self._involved: frozenset[str] = frozenset()
        """Subjects of all judged pairs."""
        self._load_effect = LoadEffect()
        self._cell_mean = 0.0
        self._aged_s: float | None = None

    # Use.

    @property
    def pair_count(self) -> int:
        """Number of judged pairs."""
        return len(self._judged)

    @property
    def pairs(self) -> dict[Pair, float]:
        """Factor on the run time of each judged pair of a subject and its neighbour."""
        return {pair: judged.factor for pair, judged in self._judged.items()}

    def slowdown(self, worker_id: str, subject: str, share: float) -> float:
        """Return the expected factor on run times if a task is placed on a worker.

        Parameters
        ----------
        worker_id : str
            Id of the worker.
        subject : str
            Subject of the task.
        share : float
            Share of the worker's processor that the task reserves.

        Returns
        -------
        float
            Product of what the task suffers from those present and what they suffer from it, at
            most `MAX_SLOWDOWN`; 1 without judged pairs among them.
        """
        if subject not in self._involved:
            return 1.0
        exponent = 0.0
        for present, present_share in self.neighbours.shares_on(worker_id).items():
            suffered = self._judged.get((subject, present))
            if suffered is not None:
                exponent += suffered.coefficient * present_share
            inflicted = self._judged.get((present, subject))
            if inflicted is not None:
                exponent += inflicted.coefficient * share
        return min(MAX_SLOWDOWN, math.exp(min(5.0, exponent)))

    # Samples.

    def record(self, run: Run, subject: str, ratio: float, now_s: float) -> None:
        """Record the successful completion of a run.

        Runs that were adopted, whose start was not confirmed, or whose speed the owner has reduced
        are ignored.

        Parameters
        ----------
        run : Run
            The run.
        subject : str
            Subject of its task.
        ratio : float
            Ratio of the measured run time to the one that was expected before.
        now_s : float
            Current time in seconds.
        """
        if not run.is_accepted or run.pace_percent != 100 or ratio <= 0.0:
            return
        exposure = self.neighbours.exposure(run, now_s)
        if exposure is not None:
            self.record_sample(run, subject, ratio, exposure, now_s)

    def record_sample(
        self, run: Run, subject: str, ratio: float, exposure: Exposure, now_s: float
    ) -> None:
        """Record a run time ratio with what ran beside the run; see `record`."""
        shares, kind = exposure.share_by_subject, run.worker.entry.kind
        log_ratio = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, math.log(ratio)))
        sample = make_sample(log_ratio - self._cell_mean, shares, share_of(run))
        self._cell_mean += CELL_WEIGHT * (log_ratio - self._cell_mean)
        compared = self._samples_of(run.task_id.step_key, kind).compare(sample)
        self._load_effect.add(compared, compared.value - self._explained(subject, compared))
        value = compared.value - self._load_effect.expected(compared)
        regression = self._regression_of(subject)
        incarnation = run.incarnation
        worker_key = f"{incarnation.worker_id}/{incarnation.born_ms}"
        regression.add(compared._replace(value=value), shares, worker_key, kind)
        count = regression.sample_count
        if count % (JUDGE_INTERVAL if count < MANY_SAMPLES else LATER_JUDGE_INTERVAL) == 0:
            self._clear_old_pairs(now_s)
            if count >= MIN_SAMPLES:
                self._judge(subject, regression)

    def _explained(self, subject: str, sample: Sample) -> float:
        """Return the part of a sample's value that is due to judged pairs."""
        if subject not in self._involved:
            return 0.0
        return sum(
            self._judged[subject, name].coefficient * share
            for name, share in sample.share_by_subject.items()
            if (subject, name) in self._judged
        )

    def _regression_of(self, subject: str) -> SlowdownRegression:
        regression = self._regressions.pop(subject, None) or SlowdownRegression()
        self._regressions[subject] = regression
        if len(self._regressions) > MAX_SUBJECTS:
            del self._regressions[next(iter(self._regressions))]
        return regression

    def _samples_of(self, step_key: StepKey, kind: str) -> StepSamples:
        key = (step_key, kind)
        samples = self._samples_by_step.get(key)
        if samples is None:
            samples = self._samples_by_step[key] = StepSamples()
            if len(self._samples_by_step) > MAX_STEPS:
                del self._samples_by_step[next(iter(self._samples_by_step))]
        return samples

    # Judgements.

    def _judge(self, subject: str, regression: SlowdownRegression) -> None:
        for neighbour, estimate in regression.estimate().items():
            pair = (subject, neighbour)
            judged = self._judged.get(pair)
            if judged is not None:
                self._update(pair, judged, estimate)
            elif _is_found(estimate) and len(self._judged) < MAX_PAIRS:
                self._judged[pair] = _JudgedPair.from_estimate(estimate)
                self._log("interference_found", pair, estimate)
                self._note_involved()

    def _update(self, pair: Pair, judged: _JudgedPair, estimate: NeighbourEstimate) -> None:
        new_count = abs(estimate.beside_count - judged.beside_count)
        if estimate.beside < MIN_BESIDE_TO_UPDATE or new_count < MIN_NEW_TO_UPDATE:
            return
        factor = min(estimate.factor, estimate.recent_factor)
        if factor < CLEARED_FACTOR or estimate.certainty < CLEARED_CERTAINTY:
            self._log("interference_cleared", pair, estimate, reason="contradicted")
            del self._judged[pair]
            self._note_involved()
            return
        self._judged[pair] = _JudgedPair.from_estimate(estimate)

    def _clear_old_pairs(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._aged_s) if self._aged_s is not None else 0.0
        self._aged_s = now_s
        for pair, judged in list(self._judged.items()):
            judged.age_s += elapsed_s
            if judged.age_s > KEPT_S:
                self._log_decision(
                    "interference_cleared",
                    subject=pair[0],
                    neighbour=pair[1],
                    factor=judged.factor,
                    reason="not_confirmed",
                )
                del self._judged[pair]
                self._note_involved()
                if pair[0] in self._regressions:
                    # Otherwise the old evidence would bring the pair back.
                    self._regressions[pair[0]].forget(pair[1])

    def _note_involved(self) -> None:
        self._involved = frozenset(name for pair in self._judged for name in pair)

    def _log(self, event: str, pair: Pair, estimate: NeighbourEstimate, **fields: Any) -> None:
        self._log_decision(
            event,
            subject=pair[0],
            neighbour=pair[1],
            factor=estimate.factor,
            recent_factor=estimate.recent_factor,
            certainty=estimate.certainty,
            beside=estimate.beside,
            apart=estimate.apart,
            workers=estimate.worker_count,
            **fields,
        )

    # Stored form.

    def encode_pairs(self) -> list[StoredPair]:
        """Return the judged pairs in their stored form, for the next owner."""
        return [
            StoredPair(
                *pair,
                round(judged.coefficient, 4),
                round(judged.typical_share, 4),
                round(judged.age_s, 1),
            )
            for pair, judged in self._judged.items()
            if max(len(name.encode()) for name in pair) <= MAX_NAME_LENGTH
        ]

    def restore_pairs(self, stored: list[StoredPair]) -> None:
        """Restore the judged pairs of an earlier owner; their evidence is collected anew."""
        self._judged = {
            (row.subject, row.neighbour): _JudgedPair(row.coefficient, row.typical_share, row.age_s)
            for row in stored[:MAX_PAIRS]
        }
        self._note_involved()


def _is_found(estimate: NeighbourEstimate) -> bool:
    has_evidence = estimate.beside >= MIN_BESIDE and estimate.worker_count >= MIN_WORKERS
    if not has_evidence or estimate.certainty < FOUND_CERTAINTY:
        return False
    rest = estimate.lowest_coefficient * estimate.typical_share
    factor = min(estimate.factor, estimate.recent_factor)
    return factor >= FOUND_FACTOR and rest >= math.log(FOUND_FACTOR) / 2
