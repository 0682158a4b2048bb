"""Learns how long tasks take: by kind of worker, and by queue or image against the estimate."""

import msgspec

from redwingplank.batch.model import StepSpec

__all__ = ["Speeds"]

LEARNING_WEIGHT = 0.08
FIRST_SAMPLES = 8
MAX_RATIO = 6.0
MIN_ESTIMATE_S = 0.05
MAX_SUBJECTS_KEPT = 100
"""Images and queues that the next owner is told of: some 3 kB in the store."""


class _Learned(msgspec.Struct):
    """Means with the number of their samples, as the store holds them."""

    by_kind: dict[str, tuple[float, int]] = {}
    by_subject: dict[str, tuple[float, int]] = {}


class _Mean:
    __slots__ = ("count", "value")

    def __init__(self, value: float = 1.0, count: int = 0) -> None:
        self.value = value
        self.count = count

    def add(self, sample: float) -> None:
        self.count += 1
        weight = max(LEARNING_WEIGHT, 1.0 / (self.count + 1))
        self.value += weight * (sample - self.value)


class Speeds:
    """Running means of measured over estimated run times."""

    def __init__(self) -> None:
        self._by_kind: dict[str, _Mean] = {}
        self._by_subject: dict[str, _Mean] = {}

    def learn(self, spec: StepSpec, queue: str, kind: str, measured_s: float) -> None:
        """Take the run time of a task that ended as done.

        Parameters
        ----------
        spec : StepSpec
            Of its step.
        queue : str
            Its queue.
        kind : str
            The worker's kind.
        measured_s : float
            From the worker's taking it to its end.
        """
        estimate_s = max(MIN_ESTIMATE_S, spec.estimate_s)
        ratio = min(MAX_RATIO, measured_s / estimate_s)
        subject = self._by_subject.setdefault(spec.image or queue, _Mean())
        by_kind = self._by_kind.setdefault(kind, _Mean())
        by_kind.add(ratio / subject.value)
        subject.add(ratio / by_kind.value)

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of worker that something was learned of."""
        return tuple(sorted(self._by_kind))

    def encode(self) -> bytes:
        """Return what was learned, for the next owner; subjects with most samples go first."""
        subjects = sorted(self._by_subject.items(), key=lambda pair: -pair[1].count)
        return msgspec.json.encode(
            _Learned(
                {name: (mean.value, mean.count) for name, mean in self._by_kind.items()},
                {name: (mean.value, mean.count) for name, mean in subjects[:MAX_SUBJECTS_KEPT]},
            )
        )

    def restore(self, value: bytes) -> None:
        """Begin with what an earlier owner learned.

        Raises
        ------
        msgspec.MsgspecError
            If the value is not from `encode`; nothing is taken then.
        """
        learned = msgspec.json.decode(value, type=_Learned)
        self._by_kind = {name: _Mean(*pair) for name, pair in learned.by_kind.items()}
        self._by_subject = {name: _Mean(*pair) for name, pair in learned.by_subject.items()}

    def factor(self, kind: str) -> float:
        """Return the run time on a kind of worker, relative to the others."""
        mean = self._by_kind.get(kind)
        return mean.value if mean else 1.0

    def expected_s(self, spec: StepSpec, queue: str, kind: str | None = None) -> float:
        """Return how long a task will take, on a kind of worker or on a usual one."""
        subject = self._by_subject.get(spec.image or queue)
        ratio = subject.value if subject else 1.0
        by_kind = self.factor(kind) if kind is not None else 1.0
        return max(MIN_ESTIMATE_S, spec.estimate_s) * ratio * by_kind
