"""Tests of the fencing tokens of an owner."""

from redwingplank.batch.fencing import TOKENS_PER_EPOCH, first_token, next_epoch
from redwingplank.batch.tests.cells import make_cell

EARLIER_VERSION_EPOCH = 7
"""Number of an epoch of a version whose owners use the number as their only token."""


class TestTokensOfAnEpoch:
    # Guards against an owner that is fenced by the tokens of the one before it.
    def test_are_above_those_of_the_epoch_before(self):
        first = next_epoch(0)
        second = next_epoch(first)
        assert first_token(second) > first
        assert second - first_token(second) == TOKENS_PER_EPOCH - 1

    # Guards against a cell whose versions are replaced in turn, and whose workers refuse one.
    def test_are_between_those_of_earlier_versions(self):
        later = next_epoch(EARLIER_VERSION_EPOCH)
        assert first_token(later) > EARLIER_VERSION_EPOCH
        assert later + 1 > later >= first_token(later)


class TestTokenOfAWorker:
    # Guards against calls to a former process that the next one carries out.
    def test_rises_with_each_restart(self):
        cell = make_cell(2)
        known = cell.owner.state.workers_by_id
        before = cell.owner.state.token_of(known["w0"])
        cell.crash("w0")
        cell.run_for(1.0)
        assert cell.owner.state.token_of(known["w0"]) == before + 1
        assert cell.owner.state.token_of(known["w1"]) == before
        assert cell.workers["w0"].token == before + 1

    # Guards against an owner that runs into the tokens of the next one.
    def test_ends_with_the_tokens_of_the_epoch(self):
        cell = make_cell(1)
        worker = cell.owner.state.workers_by_id["w0"]
        worker.restart_count = TOKENS_PER_EPOCH - 3
        cell.crash("w0")
        cell.run_for(1.0)
        assert not cell.owner.state.are_tokens_used_up
        cell.crash("w0")
        cell.run_for(1.0)
        assert cell.owner.state.are_tokens_used_up
        assert cell.owner.state.token_of(worker) < cell.owner.state.epoch + TOKENS_PER_EPOCH
