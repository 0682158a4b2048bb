"""Tests of the order of steps while a service has less capacity than its jobs need."""

import random
from dataclasses import replace

import pytest

from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.model import Amounts, QueuePolicy
from redwingplank.batch.overload import TURN_S, Overload
from redwingplank.batch.tests.cells import make_config, make_job, make_worker, step

QUICK = QueuePolicy("quick", "h", "/q/", "render", 0, 3, 1.5, 0.25)
LARGE = QueuePolicy("large", "h", "/l/", "render", 2, 3, 2.2, 1.2)
BENEFIT_BY_QUEUE = {"quick": 0.65, "large": 3.4}
WORKERS = 12


def make_loaded_cell(*queues: QueuePolicy, count: int = WORKERS) -> EmulatedCell:
    workers = [make_worker(number, Amounts(16000, 64000, 0)) for number in range(count)]
    cell = EmulatedCell(make_config(*(queues or (QUICK, LARGE))), workers)
    cell.run_for(1.0)
    return cell


def submit_load(cell: EmulatedCell, seed: int, seconds: int, factor: float) -> None:
    """Submit jobs that together need `factor` of the capacity for some seconds."""
    rng = random.Random(seed)
    for number in range(round(10 * seconds)):
        job_id = f"{cell.now_s:.2f}-{number}"
        for queue, rate, tasks, cpu, estimate_s, steps in (
            ("quick", 6.4, (1, 4), (2200, 4500), (0.54, 0.8), 1 + number % 2),
            ("large", 0.8, (2, 6), (4500, 7900), (3.8, 4.8), 2),
        ):
            if rng.random() < rate * factor / 10:
                spec = step(rng.randint(*tasks), rng.randint(*cpu), rng.uniform(*estimate_s))
                later = (step(spec.count, spec.amounts[0], spec.estimate_s, after=(0,)),)
                chain = (spec, *later[: steps - 1])
                cell.submit(make_job(f"{queue}-{job_id}", *chain, queue=queue, at_s=cell.now_s))
        cell.run_for(0.1)


def score(cell: EmulatedCell, queue: str = "") -> float:
    """Return the benefit for callers: 1 in time, 0.2 up to three times the objective, else 0."""
    total = 0.0
    for job_id, spec in cell.specs_by_id.items():
        if not job_id.startswith(queue):
            continue
        policy = cell.config.queues_by_name[spec.queue]
        span_s = policy.stretch * sum(each.estimate_s for each in spec.steps) + policy.target_s
        took_s = cell.completed_s_by_id.get(job_id, float("inf")) - spec.submitted_unix_s
        total += BENEFIT_BY_QUEUE[spec.queue] * (
            1.0 if took_s <= span_s else 0.2 if took_s <= 3 * span_s else 0.0
        )
    return total


def keep_order_by_slack(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Overload, "update", lambda *_: None)


class TestShortCapacity:
    """The benefit for callers must be clearly above that of the order by slack."""

    def burst(self, seed: int) -> EmulatedCell:
        cell = make_loaded_cell()
        submit_load(cell, seed, 8, 0.85)
        submit_load(cell, seed + 1, 6, 2.6 * 0.85)
        submit_load(cell, seed + 2, 20, 0.85)
        cell.run_for(30.0)
        assert not cell.violations
        return cell

    def loss(self, seed: int) -> EmulatedCell:
        cell = make_loaded_cell()
        submit_load(cell, seed, 8, 1.05)
        lost = list(cell.workers.values())[::4]
        for worker in lost:
            cell.take_down(worker)
        submit_load(cell, seed + 1, 5, 1.05)
        for worker in lost:
            cell.bring_back(worker, keeps_id=True)
        submit_load(cell, seed + 2, 20, 1.05)
        cell.run_for(30.0)
        assert not cell.violations
        return cell

    @pytest.mark.parametrize(("trouble", "gain"), [("burst", 1.05), ("loss", 1.03)])
    def test_a_burst_of_2_6_times_and_the_loss_of_a_quarter(
        self, trouble: str, gain: float, monkeypatch: pytest.MonkeyPatch
    ):
        run = getattr(self, trouble)
        cells = [run(seed) for seed in (10, 20, 30)]
        with monkeypatch.context() as patch:
            keep_order_by_slack(patch)
            by_slack = [run(seed) for seed in (10, 20, 30)]
        assert sum(map(score, cells)) >= gain * sum(map(score, by_slack))
        for queue in BENEFIT_BY_QUEUE:
            before = sum(score(cell, queue) for cell in by_slack)
            assert sum(score(cell, queue) for cell in cells) >= before


class TestSameOrder:
    """Where there is capacity, or one priority only, every start must be as without the order."""

    def list_starts(self, factor: float, *queues: QueuePolicy) -> list[tuple]:
        cell = make_loaded_cell(*queues)
        starts: list[tuple] = []
        cell.start_listeners.append(
            lambda worker, task: starts.append((cell.now_s, worker.entry.worker_id, task))
        )
        submit_load(cell, 1, 8, factor)
        return starts

    @pytest.mark.parametrize("is_burst", [False, True], ids=["normal_load", "equal_priorities"])
    def test_every_start_is_the_same(self, is_burst: bool, monkeypatch: pytest.MonkeyPatch):
        queues = (replace(QUICK, priority=1), replace(LARGE, priority=1)) if is_burst else ()
        factor = 2.6 if is_burst else 0.5
        starts = self.list_starts(factor, *queues)
        keep_order_by_slack(monkeypatch)
        assert starts == self.list_starts(factor, *queues)

    def test_a_load_around_full_does_not_switch_the_order_to_and_fro(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        cell = make_loaded_cell()
        order = Overload(cell.owner.state)
        seen = []
        for number, load in enumerate((1.1, 1.21, 1.1, 1.19, 1.01, 0.99, 1.1)):
            monkeypatch.setattr(Overload, "_measure_load", lambda *_, load=load: load)
            order.update(cell.now_s + number)
            seen.append(order.is_overloaded("render"))
        assert seen == [False, True, True, True, True, False, False]

    def test_waiting_for_something_else_than_capacity_is_no_overload(self):
        cell = make_loaded_cell()
        for number in range(40):
            nowhere = step(20, 4000, 4.0, required_label="none")
            cell.submit(make_job(f"{number}", nowhere, queue="large", at_s=cell.now_s))
        cell.run_for(1.0)
        assert not cell.owner._overload.is_overloaded("render")


class TestOrder:
    """Capacity must not go to jobs that are late, nor to new ones before those half done."""

    def rank_all(self, *counts_and_ages: tuple[str, int, float]) -> list[int]:
        """Return the numbers of steps of 4 tasks by rank, given queue, tasks left and age."""
        cell = make_loaded_cell()
        order = Overload(cell.owner.state)
        order._overloaded.add("render")
        ranks = []
        for number, (queue, waiting_count, age_s) in enumerate(counts_and_ages):
            spec = make_job(f"{number}", step(4, 4000, 4.0), queue=queue, at_s=cell.now_s - age_s)
            cell.submit(spec)
            job = cell.owner.state.jobs_by_id[spec.job_id]
            order.record_job(job)
            waiting = next(iter(job.steps_by_key.values()))
            waiting.undone_count = waiting_count
            ranks.append((order.rank(waiting, cell.now_s), number))
        return [number for _, number in sorted(ranks)]

    def test_in_time_before_late_then_priority_then_work_left(self):
        late, fresh, half_done, quick = (
            ("large", 1, 8.0),
            ("large", 4, 3.0),
            ("large", 2, 0.0),
            ("quick", 4, 0.0),
        )
        assert self.rank_all(late, fresh, half_done, quick) == [3, 2, 1, 0]


class TestWaiting:
    """A job, or a whole queue, must not starve while an overload lasts."""

    def test_each_queue_has_a_step_started_in_each_turn(self):
        cell = make_loaded_cell(count=2)
        started_s: dict[str, float] = {}
        cell.start_listeners.append(lambda _, task: started_s.setdefault(task.job_id, cell.now_s))
        for round_number in range(350):
            name = f"quick-{round_number}"
            few = step(1 + round_number % 5, 4000, 0.7)
            cell.submit(make_job(name, few, queue="quick", at_s=cell.now_s))
            if round_number == 20:
                flooded_s = cell.now_s
                for number in range(3):
                    spec = step(2, 4000, 4.0)
                    cell.submit(make_job(f"{number}", spec, queue="large", at_s=cell.now_s))
            cell.run_for(0.1)
        waits_s = sorted(started_s[f"{number}"] - flooded_s for number in range(3))
        assert all(
            wait_s <= (older + 1) * TURN_S + 1.0 for older, wait_s in enumerate(waits_s)
        ), waits_s
