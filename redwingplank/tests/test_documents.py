"""Checks the documentation against the code: indexes, named tests and scenarios."""

import importlib
import re
from pathlib import Path

import pytest

from tools import doc_index

ROOT = Path(__file__).resolve().parent.parent.parent
TEST_NAME = re.compile(r"`(redwingplank/[\w/]+\.py)::(\w+)`")
SCENARIO = re.compile(r"^\s*Scenario: (.+)$", flags=re.MULTILINE)


class TestIndexes:
    def test_name_every_note_and_page(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert doc_index.main(["--check"]) == 0, capsys.readouterr().out


class TestInvariants:
    def test_names_tests_that_exist(self) -> None:
        names = TEST_NAME.findall((ROOT / "docs" / "INVARIANTS.md").read_text(encoding="utf-8"))
        assert len(names) > 20
        for path, class_name in names:
            module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
            assert hasattr(module, class_name), f"{path}::{class_name}"

    def test_names_every_scenario(self) -> None:
        page = (ROOT / "docs" / "INVARIANTS.md").read_text(encoding="utf-8")
        text = (ROOT / "features" / "failures.feature").read_text(encoding="utf-8")
        scenarios = SCENARIO.findall(text)
        assert scenarios
        assert [scenario for scenario in scenarios if f"| {scenario} |" not in page] == []
