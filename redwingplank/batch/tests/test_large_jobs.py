"""Tests of what an owner holds in memory for large jobs, alone and together."""

import gc
from dataclasses import replace

import pytest

from redwingplank.batch.entities import Task
from redwingplank.batch.model import JobState
from redwingplank.batch.occurrences import MAX_HELD_STEPS
from redwingplank.batch.tests.cells import make_cell, make_job, step

MAX_TASK_OBJECTS = 3000
"""A task takes 0.8 kB. Few more exist than the workers have room for."""
WIDE = step(10_000, 1000, 0.5)


def count_task_objects():
    gc.collect()
    return sum(isinstance(each, Task) for each in gc.get_objects())


def make_schedule(cell, name, *steps, repeat_count=100):
    """Return a job whose occurrences are all due already."""
    job = make_job(name, *steps, queue="extract")
    first_s = cell.now_s - 1000.0
    return replace(job, repeat_count=repeat_count, first_run_unix_s=first_s, interval_s=0.4)


def submit_overlapping_occurrences(cell):
    cell.submit(make_schedule(cell, "wide", WIDE))


def submit_many_jobs(cell):
    for number in range(60):
        cell.submit(make_job(f"wide{number}", WIDE, queue="extract"))


def submit_many_schedules(cell):
    for number in range(12):
        cell.submit(make_schedule(cell, f"wide{number}", step(1500, 1000, 0.5)))


def submit_gangs(cell):
    for number in range(20):
        spec = step(10_000, 1000, 0.5, is_gang=True)
        cell.submit(make_job(f"gang{number}", spec, queue="extract"))


LOADS = [
    submit_overlapping_occurrences,
    submit_many_jobs,
    submit_many_schedules,
    submit_gangs,
]


class TestTasksInMemory:
    # Guards against owner after owner that exceeds its memory as it holds an object for each task
    # of each open occurrence, or of each job.
    @pytest.mark.parametrize("submit_load", LOADS)
    def test_do_not_grow_with_the_tasks_that_wait(self, submit_load):
        cell = make_cell(5)
        submit_load(cell)
        cell.run_for(2.0)
        assert count_task_objects() < MAX_TASK_OBJECTS
        assert cell.violations == []

    # Guards against a next owner that opens at once what its predecessor opened slowly.
    @pytest.mark.parametrize("submit_load", LOADS)
    def test_do_not_grow_at_the_load_of_a_next_owner(self, submit_load):
        cell = make_cell(5)
        submit_load(cell)
        cell.run_for(1.0)
        cell.replace_owner()
        assert count_task_objects() < MAX_TASK_OBJECTS
        cell.run_for(1.0)
        assert count_task_objects() < MAX_TASK_OBJECTS
        assert cell.violations == []

    # Guards against tasks that stay in memory after they are done.
    def test_are_released_when_they_are_done(self):
        cell = make_cell(5)
        cell.submit(make_schedule(cell, "small", step(100, 200, 0.1), repeat_count=20))
        cell.run_for(30.0)
        assert cell.state("small") is JobState.COMPLETED
        assert count_task_objects() < 200
        assert cell.violations == []


class TestSmallJobsBesideLargeOnes:
    # Guards against small jobs that wait while large ones fill the owner.
    @pytest.mark.parametrize("submit_load", LOADS)
    def test_are_done(self, submit_load):
        cell = make_cell(5)
        submit_load(cell)
        cell.run_for(1.0)
        cell.submit(make_job("small", step(2, 1000, 0.3)))
        cell.run_for(5.0)
        assert cell.state("small") is JobState.COMPLETED
        assert cell.violations == []


class TestOpenOccurrences:
    # Guards against schedules that add up, each of which is below the limit of one job.
    def test_are_bounded_for_all_jobs_together(self):
        cell = make_cell(5)
        for number in range(6):
            cell.submit(make_schedule(cell, f"s{number}", *[step(1, 1000, 0.5)] * 100))
        cell.run_for(1.0)
        assert cell.owner.state.count_steps() <= MAX_HELD_STEPS + 6 * 100
        cell.replace_owner()
        assert cell.owner.state.count_steps() <= MAX_HELD_STEPS + 6 * 100
        assert len(cell.owner.state.jobs_by_id) == 6

    # Guards against occurrences that are never opened because others fill the owner.
    def test_are_opened_as_room_comes(self, monkeypatch):
        monkeypatch.setattr("redwingplank.batch.occurrences.MAX_HELD_STEPS", 4)
        cell = make_cell(5)
        for number in range(3):
            cell.submit(make_schedule(cell, f"s{number}", step(2, 500, 0.1), repeat_count=6))
        cell.run_for(40.0)
        assert {cell.state(f"s{number}") for number in range(3)} == {JobState.COMPLETED}
        assert cell.violations == []
