"""CPU cost of the owner of a cell's jobs: decisions at full and at partly free workers."""

import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from redwingplank.batch.emulated_worker import EmulatedWorker
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import (
    AdvicePolicy,
    Amounts,
    CellConfig,
    JobSpec,
    QueuePolicy,
    StepSpec,
    WorkerEntry,
)
from redwingplank.batch.owner import JobOwner
from redwingplank.batch.placement import Placement

__all__ = ["OwnerCost", "OwnerLoad"]

WORKERS = 176
DOMAINS = ("a", "b", "c", "d")
QUICK_JOBS_PER_S = 16.0
LARGE_JOBS_PER_S = 2.5
STEP_S = 0.02  # between two groups of submissions
WARM_UP_S = 4.0
MEASURED_S = 4.0
LONG_TASKS = 400
WAITING_JOBS = 50
"""Jobs of 20 tasks that are submitted at once at full workers."""
LOADS = {"free": 0.3, "steady": 1.0, "burst": 2.6, "waiting": 1.0}
SEED = 1
OWNER_METHODS = (
    "submit",
    "tick",
    "pop_records",
    "confirm_stored_records",
    "is_write_urgent",
    "list_workers",
    "next_poll",
    "apply_report",
    "mark_start_sent",
    "handle_start_outcome",
    "handle_advice",
)
QUICK = QueuePolicy("q", "h", "/q/", "s", 0, 4, 1.5, 0.25, AdvicePolicy(0.03, 0.0004, 2.0))
LARGE = QueuePolicy("l", "h", "/l/", "s", 2, 2, 2.2, 1.2, AdvicePolicy(0.1, 0.002, 2.0))


class OwnerLoad:
    """An emulated cell of 176 workers under the load of one case, with the owner's time by method.

    Parameters
    ----------
    case : str
        Name of the load, a key of `LOADS`.
    """

    def __init__(self, case: str) -> None:
        self._rng = random.Random(SEED)
        workers = [_make_worker(number) for number in range(WORKERS)]
        config = CellConfig(1, {QUICK.name: QUICK, LARGE.name: LARGE})
        self.cell = EmulatedCell(config, workers, SEED, is_allowed=self._is_allowed)
        # The checks of the emulator take most of the time at this size, and other tests run them.
        self.cell.checks.check_start = lambda *_: None  # type: ignore[method-assign]
        self.case = case
        self.counts: Counter[str] = Counter()
        self.seconds: defaultdict[str, float] = defaultdict(float)
        self.pass_s: list[float] = []

    def _is_allowed(self, key: Any, worker_id: str) -> bool:
        return (key.step + int(worker_id[1:])) % 5 != 0

    def warm_up(self) -> None:
        """Run until the speeds are learned and, unless capacity is to be free, workers are full."""
        self.cell.run_for(1.0)
        if self.case == "waiting":
            self._submit_long_jobs()
        self._offer(WARM_UP_S, LOADS[self.case] if self.case != "burst" else 1.0)

    def _submit_long_jobs(self) -> None:
        for number in range(LONG_TASKS // 20):
            self._submit(f"long-{number}", LARGE, StepSpec(20, Amounts(6000, 4000), 60.0))
        self.cell.run_for(1.0)
        for number in range(WAITING_JOBS):
            self._submit(f"waits-{number}", LARGE, StepSpec(20, Amounts(8000, 4000), 4.0))

    def measure(self) -> None:
        """Offer the load of the case for the measured time."""
        originals = {name: getattr(JobOwner, name) for name in OWNER_METHODS}
        score = Placement.score
        try:
            for name, original in originals.items():
                setattr(JobOwner, name, self._timed(name, original))
            Placement.score = self._counted("score", score)  # type: ignore[method-assign]
            starts = self.cell.starts
            self._offer(MEASURED_S, LOADS[self.case])
            self.counts["starts"] = self.cell.starts - starts
        finally:
            for name, original in originals.items():
                setattr(JobOwner, name, original)
            Placement.score = score  # type: ignore[method-assign]

    def _timed(self, name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*arguments: Any, **named: Any) -> Any:
            started_s = time.process_time()
            try:
                return method(*arguments, **named)
            finally:
                took_s = time.process_time() - started_s
                self.seconds[name] += took_s
                self.counts[name] += 1
                if name == "tick":
                    self.pass_s.append(took_s)

        return timed

    def _counted(self, name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        def counted(*arguments: Any) -> Any:
            self.counts[name] += 1
            return method(*arguments)

        return counted

    def _offer(self, duration_s: float, load: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            if self._rng.random() < QUICK_JOBS_PER_S * load * STEP_S:
                self._submit_quick()
            if self._rng.random() < LARGE_JOBS_PER_S * load * STEP_S:
                self._submit_large()
            self.cell.run_for(STEP_S)

    def _submit_quick(self) -> None:
        rng = self._rng
        count = 1 + (rng.random() < 0.6)
        steps = [
            StepSpec(10, Amounts(rng.randint(2200, 4500), 1000), rng.uniform(0.54, 0.8), after)
            for after in ((), (0,))[:count]
        ]
        self._submit(f"quick-{len(self.cell.specs_by_id)}", QUICK, *steps)

    def _submit_large(self) -> None:
        rng = self._rng
        is_gang = rng.random() < 0.08
        steps = [
            StepSpec(
                8 if is_gang else rng.randint(17, 21),
                Amounts(rng.randint(4500, 9000), 4000),
                rng.uniform(3.8, 4.8),
                after,
                saves=True,
                is_gang=is_gang,
                image=f"image-{number}",
            )
            for number, after in enumerate(((), (0,)))
        ]
        self._submit(f"large-{len(self.cell.specs_by_id)}", LARGE, *steps)

    def _submit(self, job_id: str, queue: QueuePolicy, *steps: StepSpec) -> None:
        self.cell.submit(JobSpec(job_id, queue.name, "payload", steps, self.cell.now_s))


class OwnerCost:
    """Time of the owner's decisions by case; writes, commands and polls are emulated."""

    params = list(LOADS)
    param_names = ["case"]

    def track_owner(self, case: str) -> dict[str, float]:
        """Return the time per start, the time of a pass, and how often workers are scored."""
        load = OwnerLoad(case)
        load.warm_up()
        load.measure()
        starts = max(1, load.counts["starts"])
        total_s = sum(load.seconds.values())
        ordered = sorted(load.pass_s)
        return {
            "us_per_start": total_s * 1e6 / starts,
            "us_per_start_in_ticks": load.seconds["tick"] * 1e6 / starts,
            "pass_ms": load.seconds["tick"] * 1e3 / len(ordered),
            "pass_p99_ms": ordered[int(len(ordered) * 0.99)] * 1e3,
            "scores_per_start": load.counts["score"] / starts,
            "starts_per_s": load.counts["starts"] / MEASURED_S,
        }


def _make_worker(number: int) -> EmulatedWorker:
    kind = ("fast", "plain", "slow")[number % 3]
    entry = WorkerEntry(
        f"w{number}",
        f"w{number}:80",
        DOMAINS[number % len(DOMAINS)],
        "s",
        Amounts(16000, 64000, 0),
        kind,
        f"r{number % 11}",
        (kind,),
        1,
    )
    return EmulatedWorker(entry, {"fast": 0.8, "plain": 1.0, "slow": 1.3}[kind])
