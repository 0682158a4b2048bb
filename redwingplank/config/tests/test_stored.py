"""Stored declarations that cannot be read."""

import pytest

from redwingplank.config.stored import HEAD_KEY, LIVE_PREFIX, StoredFormatError, decode_live_set
from redwingplank.platform import KeyValue

DEEP = b'{"other":' + b"[" * 9000 + b"]" * 9000 + b"}"


class TestUnreadableEntries:
    # Guards against an error that the readers do not expect, which ends the loop that follows.
    @pytest.mark.parametrize("key", [HEAD_KEY, LIVE_PREFIX + "service/parts"])
    @pytest.mark.parametrize("value", [DEEP, b"\xff", b"{", b'{"revision":"x"}'])
    def test_each_of_them_is_one_kind_of_error(self, key, value):
        with pytest.raises(StoredFormatError, match="is not readable"):
            decode_live_set([KeyValue(key, value, 1, 1)])
