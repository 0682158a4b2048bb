"""Tests of the sizes of stored records, which the store bounds."""

import random
from dataclasses import replace

import msgspec
import pytest

from redwingplank.batch.bit_sets import decode_bits, encode_bits, iterate_bits
from redwingplank.batch.emulated_worker import Fault
from redwingplank.batch.model import CompletionKind, JobState, RunCompletion
from redwingplank.batch.records import MAX_CHECKPOINT_BYTES, encode_progress
from redwingplank.batch.settings import BatchSettings
from redwingplank.batch.tests.cells import make_cell, make_job, step

RECORD_BYTES = 1_048_576


def give_checkpoints(cell, job_id, text):
    """Let all tasks of a job have a checkpoint."""
    job = cell.owner.state.jobs_by_id[job_id]
    for each in job.steps_by_key.values():
        for task in each.tasks:
            task.saved = f"{text}/{task.id}"
    cell.owner.state.mark_dirty(job)
    return job


class TestCheckpoints:
    # Guards against a record with the checkpoints of 10,000 tasks, which the store refuses for
    # ever, with all others behind it.
    def test_leave_a_record_short_enough_to_be_stored(self):
        cell = make_cell(4)
        cell.submit(make_job("a", step(10_000, 100, 5.0, saves=True)))
        cell.run_for(0.5)
        job = give_checkpoints(cell, "a", "x" * 100)
        assert len(encode_progress(job)) > RECORD_BYTES
        cell.run_for(0.2)
        assert cell.violations == []
        assert MAX_CHECKPOINT_BYTES < len(cell.records_by_id["a"]) < RECORD_BYTES
        assert job.stored_version == job.version

    # Guards against a record that tells of tasks whose workers tell of them, in place of others.
    def test_of_tasks_that_do_not_run_are_kept_first(self):
        cell = make_cell(1)
        cell.submit(make_job("a", step(4, 4000, 60.0, saves=True)))
        cell.run_for(1.0)
        (only_step,) = cell.owner.state.jobs_by_id["a"].steps_by_key.values()
        running = {task.id.position for task in only_step.tasks if task.runs}
        assert len(running) == 2
        give_checkpoints(cell, "a", "x" * (MAX_CHECKPOINT_BYTES // 3))
        (record,) = cell.owner.pop_records(1)
        cell.owner.return_records([record])
        waiting = set(range(4)) - running
        assert all(f"a.0.0.{index}".encode() in record.value for index in waiting)


class TestRecordThatIsTooLong:
    def make_cell(self, record_bytes=400):
        """Return a cell whose store takes short records only, for a while."""
        cell = make_cell(4, settings=BatchSettings(record_bytes=record_bytes))
        cell.submit(make_job("long", *[step(2, 1000, 0.5)] * 8))
        for number in range(3):
            cell.submit(make_job(f"short{number}", step(1, 100, 0.3)))
        return cell

    # Guards against a record that cannot be stored and keeps all others from it.
    def test_holds_up_no_other_job(self):
        cell = self.make_cell()
        cell.run_for(10.0)
        assert cell.violations == []
        assert {cell.state(f"short{number}") for number in range(3)} == {JobState.COMPLETED}

    # Guards against tasks that run although no next owner could know of it.
    def test_lets_nothing_start_that_is_not_stored(self):
        cell = self.make_cell()
        unknown = []

        def check(worker, task):
            progress = msgspec.json.decode(cell.records_by_id.get(task.job_id, b"{}"))
            record = progress.get("steps", {}).get(f"{task.occurrence}.{task.step}", ["", {}])
            bits = record[1].get(f"{worker.entry.worker_id} {worker.entry.address} 1", "0")
            if not decode_bits(bits) >> task.position & 1:
                unknown.append(task)

        cell.start_listeners.append(check)
        cell.run_for(12.0)
        cell.replace_owner()
        cell.run_for(12.0)
        assert cell.starts > 3
        assert unknown == []

    # Guards against an accepted job that is dropped because its record is too long for a time.
    def test_lets_its_job_wait_until_it_can_be_stored(self):
        cell = self.make_cell()
        cell.run_for(12.0)
        assert cell.state("long") in (JobState.QUEUED, JobState.RUNNING)
        object.__setattr__(cell.settings, "record_bytes", RECORD_BYTES)
        cell.run_for(30.0)
        assert cell.state("long") is JobState.COMPLETED
        assert cell.violations == []

    # Guards against ends that are acknowledged before they are stored, and tasks that run again.
    def test_lets_what_runs_go_on(self):
        cell = self.make_cell(RECORD_BYTES)
        cell.run_for(0.3)
        assert any(
            run.task.job_id == "long"
            for each in cell.workers.values()
            for run in each.runs.values()
        )
        object.__setattr__(cell.settings, "record_bytes", 100)
        cell.run_for(8.0)
        object.__setattr__(cell.settings, "record_bytes", RECORD_BYTES)
        cell.replace_owner()
        cell.run_for(30.0)
        assert cell.state("long") is JobState.COMPLETED
        assert cell.violations == []

    # Guards against a cancellation that waits for a record which cannot be written.
    def test_of_a_cancelled_job_is_short(self):
        cell = self.make_cell()
        cell.run_for(1.0)
        cell.cancel("long")
        cell.run_for(3.0)
        assert cell.state("long") is JobState.CANCELLED

    def test_may_not_be_exceeded_by_the_records_of_one_write(self):
        cell = make_cell(4, settings=BatchSettings(record_bytes=400))
        for number in range(9):
            cell.submit(make_job(f"j{number}", step(1, 100, 5.0)))
        cell.run_for(0.02)
        owner = cell.owner
        total = [sum(len(record.value) for record in owner.pop_records(28)) for _ in range(9)]
        assert max(total) <= 400


def submit_schedule(cell, name, *steps, repeat_count, interval_s=0.2):
    job = make_job(name, *steps)
    cell.submit(
        replace(
            job,
            repeat_count=repeat_count,
            first_run_unix_s=cell.now_s,
            interval_s=interval_s,
        )
    )


class TestRecordOfASchedule:
    # Guards against a record that grows with each occurrence until the store refuses it.
    def test_does_not_grow_with_the_occurrences_that_are_done(self):
        cell = make_cell(4)
        submit_schedule(cell, "a", step(2, 100, 0.1), repeat_count=100)
        cell.run_for(5.0)
        early_bytes = len(cell.records_by_id["a"])
        cell.run_for(13.0)
        assert cell.owner.state.jobs_by_id["a"].due_count > 80
        assert len(cell.records_by_id["a"]) < early_bytes + 200
        assert len(cell.owner.state.jobs_by_id["a"].steps_by_key) < 30
        cell.run_for(10.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.violations == []

    # Guards against occurrences that run again, or never, after a change of owners.
    @pytest.mark.parametrize("seed", range(6))
    def test_tells_a_next_owner_what_is_done(self, seed):
        cell = make_cell(4, seed=seed)
        rng = random.Random(seed)
        submit_schedule(
            cell, "a", step(2, 100, 0.1), step(1, 100, 0.1, after=(0,)), repeat_count=60
        )
        for _ in range(8):
            cell.run_for(rng.uniform(0.2, 2.0))
            worker = rng.choice(list(cell.workers.values()))
            (worker.faults.discard if Fault.CUT in worker.faults else worker.faults.add)(Fault.CUT)
            cell.replace_owner()
        for worker in cell.workers.values():
            worker.faults.clear()
        cell.run_for(40.0)
        assert cell.state("a") is JobState.COMPLETED
        assert cell.starts >= 180
        assert cell.violations == []

    # Guards against hosts of a wide step, each of which takes as many digits as the step has tasks.
    def test_with_few_tasks_of_wide_steps_on_many_workers_is_short(self):
        cell = make_cell(24)
        submit_schedule(
            cell, "a", step(10_000, 100, 60.0, max_per_worker=1), repeat_count=60, interval_s=0.0
        )
        cell.run_for(8.0)
        assert cell.starts > 300
        assert len(cell.records_by_id["a"]) < RECORD_BYTES // 2
        assert cell.violations == []


class TestLearnedSpeeds:
    # Guards against names that callers choose, which make the learned speeds too long to be stored.
    def test_leave_out_long_names(self):
        cell = make_cell(4)
        for number in range(10):
            image = f"{number}" + "i" * 200_000
            cell.submit(make_job(f"j{number}", step(2, 100, 0.1, image=image)))
        cell.run_for(5.0)
        assert len(cell.owner.state.speeds.encode()) < 100_000


class TestBitSets:
    @pytest.mark.parametrize("seed", range(40))
    def test_are_read_as_they_were_written(self, seed):
        rng = random.Random(seed)
        count = rng.choice([1, 8, 300, 10_000])
        bits = 0
        for _ in range(rng.choice([0, 1, 5, 50])):
            first = rng.randrange(count)
            bits |= ((1 << rng.choice([1, 1, 7, 200])) - 1) << first
        assert decode_bits(encode_bits(bits)) == bits
        assert sum(1 << position for position in iterate_bits(bits)) == bits

    def test_of_few_tasks_are_short(self):
        assert encode_bits(1 << 9999) == "~9999"
        assert encode_bits(0b111 << 5000) == "~5000-5002"

    # Guards against records that take longer to encode than they are short: many tasks of a wide
    # step that alternate between workers make as many ranges.
    def test_of_many_scattered_tasks_stay_plain(self):
        bits = int("1" * 2500, 16)
        assert encode_bits(bits) == "1" * 2500

    def test_of_narrow_steps_are_read_by_earlier_versions(self):
        assert encode_bits(0b1011) == "b"


class TestRemovedOccurrence:
    # Guards against an end that is listed once more after its occurrence was removed from memory.
    def test_has_its_ends_acknowledged(self):
        cell = make_cell(1)
        submit_schedule(cell, "a", step(1, 100, 0.1), repeat_count=50)
        cell.run_for(4.0)
        owner = cell.owner
        (worker,) = owner.state.workers_by_id.values()
        done = min(cell.checks.acknowledged_done)
        assert owner.state.find_task(done) is None
        number = worker.handled_completion_number + 1
        completion = RunCompletion(number, done, 1, CompletionKind.DONE, "")
        owner._completions.apply_completion(worker, completion, cell.now_s)
        worker.acknowledge_stored_completions()
        assert worker.acknowledged_completion_number == number
