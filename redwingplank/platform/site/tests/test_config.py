"""Organisations and routes of the operator's configuration."""

import random

import msgspec
import pytest

from redwingplank.batch.model import Amounts
from redwingplank.core import UndecodableError
from redwingplank.platform.site.config import ConfigRejectedError, decode_config

KEY = "key-7f3a"
A = {"name": "a", "api_keys": [KEY, "key-2"], "weight": 2, "cap": {"cpu": 500}, "note": "x"}
B = {"name": "b", "api_keys": ["key-3"]}


def decode(**fields):
    return decode_config(msgspec.json.encode({"version": 1, **fields}))


class TestOrganisations:
    def test_are_read_with_their_keys_and_quotas(self):
        """Guards against keys that name no organisation, and against a repr that shows keys."""
        config = decode(tenants=[A, B])
        assert config.requires_keys
        assert config.organisations_by_name["a"].quota == Amounts(500, 0, 0)
        assert config.organisations_by_name["a"].weight == 2.0
        assert config.organisation_by_key == {KEY: "a", "key-2": "a", "key-3": "b"}
        assert KEY not in repr(config)

    def test_an_empty_list_needs_keys_and_no_list_does_not(self):
        """Guards against serving everyone after the last organisation was removed."""
        assert decode(tenants=[]).requires_keys
        assert not decode().requires_keys

    @pytest.mark.parametrize(
        "tenants",
        [
            [A, {**B, "api_keys": [KEY]}],
            [A, {**B, "name": "a"}],
            [A, {**B, "name": ""}],
            [A, {**B, "weight": -1}],
            [A, {**B, "cap": {"mem_mb": -1}}],
            [A, {**B, "api_keys": KEY}],
            None,
        ],
    )
    def test_a_contradiction_rejects_the_whole(self, tenants):
        """Guards against half a configuration in force, and against keys in logged errors."""
        value = msgspec.json.encode({"version": 1, "tenants": tenants})
        for each in (value, value.replace(b'"a"', b'"\xff"')):
            with pytest.raises((ConfigRejectedError, UndecodableError)) as caught:
                decode_config(each)
            assert KEY not in repr(caught.value)


class TestRouteIndex:
    def test_finds_what_a_plain_search_finds(self):
        """Guards against an index that picks another route than the longest prefix."""
        source = random.Random(7)
        parts = ["/", "a", "b/", "ab", "/a"]
        for _ in range(300):
            prefixes = ["".join(source.choices(parts, k=source.randrange(5))) for _ in range(9)]
            routes = [
                {"name": f"q{number}", "host": source.choice("xY"), "prefix": prefix}
                for number, prefix in enumerate(prefixes)
            ]
            config = decode(routes=routes)
            queues = config.queues_by_name.values()
            for _ in range(20):
                host = source.choice("xyz")
                path = "".join(source.choices(parts, k=source.randrange(7)))
                matching = [q for q in queues if q.host == host and path.startswith(q.prefix)]
                expected = max(matching, key=lambda q: len(q.prefix), default=None)
                assert config.find_queue(host, path) == expected
