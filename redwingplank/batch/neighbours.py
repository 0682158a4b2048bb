"""Tracks the load that the runs on a worker put on it, by subject, over time."""

from dataclasses import dataclass

from redwingplank.batch.runs import Run

__all__ = ["Exposure", "Neighbours", "processor_share", "share_of"]

MIN_SHARE = 0.02
"""Smallest share of a worker's processor that a run counts with, also if it reserves none."""
MAX_INTEGRALS = 64
"""Largest number of subjects that are remembered for a worker, besides those present."""

_NO_LOADS: dict[str, float] = {}


@dataclass(frozen=True, slots=True)
class Exposure:
    """What ran beside a run, as mean shares of the worker's processor during the run.

    Parameters
    ----------
    share_by_subject : dict of str to float
        Mean share of each subject, without the run itself.
    """

    share_by_subject: dict[str, float]


class _WorkerLoads:
    """Shares of the processor by subject on one worker, and their integrals over time."""

    __slots__ = ("integrals", "run_count", "shares", "updated_s")

    def __init__(self, now_s: float) -> None:
        self.shares: dict[str, float] = {}
        """Sum of the shares of the runs of each subject that is present."""
        self.integrals: dict[str, float] = {}
        """Integral of the share of each subject, in seconds."""
        self.run_count = 0
        self.updated_s = now_s

    def advance(self, now_s: float) -> None:
        """Integrate up to the present time; the cost grows with the number of subjects present."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        for subject, share in self.shares.items():
            self.integrals[subject] = self.integrals.get(subject, 0.0) + share * elapsed_s

    def add(self, subject: str, share: float) -> None:
        self.run_count += 1
        self.shares[subject] = self.shares.get(subject, 0.0) + share

    def remove(self, subject: str, share: float) -> None:
        self.run_count -= 1
        left = self.shares.get(subject, 0.0) - share
        if left > MIN_SHARE / 2:
            self.shares[subject] = left
        else:
            self.shares.pop(subject, None)
        if len(self.integrals) > MAX_INTEGRALS + len(self.shares):
            self.integrals = {name: self.integrals.get(name, 0.0) for name in self.shares}


class _TrackedRun:
    """A run that counts for the load of its worker."""

    __slots__ = ("integrals", "share", "started_s", "subject", "worker_id")

    def __init__(self, worker_id: str, subject: str, share: float) -> None:
        self.worker_id = worker_id
        self.subject = subject
        self.share = share
        self.started_s: float | None = None
        """Time of the start on the worker, None if it is not known."""
        self.integrals: dict[str, float] = {}
        """Integrals of the worker at the start."""


class Neighbours:
    """Running integrals of the load by subject for each worker that has runs.

    A run counts from the decision to start it until it certainly no longer exists. The cost of each
    call grows with the number of subjects on the worker, not with the number of runs.
    """

    def __init__(self) -> None:
        self._loads_by_worker: dict[str, _WorkerLoads] = {}
        self._tracked_by_run: dict[Run, _TrackedRun] = {}

    def add(self, run: Run, subject: str, now_s: float) -> None:
        """Add a run to the load of its worker; its start is not known yet."""
        if run in self._tracked_by_run:
            return
        worker = run.worker
        tracked = _TrackedRun(worker.id, subject, share_of(run))
        self._tracked_by_run[run] = tracked
        loads = self._loads_by_worker.get(worker.id)
        if loads is None:
            loads = self._loads_by_worker[worker.id] = _WorkerLoads(now_s)
        loads.advance(now_s)
        loads.add(subject, tracked.share)

    def mark_started(self, run: Run, now_s: float) -> None:
        """Record that the worker has accepted the start of a run."""
        tracked = self._tracked_by_run.get(run)
        if tracked is None:
            return
        loads = self._loads_by_worker[tracked.worker_id]
        loads.advance(now_s)
        tracked.started_s = now_s
        tracked.integrals = loads.integrals.copy()

    def exposure(self, run: Run, now_s: float) -> Exposure | None:
        """Return what ran beside a run from its start until now, None if the start is unknown."""
        tracked = self._tracked_by_run.get(run)
        if tracked is None or tracked.started_s is None or now_s <= tracked.started_s:
            return None
        loads = self._loads_by_worker[tracked.worker_id]
        loads.advance(now_s)
        duration_s = now_s - tracked.started_s
        shares: dict[str, float] = {}
        for subject, integral in loads.integrals.items():
            share = (integral - tracked.integrals.get(subject, 0.0)) / duration_s
            if subject == tracked.subject:
                share -= tracked.share
            if share > MIN_SHARE / 2:
                shares[subject] = share
        return Exposure(shares)

    def remove(self, run: Run, now_s: float) -> None:
        """Remove a run from the load of its worker; an unknown run is ignored."""
        tracked = self._tracked_by_run.pop(run, None)
        if tracked is None:
            return
        loads = self._loads_by_worker[tracked.worker_id]
        loads.advance(now_s)
        loads.remove(tracked.subject, tracked.share)
        if loads.run_count == 0:
            del self._loads_by_worker[tracked.worker_id]

    def shares_on(self, worker_id: str) -> dict[str, float]:
        """Return the share of the processor of each subject with runs on a worker."""
        loads = self._loads_by_worker.get(worker_id)
        return loads.shares if loads is not None else _NO_LOADS


def share_of(run: Run) -> float:
    """Return the share of its worker's processor that a run is expected to use."""
    if run.spec is None:
        return MIN_SHARE
    return processor_share(
        run.spec.amounts.cpu_millicores, run.worker.entry.capacity.cpu_millicores
    )


def processor_share(millicores: int, capacity_millicores: int) -> float:
    """Return an amount of CPU as a share of a worker's processor, at least `MIN_SHARE`."""
    return max(MIN_SHARE, millicores / capacity_millicores) if capacity_millicores else MIN_SHARE
