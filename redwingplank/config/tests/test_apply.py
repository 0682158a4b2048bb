import pytest

from redwingplank.config.apply import (
    Authorship,
    Base,
    HistoryTooShortError,
    contents_at_revision,
    make_change_set,
    make_transaction,
    validate_change,
)
from redwingplank.config.changes import DocumentChange
from redwingplank.config.parse import parse_documents
from redwingplank.config.stored import (
    Head,
    HistoryRecord,
    LiveSet,
    StoredDocument,
    decode_declarations,
    encode_declarations,
)
from redwingplank.core import FindingsError
from redwingplank.platform import MAX_VALUE_BYTES, Put


def live_set(revision=3, **contents):
    stored = {
        f"template/{name}": StoredDocument(revision, "ann", content)
        for name, content in contents.items()
    }
    return LiveSet(Head(revision), stored, 7)


class TestChangeSet:
    def test_only_differences_are_changes(self):
        live = live_set(a={"priority": 1}, b={"priority": 2})
        base = Base(3, live.contents_by_key)
        wanted = {"template/a": {"priority": 1}, "template/b": {"priority": 5}, "template/c": {}}
        result = make_change_set(live, base, wanted)
        assert [(change.key, change.action) for change in result.changes] == [
            ("template/b", "change"),
            ("template/c", "add"),
        ]

    def test_what_only_the_other_changed_stays_and_what_both_changed_conflicts(self):
        base = Base(2, {"template/a": {"priority": 1}, "template/b": {"priority": 1}})
        live = live_set(a={"priority": 9}, b={"priority": 9})
        wanted = {"template/a": {"priority": 1}, "template/b": {"priority": 4}}
        result = make_change_set(live, base, wanted)
        assert result.kept_keys == ("template/a",)
        (conflict,) = result.conflicts
        assert (conflict.key, conflict.revision, conflict.author) == ("template/b", 3, "ann")
        assert str(conflict.theirs[0]) == "priority: 1 -> 9"
        assert str(conflict.ours[0]) == "priority: 1 -> 4"

    def test_removal_of_what_another_removed_is_no_change(self):
        result = make_change_set(live_set(), Base(1, {"template/a": {}}), {"template/a": None})
        assert result.changes == () and result.conflicts == ()


class TestTransaction:
    def test_refuses_more_than_one_transaction_takes(self):
        big = {"description": "x" * (MAX_VALUE_BYTES + 1)}
        change = DocumentChange("template/a", None, big)
        with pytest.raises(FindingsError, match="apply fewer documents"):
            make_transaction(live_set(), (change,), Authorship("n"))

    def test_one_hundred_and_fifty_organisations_fit(self):
        content = {"services": {f"s{i}": {"template": f"t{i}", "priority": i} for i in range(20)}}
        changes = tuple(DocumentChange(f"organisation/o{i}", content, content) for i in range(150))
        live = LiveSet(
            Head(1), {change.key: StoredDocument(1, "", content) for change in changes}, 1
        )
        transaction = make_transaction(live, changes, Authorship("n"))
        sizes = [len(put.value) for put in transaction.operations if isinstance(put, Put)]
        assert max(sizes) < MAX_VALUE_BYTES

    def test_history_is_bounded(self):
        change = DocumentChange("template/a", None, {})
        operations = make_transaction(live_set(600), (change,), Authorship("n")).operations
        assert operations[-1].key == "config/history/000000000101"

    def test_findings_name_the_place_in_the_file_or_in_the_store(self):
        files = {"a.yaml": "schema_version: 1\norganisations: {o: {services: {s: {template: a}}}}"}
        documents = parse_documents(files)
        key = "organisation/o"
        changes = (DocumentChange(key, None, documents[key].content),)
        live = live_set(a={"kind": "batch"}, b={"extends": "gone"})
        with pytest.raises(FindingsError) as caught:
            validate_change(live, changes, documents)
        sources = {finding.place.source for finding in caught.value.findings}
        assert sources == {"a.yaml", "store:template/b"}


class TestHistory:
    def test_earlier_contents_are_rebuilt_and_missing_records_reported(self):
        live = live_set(a={"priority": 3}, c={})
        records = (
            HistoryRecord(2, "", "", 0.0, "", {"template/a": {"priority": 1}}),
            HistoryRecord(3, "", "", 0.0, "", {"template/c": None, "template/b": {}}),
        )
        assert contents_at_revision(live, records, 1) == {
            "template/a": {"priority": 1},
            "template/b": {},
        }
        with pytest.raises(HistoryTooShortError, match="no longer kept"):
            contents_at_revision(live, records, 0)
        with pytest.raises(HistoryTooShortError, match="does not exist"):
            contents_at_revision(live, records, 4)

    def test_stored_form_round_trip(self):
        text = (
            "schema_version: 1\ntemplates: {t: {kind: batch, resources: {millicores: 5}}}\n"
            "organisations: {o: {share: 7, services: {s: {template: t}}}}"
        )
        documents = parse_documents({"a.yaml": text})
        declarations = decode_declarations(encode_declarations(documents, 12))
        assert declarations.revision == 12
        service = declarations.find_service("o", "s")
        assert service is not None and service.resources.millicores == 5
