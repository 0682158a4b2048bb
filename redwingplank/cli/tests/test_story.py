"""Tests of the selection of one job's log lines."""

from redwingplank.cli.story import select_story

LINES = [
    "t=1 node=a event=ownership_won term=1",
    "t=2 node=a event=submit job=j1 outcome=accepted",
    "t=3 node=b event=submit job=j2 outcome=accepted",
    "t=4 node=a event=store_lost error=x",
    "t=5 node=a event=job_ended job=j1 state=completed",
    "t=6 node=a event=store_regained",
]


class TestStory:
    def test_holds_the_jobs_lines_and_what_changed_between_them(self):
        story = list(select_story(LINES, "j1"))
        assert story == [LINES[1], LINES[3], LINES[4]]

    def test_of_an_unknown_job_is_empty(self):
        assert list(select_story(LINES, "j")) == []
