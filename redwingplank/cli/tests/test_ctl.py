import json

import pytest

from redwingplank.cli import ctl
from redwingplank.core import FakeClock
from redwingplank.rpc import PeerConnections
from redwingplank.runtime.operator import OperatorSession
from redwingplank.standin.faults import Faults
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.vms import LaggingVmList, MemoryVmList

TEMPLATES = """
schema_version: 1
templates:
  base: {priority: 100}
  watcher: {extends: base, kind: service, count: 2, resources: {millicores: 500}}
organisations:
  org:
    services:
      watch: {template: watcher}
"""


class Bench:
    """Runs commands of `redwingctl` against an in-memory store."""

    def __init__(self, tmp_path, capsys, monkeypatch):
        self.clock = FakeClock()
        self.store = MemoryStore(self.clock)
        self.faults = Faults()
        self.file = tmp_path / "declarations.yaml"
        self._capsys = capsys
        monkeypatch.setattr(ctl, "open_operator_session", self._open)

    def write(self, text):
        self.file.write_text(text)

    def run(self, *arguments):
        code = ctl.main([*arguments, "--output", "json"])
        captured = self._capsys.readouterr()
        return code, json.loads(captured.out) if captured.out else captured.err

    def apply(self, text, *flags):
        self.write(text)
        return self.run("apply", str(self.file), *flags)

    def _open(self, addresses):
        client = MemoryStoreClient(self.store, self.faults)
        vm_list = MemoryVmList(LaggingVmList(self.clock))
        return OperatorSession(addresses, client, vm_list, PeerConnections())


@pytest.fixture
def bench(tmp_path, capsys, monkeypatch):
    return Bench(tmp_path, capsys, monkeypatch)


class TestValidate:
    def test_reports_all_findings_with_exit_code_2(self, bench):
        bench.write("schema_version: 1\ntemplates:\n  t: {priority: x}\n  u: {kind: y}")
        code, answer = bench.run("validate", str(bench.file))
        assert code == 2
        assert [(row["line"], row["column"]) for row in answer["findings"]] == [(3, 7), (4, 7)]
        assert all(row["remedy"] for row in answer["findings"])

    def test_table_for_people(self, bench, capsys):
        bench.write(TEMPLATES)
        assert ctl.main(["validate", str(bench.file)]) == 0
        assert "valid: 1 organisations" in capsys.readouterr().out

    def test_wrong_usage_is_exit_code_2(self, bench, capsys):
        assert ctl.main(["plan"]) == 2
        assert ctl.main(["no-such-command"]) == 2


class TestChanges:
    def test_plan_shows_the_difference_and_its_effect_on_running_work(self, bench):
        bench.apply(TEMPLATES)
        bench.write(TEMPLATES.replace("count: 2", "count: 3"))
        code, answer = bench.run("plan", str(bench.file))
        assert code == 0
        assert [(row["value"], row["before"], row["after"]) for row in answer["changes"]] == [
            ("count", 2, 3)
        ]
        (impact,) = answer["impacts"]
        assert impact["service"] == "org/watch"
        assert "started or drained" in impact["effect"]
        assert bench.run("history")[1]["revisions"][0]["revision"] == 1

    def test_apply_history_rollback(self, bench, monkeypatch):
        assert bench.apply(TEMPLATES, "--author", "ann")[1]["revision"] == 1
        assert bench.apply(TEMPLATES)[1]["outcome"] == "unchanged"
        monkeypatch.setenv("LOGNAME", "bob")
        assert bench.apply(TEMPLATES.replace("priority: 100", "priority: 7"))[1]["revision"] == 2
        code, answer = bench.run("rollback", "1")
        assert (code, answer["revision"]) == (0, 3)
        revisions = bench.run("history")[1]["revisions"]
        assert [row["revision"] for row in revisions] == [3, 2, 1]
        assert revisions[0]["note"] == "rollback to 1" and revisions[1]["author"] == "bob"
        assert revisions[2]["author"] == "ann"
        assert bench.run("rollback", "99")[0] == 2

    def test_a_conflict_reports_the_other_change_with_exit_code_3(self, bench):
        bench.apply(TEMPLATES)
        bench.apply(TEMPLATES.replace("priority: 100", "priority: 7"), "--author", "ann")
        stale = TEMPLATES.replace("priority: 100", "priority: 9")
        code, answer = bench.apply(stale, "--base", "1")
        assert code == 3
        theirs, ours = answer["conflicts"]
        assert (theirs["side"], theirs["author"], theirs["after"]) == ("theirs", "ann", 7)
        assert (ours["side"], ours["after"]) == ("ours", 9)
        assert bench.run("plan", str(bench.file), "--base", "1")[0] == 3

    def test_pruning_removes_what_the_files_lack(self, bench):
        bench.apply(TEMPLATES + "  other: {}\n")
        code, answer = bench.apply(TEMPLATES, "--prune")
        assert code == 0
        assert [row["document"] for row in answer["changes"]] == ["organisation/other"]

    def test_a_store_that_is_away_is_exit_code_1(self, bench, monkeypatch):
        bench.faults.is_down = True
        monkeypatch.setattr("redwingplank.runtime.apply.MAX_BACKOFF_S", 0.0)
        code, answer = bench.apply(TEMPLATES)
        assert (code, answer["outcome"]) == (1, "not_applied")
        assert bench.run("history")[0] == 1


class TestGet:
    def test_lists_shows_and_explains_where_values_come_from(self, bench):
        bench.apply(TEMPLATES)
        assert len(bench.run("get")[1]["documents"]) == 3
        document = bench.run("get", "template/base")[1]
        assert document["templates"] == {"base": {"priority": 100}}
        code, answer = bench.run("get", "org/watch", "--effective")
        origins = {row["parameter"]: (row["value"], row["from"]) for row in answer["values"]}
        assert code == 0
        assert origins["priority"] == (100, "template base")
        assert origins["count"] == (2, "template watcher")
        assert origins["max_attempts"] == (3, "default")
        assert bench.run("get", "template/none")[0] == 2
        assert bench.run("get", "none/none", "--effective")[0] == 2

    def test_a_document_can_be_applied_again_as_it_is_printed(self, bench, capsys):
        bench.apply(TEMPLATES)
        assert ctl.main(["get", "organisation/org"]) == 0
        code, answer = bench.apply(capsys.readouterr().out)
        assert (code, answer["outcome"]) == (0, "unchanged")


class TestSettings:
    def test_environment_variables_and_bad_addresses(self, bench, monkeypatch):
        monkeypatch.setenv("REDWING_ENTRIES", "nonsense")
        code, message = bench.run("status")
        assert code == 2 and "nonsense" in message

    def test_status_without_nodes_shows_the_store(self, bench):
        bench.apply(TEMPLATES)
        code, answer = bench.run("status")
        assert (code, answer["revision"], answer["store"]) == (0, 1, "reached")
        bench.faults.is_down = True
        assert bench.run("status")[0] == 5

    def test_schema_is_published(self, bench, capsys):
        assert ctl.main(["schema"]) == 0
        assert json.loads(capsys.readouterr().out)["title"] == "redwingplank declarations"
