"""Fuzzing of declarations: any text is either parsed or rejected with findings."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from redwingplank.config import PARAMETERS_BY_NAME, Declarations, parse_declarations
from redwingplank.core import FindingsError

VALID_TEXT = """
schema_version: 1
templates:
  base: {kind: batch, resources: {millicores: 1000, memory_mib: 512}}
organisations:
  one:
    share: 10
    services:
      work: {template: base, priority: 3}
"""
WORDS = st.sampled_from(sorted({*PARAMETERS_BY_NAME, "schema_version", "templates", "share"}))
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | WORDS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(WORDS | st.text(max_size=6), inner, max_size=4),
    max_leaves=12,
)
BOUNDED = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def parse(text: str) -> Declarations | None:
    """Return the declarations, or None if they are rejected with findings."""
    try:
        return parse_declarations({"fuzz.yaml": text})
    except FindingsError as error:
        assert error.findings
        assert all(finding.problem and finding.remedy for finding in error.findings)
        return None


INVALID_TEXTS = (
    "=",
    "2001-13-45",
    "!!int x",
    "!!binary '*é'",
    "!!bool x",
    "a: !foo b",
    "a: &x [*x]",
    "[" * 5000,
    "schema_version: " + "9" * 5000,
    "schema_version: 1\ntemplates: {a: {kind: batch, run_time_s: .nan}}",
    "schema_version: 1\ntemplates: {a: {kind: batch, run_time_s: 1.0e+999}}",
    "schema_version: 1\ntemplates: {a: {extends: a}}",
)


class TestDeclarations:
    @pytest.mark.parametrize("text", INVALID_TEXTS, ids=lambda text: text[:24])
    def test_values_that_yaml_itself_cannot_build_are_refused(self, text: str) -> None:
        assert parse(text) is None

    def test_the_good_text_is_read(self) -> None:
        declarations = parse(VALID_TEXT)
        assert declarations is not None
        assert declarations.find_service("one", "work") is not None

    @BOUNDED
    @given(st.text(max_size=200))
    def test_any_text(self, text: str) -> None:
        parse(text)

    @BOUNDED
    @given(VALUES)
    def test_any_structure(self, value: object) -> None:
        parse(json.dumps(value))

    @BOUNDED
    @given(st.dictionaries(WORDS, VALUES, max_size=4))
    def test_any_content_under_the_right_version(self, content: dict) -> None:
        parse(json.dumps({**content, "schema_version": 1}))

    @BOUNDED
    @given(st.integers(0, len(VALID_TEXT)), st.integers(0, 12), st.text(max_size=6))
    def test_damaged_text(self, start: int, length: int, inserted: str) -> None:
        parse(VALID_TEXT[:start] + inserted + VALID_TEXT[start + length :])
