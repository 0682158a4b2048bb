from pathlib import Path

import pytest

import redwingplank.config as config
from redwingplank.config import PARAMETERS_BY_NAME

DOCUMENT = Path(config.__file__).parents[2] / "docs" / "declarations.md"


def describe_values(schema):
    if "enum" in schema:
        return ", ".join(schema["enum"])
    if schema["type"] == "integer":
        return f"{schema['minimum']} to {schema['maximum']}"
    if schema["type"] == "number":
        return f"above 0, to {schema['maximum']}"
    names = {"boolean": "true, false", "string": "a name", "object": "count by kind"}
    return names[schema["type"]]


def format_row(parameter):
    default = parameter.default
    if default is None:
        shown = "by class" if parameter.name == "start_within_s" else "required"
    elif isinstance(default, bool):
        shown = str(default).lower()
    else:
        shown = "none" if default == "" or (not default and default != 0) else str(default)
    cells = [
        f"`{parameter.name}`",
        describe_values(parameter.schema),
        shown,
        parameter.unit,
        parameter.in_force,
        parameter.description,
    ]
    return f"| {' | '.join(cells)} |".replace("|  |", "| |")


class TestDocumentation:
    @pytest.mark.parametrize("name", PARAMETERS_BY_NAME)
    def test_every_parameter_is_documented_as_it_is(self, name):
        assert format_row(PARAMETERS_BY_NAME[name]) in DOCUMENT.read_text(encoding="utf-8")

    def test_the_example_in_the_document_is_valid(self):
        text = DOCUMENT.read_text(encoding="utf-8")
        example = text.split("```yaml\n")[1].split("```")[0]
        assert config.parse_declarations({"example.yaml": example}).organisations_by_name
