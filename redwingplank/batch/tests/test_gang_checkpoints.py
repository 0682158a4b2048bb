"""Checkpoints of the members of a gang."""

from redwingplank.batch.tests.cells import make_cell, make_job, step


class TestGangCheckpoint:
    # Guards against members that start from different checkpoints, which no gang can resume from.
    def test_is_the_same_for_all_members(self):
        cell = make_cell(3)
        gang = step(3, is_gang=True, saves=True)
        cell.owner.submit(make_job("a", gang, at_s=cell.now_s), cell.now_s, cell.now_s)
        job = cell.owner.state.jobs_by_id["a"]
        (only_step,) = job.steps_by_key.values()
        only_step.tasks[1].saved, only_step.tasks[2].saved = "second", "third"
        cell.owner.tick(cell.now_s, cell.now_s)
        assert len(job.runs()) == 3
        assert {task.saved for task in only_step.tasks} == {"second"}
