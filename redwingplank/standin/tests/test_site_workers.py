"""Tests of the stand-in for the users' workers."""

from redwingplank.standin.site_workers import SiteWorkerModel


def start(model: SiteWorkerModel, task: str, lease_until_s: float) -> None:
    body = {"task": task, "attempt": 1, "spec": "", "deadline_ms": 1000 * lease_until_s}
    assert model.start(body, 0.0) == (200, "")


class TestReports:
    # Guards against a stand-in whose reports are never cut.
    def test_further_completions_follow_once_the_first_are_acknowledged(self):
        model = SiteWorkerModel(run_s=0.1)
        model.list_limit = 2
        for number in range(3):
            start(model, f"t{number}", lease_until_s=1.0)
        model.advance(0.5)
        assert [end[0] for end in model.report(0.5)["finished"]] == [1, 2]
        model.handle_poll({"last_seen": 2})
        assert [end[0] for end in model.report(0.5)["finished"]] == [3]


class TestLeases:
    # Guards against a stand-in whose runs end as done although their lease expired before.
    def test_a_run_whose_lease_expired_first_has_lapsed(self):
        model = SiteWorkerModel(run_s=2.0)
        start(model, "t", lease_until_s=1.0)
        model.advance(3.0)
        assert model.ends[0][3] == "lapsed"

    def test_a_run_that_was_done_first_is_done(self):
        model = SiteWorkerModel(run_s=0.5)
        start(model, "t", lease_until_s=1.0)
        model.advance(3.0)
        assert model.ends[0][3] == "done"
