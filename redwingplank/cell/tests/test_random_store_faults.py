"""A search for scripts of the store that make the outcome of a call say more than is true."""

import asyncio

import pytest
from hypothesis import example, given, seed
from hypothesis import strategies as st

from redwingplank.cell.tests.store_fault_fixture import (
    Case,
    make_case,
    play_all,
    report_wrong,
    send_hedged,
    send_submission,
    shorten_hedge_delay,
)
from redwingplank.standin.tests.fault_strategies import SEARCH, SEED, exchanges, steps

CASES_PER_EXAMPLE = 24
cases = st.builds(
    Case,
    st.just("random"),
    st.lists(steps, min_size=1, max_size=12).map(tuple),
    exchanges,
    st.integers(0, 3),
    st.sampled_from([1, 1, 2, 4]),
    st.booleans(),
)


class TestRandomScripts:
    # Guards against sequences of faults that nobody thought of.
    @pytest.mark.parametrize("send", [send_hedged, send_submission])
    def test_make_no_outcome_say_more_than_is_true(self, send, monkeypatch):
        shorten_hedge_delay(monkeypatch)
        print(f"REDWINGPLANK_FAULT_SEED={SEED}")

        @seed(SEED)
        @SEARCH
        @given(st.lists(cases, min_size=CASES_PER_EXAMPLE, max_size=CASES_PER_EXAMPLE))
        @example([make_case("carried out, silent", "503", 0)])
        def search(batch: list[Case]) -> None:
            verdicts = asyncio.run(play_all(batch, send))
            scripts = "".join(f"\n{verdict.case}" for verdict in verdicts if verdict.is_wrong)
            assert report_wrong(verdicts) + scripts == ""

        search()
