"""Tests of the stand-in for the users' store."""

import pytest

from redwingplank.standin.site_store import SiteStoreModel


class TestEvents:
    # Guards against a watch that misses or repeats changes at its revision.
    def test_a_watch_gets_all_events_after_its_revision(self):
        model = SiteStoreModel()
        revisions = [model.put(f"a/{number}", b"") for number in range(4)]
        model.put("b/0", b"")
        model.remove("a/0")
        for index, revision in enumerate(revisions):
            found = [event["key"] for event in model.events_after("a/", revision)]
            assert found == [f"a/{number}" for number in range(index + 1, 4)] + ["a/0"]
        assert model.events_after("a/", model.revision) == []

    def test_all_events_of_one_transaction_are_given_together(self):
        model = SiteStoreModel()
        rows = [{"key": key, "value": ""} for key in ("a/0", "a/1")]
        status, body = model.transact({"puts": rows})
        assert status == 200
        assert len(model.events_after("a/", body["revision"] - 1)) == 2


class TestForeignKeys:
    # Guards against a stand-in that lets nodes write what only operator and workers may write.
    @pytest.mark.parametrize("key", ["op/config", "servers/w0"])
    def test_nodes_may_not_write_them(self, key):
        model = SiteStoreModel()
        model.put(key, b"1")
        assert model.transact({"puts": [{"key": key, "value": ""}]}) == (403, {})
        assert model.transact({"remove": [key]}) == (403, {})
        assert model.items[key].value == b"1"


class TestPages:
    # Guards against a stand-in that lists any number of keys at once, as the real store does not.
    def test_a_range_ends_after_the_last_page(self):
        model = SiteStoreModel()
        model.page_items = 2
        for number in range(4):
            model.put(f"a/{number}", b"")
        model.put("b/0", b"")
        first = model.show_page("a/", "")
        second = model.show_page("a/", "a/1")
        assert [item["key"] for item in first["items"]] == ["a/0", "a/1"]
        assert [item["key"] for item in second["items"]] == ["a/2", "a/3"]
        assert [first["has_more"], second["has_more"]] == [True, False]
