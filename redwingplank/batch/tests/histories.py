"""Random histories of completions, for the tests of interference."""

import random
from dataclasses import dataclass, field
from typing import Any

from redwingplank.batch.interference import Interference
from redwingplank.batch.model import Amounts, StepSpec, TaskId
from redwingplank.batch.neighbours import Exposure
from redwingplank.batch.runs import Run, RunState
from redwingplank.batch.speeds import Speeds
from redwingplank.batch.tests.cells import make_worker
from redwingplank.batch.worker import Worker

CORES_16 = Amounts(16000, 64000, 0)


@dataclass
class History:
    """Feeds completions of random steps to what an owner learns.

    The subjects `a`, `b` and so on have 0.1 to 0.45 of a worker each, and steps of 1 to 20 tasks
    whose estimates are wrong by a factor that their tasks share.
    """

    seed: int
    subject_count: int = 5
    worker_count: int = 20
    noise: float = 0.25
    step_noise: float = 0.4
    outliers: float = 0.0
    load_effect: float = 0.0
    factors: dict[tuple[str, str], float] = field(default_factory=dict)
    """Factor on the run time of a subject that a neighbour causes at its usual share."""
    width: tuple[int, int] = (1, 20)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.interference = Interference(lambda event, **rest: self.events.append((event, rest)))
        self.speeds = Speeds(2.0, self.interference)
        kinds = ("fast", "slow")
        self.workers = [
            Worker(make_worker(number, CORES_16, kind=self.rng.choice(kinds)).entry, 0.0)
            for number in range(self.worker_count)
        ]
        self.slowness = {
            worker.id: (1.6 if worker.entry.kind == "slow" else 0.9) * self.rng.uniform(0.9, 1.1)
            for worker in self.workers
        }
        self.share = {
            name: self.rng.uniform(0.1, 0.45) for name in "abcdefghijkl"[: self.subject_count]
        }
        self.rate = {name: self.rng.uniform(0.5, 2.0) for name in self.share}
        self.present = {worker.id: self._draw_neighbours() for worker in self.workers}
        self.fixed: dict[str, list[str]] = {}
        """What always runs on a worker, by its id."""
        self.samples_by_subject = dict.fromkeys(self.share, 0)
        self.found_after: dict[tuple[str, str], int] = {}
        self.now_s = 0.0
        self._step_number = 0

    def _draw_neighbours(self) -> list[str]:
        names = list(self.share)
        weights = [self.rate[name] for name in names]
        chosen: list[str] = []
        left = self.rng.uniform(0.0, 0.8)
        while left > 0:
            chosen.append(self.rng.choices(names, weights)[0])
            left -= self.share[chosen[-1]]
        return chosen

    def run(self, count: int) -> None:
        """Let `count` tasks complete."""
        while count > 0:
            width = min(count, self.rng.randint(*self.width))
            self._run_step(width)
            count -= width

    def _run_step(self, width: int) -> None:
        self._step_number += 1
        names = list(self.share)
        subject = self.rng.choices(names, [self.rate[name] for name in names])[0]
        spec = StepSpec(width, Amounts(round(16000 * self.share[subject]), 1000, 0), 1.0)
        step_factor = self.rng.lognormvariate(0.0, self.step_noise)
        for position in range(width):
            self.now_s += 0.05
            worker = self.rng.choice(self.workers)
            self._complete(spec, subject, worker, position, step_factor)
            if self.rng.random() < 0.4:
                self.present[worker.id] = self._draw_neighbours()

    def _complete(
        self, spec: StepSpec, subject: str, worker: Worker, position: int, step_factor: float
    ) -> None:
        shares: dict[str, float] = {}
        for name in self.fixed.get(worker.id, self.present[worker.id]):
            overlap = min(1.0, self.rng.uniform(0.2, 1.6))
            shares[name] = shares.get(name, 0.0) + overlap * self.share[name]
        true_s = step_factor * self.slowness[worker.id] * self.rng.lognormvariate(0.0, self.noise)
        true_s *= 1.0 + self.load_effect * max(
            0.0, sum(shares.values()) + self.share[subject] - 0.5
        )
        for name, share in shares.items():
            factor = self.factors.get((subject, name), 1.0)
            true_s *= 1.0 + (factor - 1.0) * share / self.share[name]
        if self.rng.random() < self.outliers:
            true_s *= self.rng.choice((0.1, 8.0))
        task = TaskId(f"j{self._step_number}", 0, 0, position)
        run = Run(task, 1, worker, spec, self.now_s, RunState.RUNNING)
        expected_s = self.speeds.expected_s(spec, subject, worker.entry)
        self.speeds.record_run_time(spec, subject, worker.entry, true_s)
        self.samples_by_subject[subject] += 1
        self.interference.record_sample(
            run, subject, true_s / expected_s, Exposure(shares), self.now_s
        )
        for pair in self.interference.pairs:
            self.found_after.setdefault(pair, self.samples_by_subject[pair[0]])
