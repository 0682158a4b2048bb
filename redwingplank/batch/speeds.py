"""Learns how long tasks take: by worker, by kind of worker, and by queue or image."""

import msgspec

from redwingplank.batch.model import StepSpec, WorkerEntry

__all__ = ["Speeds"]

LEARNING_WEIGHT = 0.08
"""Of a sample, once there are many."""
WORKER_WEIGHT = 0.15
"""The same for a worker: it may turn slow within seconds."""
MAX_RATIO = 6.0
MIN_WORKER_FACTOR = 0.4
"""A worker is not taken for faster than this: single tasks are shorter than estimated."""
MIN_ESTIMATE_S = 0.05
MAX_KEPT = 300
"""Workers, and images and queues, that the next owner is told of: some 15 kB in the store."""


class _Learned(msgspec.Struct):
    """Means with the number of their samples, as the store holds them."""

    by_kind: dict[str, tuple[float, int]] = {}
    by_subject: dict[str, tuple[float, int]] = {}
    by_worker: dict[str, tuple[float, int]] = {}


class _Mean:
    __slots__ = ("count", "value")

    def __init__(self, value: float = 1.0, count: int = 0) -> None:
        self.value = value
        self.count = count

    def add(self, sample: float, least_weight: float) -> None:
        self.count += 1
        weight = max(least_weight, 1.0 / (self.count + 1))
        self.value += weight * (sample - self.value)


class Speeds:
    """Running means of measured over estimated run times.

    Parameters
    ----------
    remote_factor : float
        How many times as long a task takes away from its data.
    """

    def __init__(self, remote_factor: float) -> None:
        self._remote_factor = remote_factor
        self._by_kind: dict[str, _Mean] = {}
        self._by_subject: dict[str, _Mean] = {}
        self._by_worker: dict[str, _Mean] = {}

    def record_run_time(
        self, spec: StepSpec, queue: str, entry: WorkerEntry, measured_s: float
    ) -> None:
        """Take the run time of a task that ended as done.

        Parameters
        ----------
        spec : StepSpec
            Of its step.
        queue : str
            Its queue.
        entry : WorkerEntry
            The worker.
        measured_s : float
            From the worker's taking it to its end.
        """
        estimate_s = max(MIN_ESTIMATE_S, spec.estimate_s)
        ratio = min(MAX_RATIO, measured_s / estimate_s / self.distance(spec, entry))
        subject = self._by_subject.setdefault(spec.image or queue, _Mean())
        by_kind = self._by_kind.setdefault(entry.kind, _Mean())
        worker = self._by_worker.setdefault(_worker_key(entry), _Mean())
        worker.add(min(MAX_RATIO, ratio / subject.value / by_kind.value), WORKER_WEIGHT)
        by_kind.add(ratio / subject.value, LEARNING_WEIGHT)
        subject.add(ratio / by_kind.value, LEARNING_WEIGHT)

    @property
    def workers_known(self) -> int:
        """How many workers something was learned of."""
        return len(self._by_worker)

    def encode(self) -> bytes:
        """Return what was learned, for the next owner."""
        return msgspec.json.encode(
            _Learned(_kept(self._by_kind), _kept(self._by_subject), _kept(self._by_worker))
        )

    def restore(self, value: bytes) -> None:
        """Begin with what an earlier owner learned.

        Raises
        ------
        msgspec.MsgspecError
            If the value is not from `encode`; nothing is taken then.
        """
        learned = msgspec.json.decode(value, type=_Learned)
        self._by_kind = _means(learned.by_kind)
        self._by_subject = _means(learned.by_subject)
        self._by_worker = _means(learned.by_worker)

    def factor(self, entry: WorkerEntry) -> float:
        """Return the run time on a worker, relative to the others."""
        kind = self._by_kind.get(entry.kind)
        worker = self._by_worker.get(_worker_key(entry))
        by_worker = max(MIN_WORKER_FACTOR, worker.value) if worker else 1.0
        return by_worker * (kind.value if kind else 1.0)

    def distance(self, spec: StepSpec, entry: WorkerEntry) -> float:
        """Return how many times as long a task takes there for the way to its data."""
        is_remote = bool(spec.data_rack) and spec.data_rack != entry.rack
        return self._remote_factor if is_remote else 1.0

    def expected_s(self, spec: StepSpec, queue: str, entry: WorkerEntry | None = None) -> float:
        """Return how long a task will take, on a worker or on a usual one."""
        subject = self._by_subject.get(spec.image or queue)
        ratio = subject.value if subject else 1.0
        by_worker = 1.0 if entry is None else self.factor(entry) * self.distance(spec, entry)
        return max(MIN_ESTIMATE_S, spec.estimate_s) * ratio * by_worker


def _worker_key(entry: WorkerEntry) -> str:
    """Name one life of a worker: the next one may be of another kind."""
    return f"{entry.worker_id}/{entry.born_ms}"


def _kept(means: dict[str, _Mean]) -> dict[str, tuple[float, int]]:
    """Return the means that the store is to hold: those of the newest names."""
    names = list(means)[-MAX_KEPT:]
    return {name: (round(means[name].value, 4), means[name].count) for name in names}


def _means(kept: dict[str, tuple[float, int]]) -> dict[str, _Mean]:
    return {name: _Mean(*pair) for name, pair in kept.items()}
