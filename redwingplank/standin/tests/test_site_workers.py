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
        model.handle_poll({"last_seen": 2}, 0.0)
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

    # Guards against a stand-in that takes a lease as asked for, however long.
    def test_a_lease_is_shortened_to_the_longest_one_from_its_arrival(self):
        model = SiteWorkerModel(run_s=60.0, longest_lease_s=2.0)
        start(model, "t", lease_until_s=50.0)
        assert model.lease_until_s == 2.0
        model.handle_poll({"last_seen": 0, "deadline_ms": 50_000}, 1.5)
        assert model.lease_until_s == 3.5

    def test_a_lease_never_shortens(self):
        model = SiteWorkerModel(run_s=60.0, longest_lease_s=2.0)
        start(model, "t", lease_until_s=1.5)
        model.handle_poll({"last_seen": 0, "deadline_ms": 500}, 0.5)
        assert model.lease_until_s == 1.5


class TestClock:
    # Guards against a stand-in whose clock goes on when its process restarts.
    def test_leases_and_answers_follow_the_clock_of_the_present_process(self):
        model = SiteWorkerModel(run_s=60.0, longest_lease_s=2.0)
        model.crash(2)
        model.set_clock(100.0, 7.0)
        assert model.report(7.5)["clock_ms"] == 100_500
        body = {"task": "t", "attempt": 1, "spec": "", "deadline_ms": 99_000}
        assert model.start(body, 7.0) == (409, "late")
        assert model.start({**body, "deadline_ms": 101_000}, 7.0) == (200, "")
        model.advance(8.5)
        assert model.ends[0][3] == "lapsed"

    # Guards against a lease of the former process that goes on in the later one.
    def test_a_restart_ends_the_lease(self):
        model = SiteWorkerModel(run_s=60.0)
        start(model, "t", lease_until_s=50.0)
        model.crash(2)
        assert model.lease_until_ms == 0


class TestFencing:
    # Guards against a stand-in that carries out calls of an owner after a stop by the next one.
    def test_a_stop_raises_the_token(self):
        model = SiteWorkerModel()
        assert model.stop({"task": "t", "attempt": 1, "fencing_token": 5}) == (200, "")
        assert model.stop({"task": "t", "attempt": 1, "fencing_token": 4}) == (409, "fence")
