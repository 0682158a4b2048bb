"""Stored forms of cancellations, and the jobs for which they count."""

import pytest

from redwingplank.cell.stored_cancellation import (
    StoredCancellation,
    decode_cancellation,
    encode_cancellation,
)

OF_A = StoredCancellation(frozenset({"a"}))
OF_ALL = StoredCancellation()


class TestStoredCancellation:
    @pytest.mark.parametrize("cancellation", [OF_ALL, OF_A, OF_A.extend("b"), OF_A.extend("")])
    def test_is_read_as_it_was_written(self, cancellation):
        assert decode_cancellation(encode_cancellation(cancellation)) == cancellation

    # Guards against a cancellation of the previous version, or one that is spoilt, that is ignored.
    @pytest.mark.parametrize("value", [b"1", b"", None, b"{", b"[]", b"{}", b'{"organisations":1}'])
    def test_in_any_other_form_counts_for_all_jobs(self, value):
        assert decode_cancellation(value) == OF_ALL
        assert OF_ALL.counts_for("a")
        assert OF_ALL.counts_for("")

    # Guards against a cancellation that stops jobs of other organisations.
    def test_counts_for_the_jobs_that_its_organisations_see(self):
        assert OF_A.counts_for("a")
        assert OF_A.counts_for("")
        assert not OF_A.counts_for("b")
        assert OF_A.extend("b").counts_for("b")
        of_public = StoredCancellation(frozenset({""}))
        assert of_public.counts_for("")
        assert not of_public.counts_for("a")

    def test_knows_by_whom_it_is(self):
        assert OF_A.is_by("a")
        assert not OF_A.is_by("b")
        assert not OF_A.is_by(None)
        assert OF_ALL.is_by("b")
        assert OF_ALL.is_by(None)
        assert OF_A.extend(None) == OF_ALL
