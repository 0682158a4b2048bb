"""Learns how long tasks take by worker, by kind of worker, and by image or queue."""

from statistics import fmean

import msgspec

from redwingplank.batch.interference import Interference, StoredPair
from redwingplank.batch.model import StepSpec, WorkerEntry
from redwingplank.core import decode_json

__all__ = ["Speeds"]

MIN_SAMPLE_WEIGHT = 0.08
"""Smallest weight of a new sample in a running mean; the first samples have larger weights."""
MIN_WORKER_SAMPLE_WEIGHT = 0.15
"""Smallest weight of a new sample of a worker; larger, as a worker may turn slow within seconds."""
MAX_RATIO = 6.0
"""Larger ratios of measured to estimated run time are clipped to this value."""
MIN_RATIO = 0.02
"""Lower bound of ratios and means: a run time that was measured too late can be nearly zero."""
MIN_WORKER_FACTOR = 0.4
"""Lower bound of a worker's factor, because single tasks are shorter than estimated."""
MIN_ESTIMATE_S = 0.05
"""Smaller estimates of callers are raised to this value."""
MAX_STORED_MEANS = 300
"""Largest number of means in each table that is stored for the next owner.

All tables together take some 15 kB in the store.
"""
MAX_NAME_LENGTH = 200
"""Means of images with longer names are not stored: callers choose them."""


class _Learned(msgspec.Struct):
    """Running means with their numbers of samples, in their stored form."""

    by_kind: dict[str, tuple[float, int]] = {}
    by_subject: dict[str, tuple[float, int]] = {}
    by_worker: dict[str, tuple[float, int]] = {}
    pairs: list[StoredPair] = []
    """Pairs of subjects that slow each other down; earlier versions neither write nor read them."""


class _Mean:
    __slots__ = ("count", "value")

    def __init__(self, value: float = 1.0, count: int = 0) -> None:
        self.value = value
        self.count = count

    def add_sample(self, sample: float, min_weight: float) -> None:
        """Add a sample, clipped to the range of plausible ratios."""
        self.count += 1
        weight = max(min_weight, 1.0 / (self.count + 1))
        self.value += weight * (_clip(sample) - self.value)


class Speeds:
    """Running means of the ratio of measured to estimated run times.

    Parameters
    ----------
    remote_factor : float
        Factor on the run time of a task that runs in another rack than its data.
    interference : Interference, optional
        What is learned of pairs of subjects; it is stored with the means.

    Notes
    -----
    A measured ratio is the product of the means of its subject (an image or a queue), of the kind
    of the worker and of the worker itself. Samples fix only the product, so the means of kinds are
    kept at an average of 1; otherwise they and those of the subjects drift apart without bound.
    """

    def __init__(self, remote_factor: float, interference: Interference | None = None) -> None:
        self._remote_factor = remote_factor
        self._by_kind: dict[str, _Mean] = {}
        self._by_subject: dict[str, _Mean] = {}
        self._by_worker: dict[str, _Mean] = {}
        self._interference = interference

    def record_run_time(
        self, spec: StepSpec, queue: str, entry: WorkerEntry, measured_s: float
    ) -> None:
        """Record the run time of a task that completed successfully.

        Parameters
        ----------
        spec : StepSpec
            Step of the task.
        queue : str
            Queue of its job.
        entry : WorkerEntry
            Worker that ran the task.
        measured_s : float
            Time from the start on the worker until the completion.
        """
        estimate_s = max(MIN_ESTIMATE_S, spec.estimate_s)
        ratio = _clip(measured_s / estimate_s / self.distance_factor(spec, entry))
        subject = self._by_subject.setdefault(spec.image or queue, _Mean())
        by_kind = self._by_kind.setdefault(entry.kind, _Mean())
        worker = self._by_worker.setdefault(_worker_key(entry), _Mean())
        worker.add_sample(ratio / subject.value / by_kind.value, MIN_WORKER_SAMPLE_WEIGHT)
        by_kind.add_sample(ratio / subject.value, MIN_SAMPLE_WEIGHT)
        subject.add_sample(ratio / by_kind.value, MIN_SAMPLE_WEIGHT)
        self._normalise_kinds()

    def _normalise_kinds(self) -> None:
        """Scale the means of kinds to an average of 1, without changing any product of means."""
        average = fmean(mean.value for mean in self._by_kind.values())
        for mean in self._by_kind.values():
            mean.value /= average
        for mean in self._by_subject.values():
            mean.value *= average

    @property
    def workers_known(self) -> int:
        """Number of workers with recorded run times."""
        return len(self._by_worker)

    def encode(self) -> bytes:
        """Return the learned means in their stored form, for the next owner."""
        return msgspec.json.encode(
            _Learned(
                _encode_means(self._by_kind),
                _encode_means(self._by_subject),
                _encode_means(self._by_worker),
                self._interference.encode_pairs() if self._interference else [],
            )
        )

    def restore(self, value: bytes) -> None:
        """Restore the means that an earlier owner learned.

        Raises
        ------
        UndecodableError
            If the value is not from `encode`; the means are left unchanged then.
        """
        learned = decode_json(value, _Learned)
        self._by_kind = _decode_means(learned.by_kind)
        self._by_subject = _decode_means(learned.by_subject)
        self._by_worker = _decode_means(learned.by_worker)
        if self._interference is not None:
            self._interference.restore_pairs(learned.pairs)

    def worker_factor(self, entry: WorkerEntry) -> float:
        """Return the expected run time on a worker relative to an average worker."""
        kind = self._by_kind.get(entry.kind)
        worker = self._by_worker.get(_worker_key(entry))
        by_worker = max(MIN_WORKER_FACTOR, worker.value) if worker else 1.0
        return by_worker * (kind.value if kind else 1.0)

    def distance_factor(self, spec: StepSpec, entry: WorkerEntry) -> float:
        """Return the factor on the run time that the distance to the data causes on a worker."""
        is_remote = bool(spec.data_rack) and spec.data_rack != entry.rack
        return self._remote_factor if is_remote else 1.0

    def expected_s(self, spec: StepSpec, queue: str, entry: WorkerEntry | None = None) -> float:
        """Return the expected run time of a task on a worker, or on an average one if None."""
        subject = self._by_subject.get(spec.image or queue)
        ratio = subject.value if subject else 1.0
        by_worker = (
            1.0 if entry is None else self.worker_factor(entry) * self.distance_factor(spec, entry)
        )
        return max(MIN_ESTIMATE_S, spec.estimate_s) * ratio * by_worker


def _worker_key(entry: WorkerEntry) -> str:
    """Return the key of one incarnation of a worker; the next one may be of another kind."""
    return f"{entry.worker_id}/{entry.born_ms}"


def _encode_means(means: dict[str, _Mean]) -> dict[str, tuple[float, int]]:
    """Return the means to store: those of the names that were added last and are not long."""
    short = [name for name in means if len(name) <= MAX_NAME_LENGTH]
    names = short[-MAX_STORED_MEANS:]
    return {name: (round(means[name].value, 4), means[name].count) for name in names}


def _decode_means(stored: dict[str, tuple[float, int]]) -> dict[str, _Mean]:
    return {name: _Mean(_clip(value), max(0, count)) for name, (value, count) in stored.items()}


def _clip(ratio: float) -> float:
    return min(MAX_RATIO, max(MIN_RATIO, ratio))
