"""Limits of organisations, as both schedulers use them."""

import math

import pytest

from redwingplank.core.shares import OrganisationUsage


class TestLimits:
    @pytest.mark.parametrize(
        ("limits", "has_room", "is_within", "may_ever_use"),
        [
            (None, True, True, True),
            ([], False, False, False),
            ([100], False, False, False),
            ([100, 80], True, True, True),
            ([100, 50], True, True, True),
            ([100, 49], False, True, True),
            ([math.inf, 60], True, True, True),
            ([60, 100], False, True, False),
            ([40, 100], False, False, False),
        ],
    )
    def test_hold_in_each_dimension(self, limits, has_room, is_within, may_ever_use):
        """Guards against a start above a limit, and against a dimension without one that counts
        as unlimited."""
        usage = OrganisationUsage("a", limits=limits, used=[50, 30])
        assert usage.has_room([25, 10], count=2) is has_room
        assert usage.is_within_limits() is is_within
        assert usage.may_ever_use([70, 40]) is may_ever_use

    def test_of_dimensions_that_are_not_used_do_not_count(self):
        """Guards against a task without GPUs that waits for a quota of GPUs."""
        usage = OrganisationUsage("a", limits=[10], used=[5])
        assert usage.has_room([5, 0, 0])
        assert usage.may_ever_use([5, 0, 0])
        assert not usage.has_room([5, 0, 1])
