import json

import pytest

from tools import run_tests
from tools.run_tests import Outcomes

FEATURE = [
    {
        "name": "A",
        "elements": [
            {"type": "background", "name": "b"},
            {"type": "scenario", "name": "good", "status": "passed"},
            {"type": "scenario", "name": "bad", "status": "failed"},
            {"type": "scenario", "name": "broken", "status": "error"},
        ],
    }
]


def run_main(monkeypatch, outcomes, known_red=frozenset()):
    monkeypatch.setattr(run_tests, "run_pytest", lambda: outcomes)
    monkeypatch.setattr(run_tests, "run_behave", lambda: Outcomes(frozenset(), frozenset()))
    monkeypatch.setattr(run_tests, "read_known_red", lambda: known_red)
    return run_tests.main()


class TestReadBehave:
    def test_only_passed_scenarios_pass(self, tmp_path):
        report = tmp_path / "report.json"
        report.write_text(json.dumps(FEATURE))
        outcomes = run_tests._read_behave(report)
        assert outcomes.passed == {"A::good"}
        assert outcomes.failed == {"A::bad", "A::broken"}

    def test_a_missing_report_is_a_failure(self, tmp_path):
        assert run_tests._read_behave(tmp_path / "none.json").failed


class TestMain:
    @pytest.mark.parametrize(
        ("passed", "failed", "known_red", "code", "line"),
        [
            ({"a", "b"}, set(), set(), 0, "2 passed, 0 failed"),
            ({"a"}, {"b"}, set(), 1, "1 passed, 1 failed"),
            ({"a"}, {"b"}, {"b"}, 0, "1 passed, 0 failed"),
            ({"a", "b"}, set(), {"b"}, 1, "2 passed, 1 failed"),
            (set(), set(), set(), 1, "0 passed, 0 failed"),
        ],
    )
    def test_verdict(self, monkeypatch, capsys, passed, failed, known_red, code, line):
        outcomes = Outcomes(frozenset(passed), frozenset(failed))
        assert run_main(monkeypatch, outcomes, frozenset(known_red)) == code
        assert capsys.readouterr().out.splitlines()[-1] == line

    def test_names_on_the_list_are_read(self, monkeypatch, tmp_path):
        listing = tmp_path / "KNOWN-RED.txt"
        listing.write_text("test: a.b::c\ncommand: x\n\ntest: A::bad scenario\n")
        monkeypatch.setattr(run_tests, "KNOWN_RED_FILE", listing)
        assert run_tests.read_known_red() == {"a.b::c", "A::bad scenario"}
