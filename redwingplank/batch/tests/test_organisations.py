"""Quotas and order of organisations under the loads and failures that they are for."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from redwingplank.batch import records
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.emulator import EmulatedCell
from redwingplank.batch.entities import Job
from redwingplank.batch.model import Amounts, JobState, OrganisationPolicy, StepSpec
from redwingplank.batch.submission_rates import SubmissionRates
from redwingplank.batch.tests.cells import make_cell, make_job, step

NAMES = [f"org{number:02}" for number in range(20)]


def make_quota_cell(quota_cpu: int, workers: int = 4) -> EmulatedCell:
    cell = make_cell(workers)
    cell.set_organisations(OrganisationPolicy("acme", 5.0, Amounts(quota_cpu)))
    return cell


def submit(cell: EmulatedCell, job_id: str, *steps, organisation: str = "acme") -> None:
    cell.submit(make_job(job_id, *steps, at_s=cell.now_s, organisation=organisation))


def used_cpu(cell: EmulatedCell) -> int:
    return cell.checks.used_by("acme").cpu_millicores


class TestQuotas:
    # Failure: an organisation fills the cell, or one at its quota stops other jobs.
    def test_free_capacity_beyond_the_quota_is_not_used_by_the_organisation(self):
        cell = make_quota_cell(6000)
        submit(cell, "a", step(8, estimate_s=2.0))
        submit(cell, "other", step(4), organisation="")
        cell.run_for(1.0)
        assert used_cpu(cell) == 6000
        assert cell.state("other") is JobState.COMPLETED
        cell.run_for(8.0)
        assert cell.state("a") is JobState.COMPLETED

    # Failure: tasks that reserve no CPU evade the quota, which counts full amounts.
    def test_tasks_on_spare_cpu_count_in_full(self):
        cell = make_quota_cell(6000)
        submit(cell, "a", step(8, estimate_s=2.0, uses_spare_cpu=True))
        cell.run_for(1.0)
        assert used_cpu(cell) == 6000

    # Failure: a task larger than the quota never starts, or starts beside another one.
    def test_a_larger_task_starts_only_alone(self):
        cell = make_quota_cell(3000)
        submit(cell, "small", step(1, estimate_s=2.0))
        cell.run_for(0.3)
        submit(cell, "large", step(2, cpu=5000, estimate_s=1.0))
        cell.run_for(1.0)
        assert used_cpu(cell) == 2000
        cell.run_for(1.6)
        assert used_cpu(cell) == 5000
        cell.run_for(3.0)
        assert cell.state("large") is JobState.COMPLETED
        assert cell.violations == []

    # Failure: a gang starts in part, or beyond the quota; once the quota allows it, it must start.
    def test_a_gang_starts_whole_within_the_quota(self):
        cell = make_quota_cell(6000)
        submit(cell, "gang", step(4, is_gang=True))
        cell.run_for(2.0)
        assert cell.starts == 0
        cell.set_organisations(OrganisationPolicy("acme", 5.0, Amounts(8000)))
        cell.run_for(2.0)
        assert cell.state("gang") is JobState.COMPLETED

    # Failure: a lowered quota stops tasks, or more start while the usage is still above it.
    def test_a_quota_lowered_below_the_usage_lets_nothing_start(self):
        cell = make_quota_cell(8000)
        submit(cell, "a", step(4, estimate_s=4.0), step(1, cpu=1000, after=(0,)))
        cell.run_for(1.0)
        submit(cell, "b", step(4, cpu=1000, estimate_s=0.5))
        cell.set_organisations(OrganisationPolicy("acme", 5.0, Amounts(4000)))
        cell.run_for(2.5)
        assert (cell.starts, used_cpu(cell)) == (4, 8000)
        cell.run_for(5.0)
        assert cell.state("b") is JobState.COMPLETED
        assert cell.violations == []

    # Failure: tasks that do not use the resource that is beyond its lowered quota still start.
    def test_nothing_starts_while_any_resource_is_beyond_the_quota(self):
        cell = make_quota_cell(8000)
        submit(cell, "a", step(2, estimate_s=3.0))
        cell.run_for(1.0)
        cell.set_organisations(OrganisationPolicy("acme", 5.0, Amounts(8000, 1500)))
        submit(cell, "b", StepSpec(1, Amounts(1000)))
        cell.run_for(1.5)
        assert cell.starts == 2
        cell.run_for(3.0)
        assert cell.state("b") is JobState.COMPLETED

    # Failure: a run that was planned before the quota was lowered is still started after it.
    def test_a_planned_run_is_dropped_when_the_quota_is_lowered(self):
        cell = make_quota_cell(8000)
        submit(cell, "a", step(2, estimate_s=3.0))
        cell.run_for(1.0)
        cell.lost_write_fraction = 1.0
        submit(cell, "b", step(2))
        cell.run_for(0.1)
        cell.set_organisations(OrganisationPolicy("acme", 5.0, Amounts(4000)))
        cell.lost_write_fraction = 0.0
        cell.run_for(1.0)
        assert (cell.starts, cell.violations) == (2, [])

    # Failure: a log line for each start that waits, or none when the quota is reached again.
    def test_reaching_the_quota_is_logged_once_each_time(self):
        cell = make_quota_cell(4000)
        events: list[dict] = []
        organisations = cell.owner.state.organisations
        organisations._log_decision = lambda event, **fields: events.append(fields)
        for job_id in ("a", "b"):
            submit(cell, job_id, step(10))
            cell.run_for(6.0)
        assert [event["job"] for event in events] == ["a", "b"]
        assert events[0]["config"] == 2
        assert (events[0]["used"], events[0]["quota"]) == ((4000, 2000, 0), (4000, 0, 0))


class TestQuotasAcrossOwners:
    # Failure: a new owner does not know of runs on workers that do not answer it, of a job that was
    # cancelled meanwhile, or of what an owner before the last one started.
    def test_three_owners_keep_the_quota_while_workers_are_cut(self):
        cell = make_quota_cell(8000)
        submit(cell, "a", step(4, estimate_s=9.0))
        cell.run_for(1.0)
        for worker in list(cell.workers.values())[:2]:
            worker.faults.add(Fault.CUT)
        cell.cancel("a")
        submit(cell, "b", step(8, estimate_s=1.0))
        for _ in range(3):
            cell.run_for(0.7)
            cell.replace_owner()
        cell.run_for(0.7)
        assert any(worker.runs for worker in list(cell.workers.values())[:2])
        cell.run_for(20.0)
        assert cell.violations == []
        assert cell.state("b") is JobState.COMPLETED
        assert [usage.charge_count for usage in cell.owner.state.organisations.usages()] == [0]

    # Failure: hosts in the record of a final job cannot be read, or a record without them cannot.
    @pytest.mark.parametrize("has_hosts", [True, False])
    def test_records_of_final_jobs_are_read(self, has_hosts: bool):
        cell = make_quota_cell(8000)
        submit(cell, "a", step(2, estimate_s=9.0))
        cell.run_for(1.0)
        cell.owner.cancel("a", cell.now_s)
        value = records.encode_progress(cell.owner.state.jobs_by_id["a"])
        value = value if has_hosts else b'{"state":"cancelled","is_started":true}'
        job = Job(cell.specs_by_id["a"], 0.0)
        records.restore_occurrences(job, value)
        records.restore_progress(job, value)
        assert job.state is JobState.CANCELLED
        assert len(job.hosts) == (2 if has_hosts else 0)


class TestRates:
    # Failure: the next owner, which restores jobs in another order, ranks them differently.
    def test_the_verdict_does_not_depend_on_the_order_of_restoring(self):
        rng = random.Random(1)
        specs = [
            replace(make_job(f"j{n}", at_s=1000 + 40 * rng.random()), organisation="acme")
            for n in range(200)
        ]
        verdicts = []
        for _ in range(3):
            rng.shuffle(specs)
            rates = SubmissionRates()
            rates.set_weights({"acme": 1.5})
            jobs = [Job(spec, 0.0) for spec in specs]
            for job in jobs:
                rates.add(job)
            verdicts.append({job.spec.job_id for job in jobs if not job.is_beyond_rate})
        assert verdicts[0] == verdicts[1] == verdicts[2]
        assert len(verdicts[0]) == 60


class TestManyOrganisations:
    """Twenty organisations on workers that can run 64 tasks of 2,000 millicores at a time."""

    def make_cell(self, weights: list[float]) -> EmulatedCell:
        cell = make_cell(16)
        policies = [OrganisationPolicy(*pair) for pair in zip(NAMES, weights, strict=True)]
        cell.set_organisations(*policies)
        return cell

    def run(self, cell: EmulatedCell, rates: list[float], for_s: float) -> None:
        """Submit jobs of four tasks of 1 s at the given rates, in jobs per second."""
        due = [number / 20 / rate for number, rate in enumerate(rates)]
        for tick in range(round(for_s * 10)):
            for number, rate in enumerate(rates):
                while due[number] <= tick / 10:
                    name = f"{NAMES[number]}-{len(cell.specs_by_id)}"
                    submit(cell, name, step(4, estimate_s=1.0), organisation=NAMES[number])
                    due[number] += 1 / rate
            cell.run_for(0.1)

    def mean_s(self, cell: EmulatedCell, names: list[str]) -> float:
        """Return the mean time to completion of the jobs submitted 3 s ago or earlier."""
        times = [
            cell.completed_s_by_id.get(spec.job_id, cell.now_s) - spec.submitted_unix_s
            for spec in cell.specs_by_id.values()
            if spec.organisation in names and spec.submitted_unix_s < cell.now_s - 3.0
        ]
        return sum(times) / len(times)

    # Failure: one organisation that sends many times its rate delays the jobs of the others.
    def test_a_flood_by_one_leaves_the_others_in_time(self):
        calm, flooded = self.make_cell([0.3] * 20), self.make_cell([0.3] * 20)
        self.run(calm, [0.3] * 20, 15.0)
        self.run(flooded, [15.0] + [0.3] * 19, 15.0)
        assert self.mean_s(flooded, NAMES[1:]) < 1.1 * self.mean_s(calm, NAMES[1:])
        assert self.mean_s(flooded, NAMES[:1]) > 2 * self.mean_s(calm, NAMES[:1])

    # Failure: capacity goes to those that send most, and not by weight.
    def test_at_full_load_of_all_capacity_goes_by_weight(self):
        cell = self.make_cell([0.2] * 10 + [0.4] * 10)
        starts = Counter[str]()
        cell.start_listeners.append(
            lambda _, task: starts.update([cell.specs_by_id[task.job_id].organisation])
        )
        self.run(cell, [3.0] * 10 + [2.0] * 10, 15.0)
        light, heavy = (sum(starts[name] for name in part) for part in (NAMES[:10], NAMES[10:]))
        assert 1.5 < heavy / light < 2.5

    # Failure: jobs beyond the rate wait although capacity is free.
    def test_jobs_beyond_the_rate_start_at_once_with_free_capacity(self):
        cell, unlimited = self.make_cell([0.1] * 20), self.make_cell([100.0] * 20)
        for each in (cell, unlimited):
            self.run(each, [4.0] + [0.1] * 19, 10.0)
        assert self.mean_s(cell, NAMES) == pytest.approx(self.mean_s(unlimited, NAMES), rel=0.01)
