"""A job whose stored progress cannot be read, in the decisions of a new owner."""

import pytest

from redwingplank.batch.tests.cells import make_cell, make_job, step
from redwingplank.core import UndecodableError

NOW_S = 200.0


class TestUnreadableProgress:
    # Guards against a job that was completed or cancelled and runs again from its first step, as
    # its progress is taken for none: an end that the owner acknowledged is stored nowhere else.
    @pytest.mark.parametrize(
        "progress",
        [
            b"\xff",
            b'{"state":"of another version"}',
            b'{"state":"cancelled","steps":{"x.0":["0",{}]}}',
        ],
        ids=["not_text", "state", "step"],
    )
    def test_nothing_of_it_starts(self, progress):
        cell = make_cell(1)
        owner = cell.owner
        with pytest.raises((UndecodableError, ValueError)):
            owner.restore_job(make_job("a", step(1)), progress, NOW_S, NOW_S)
        starts = list(owner.tick(NOW_S, NOW_S).starts)
        owner.confirm_stored_records(owner.pop_records(10), NOW_S)
        starts += owner.tick(NOW_S, NOW_S).starts
        assert starts == []
