"""Outcomes of repeated submissions, without a store."""

import pytest

from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.unresolved_submissions import KEPT_S, UnresolvedSubmissions

ACCEPTED, NOT_RUN, UNKNOWN = SubmitOutcome.ACCEPTED, SubmitOutcome.NOT_RUN, SubmitOutcome.UNKNOWN
CANCELLED_BEFORE = SubmitOutcome.CANCELLED_BEFORE


class TestUnresolvedSubmissions:
    # Guards against telling a caller that a job never runs although an earlier attempt may have
    # stored it.
    def test_a_refusal_does_not_settle_an_earlier_attempt(self):
        unresolved = UnresolvedSubmissions()
        outcomes = [unresolved.settle("a", each, 1.0) for each in (NOT_RUN, UNKNOWN, NOT_RUN)]
        assert outcomes == [NOT_RUN, UNKNOWN, UNKNOWN]
        assert unresolved.settle("b", NOT_RUN, 1.0) is NOT_RUN

    @pytest.mark.parametrize("after_s, outcome", [(KEPT_S - 1, UNKNOWN), (KEPT_S, NOT_RUN)])
    def test_an_attempt_is_remembered_for_a_time(self, after_s, outcome):
        unresolved = UnresolvedSubmissions()
        unresolved.settle("a", UNKNOWN, 0.0)
        unresolved.settle("b", UNKNOWN, 1.0)
        unresolved.settle("b", UNKNOWN, 2.0)
        assert unresolved.settle("a", NOT_RUN, after_s) is outcome
        assert unresolved.settle("b", NOT_RUN, after_s) is UNKNOWN

    def test_an_accepted_job_is_settled(self):
        unresolved = UnresolvedSubmissions()
        outcomes = [unresolved.settle("a", each, 1.0) for each in (UNKNOWN, ACCEPTED, NOT_RUN)]
        assert outcomes == [UNKNOWN, ACCEPTED, ACCEPTED]


class TestAttemptUnderWay:
    # Guards against refusing a job that an attempt which has not ended yet may store.
    def test_a_refusal_does_not_settle_it(self):
        unresolved = UnresolvedSubmissions()
        unresolved.begin("a")
        unresolved.begin("a")
        assert unresolved.end("a", NOT_RUN, 1.0) is UNKNOWN
        assert unresolved.end("a", NOT_RUN, 1.0) is NOT_RUN

    def test_one_that_ends_unknown_is_remembered(self):
        unresolved = UnresolvedSubmissions()
        unresolved.begin("a")
        unresolved.begin("a")
        assert unresolved.end("a", UNKNOWN, 1.0) is UNKNOWN
        assert unresolved.end("a", NOT_RUN, 1.0) is UNKNOWN
        unresolved.begin("a")
        assert unresolved.end("a", ACCEPTED, 2.0) is ACCEPTED
        unresolved.begin("a")
        assert unresolved.end("a", NOT_RUN, 3.0) is ACCEPTED


class TestIsKnown:
    # Guards against telling that a job exists or may exist longer than that is so.
    def test_until_it_is_settled_or_old(self):
        unresolved = UnresolvedSubmissions()
        unresolved.begin("a")
        assert unresolved.is_known("a", 0.0)
        unresolved.end("a", NOT_RUN, 0.0)
        assert not unresolved.is_known("a", 0.0)
        unresolved.settle("b", UNKNOWN, 0.0)
        assert unresolved.is_known("b", KEPT_S - 1)
        assert not unresolved.is_known("b", KEPT_S)


class TestCancelledBefore:
    # Guards against 504 for a job that no attempt can store any more.
    def test_settles_earlier_attempts_and_those_under_way(self):
        unresolved = UnresolvedSubmissions()
        unresolved.settle("a", UNKNOWN, 1.0)
        unresolved.begin("a")
        unresolved.begin("a")
        assert unresolved.end("a", CANCELLED_BEFORE, 1.0) is NOT_RUN

    # Guards against a refusal of a job of one organisation on the word of another one's
    # cancellation.
    def test_settles_no_later_refusal(self):
        unresolved = UnresolvedSubmissions()
        unresolved.settle("a", UNKNOWN, 1.0)
        assert unresolved.settle("a", CANCELLED_BEFORE, 1.0) is NOT_RUN
        assert unresolved.settle("a", NOT_RUN, 1.0) is UNKNOWN

    # Guards against a refusal of a job that has run.
    def test_does_not_undo_an_acceptance(self):
        unresolved = UnresolvedSubmissions()
        unresolved.settle("a", ACCEPTED, 1.0)
        assert unresolved.settle("a", CANCELLED_BEFORE, 1.0) is ACCEPTED
