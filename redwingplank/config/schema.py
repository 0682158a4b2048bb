"""The JSON Schema of a declaration file.

`schema.json` beside this module is the published copy; a test checks that the two are equal.
"""

from collections.abc import Mapping
from functools import cache
from typing import Any

from jsonschema import Draft202012Validator

from redwingplank.config.parameters import NAME_PATTERN, PARAMETERS_BY_NAME

__all__ = ["SCHEMA_VERSION", "make_schema", "make_validator"]

SCHEMA_VERSION = 1
MAX_SHARE = 1000
RESOURCE_PREFIX = "resources."


def make_schema() -> dict[str, Any]:
    """Return the JSON Schema (draft 2020-12) of one declaration file."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "redwingplank declarations",
        "type": "object",
        "required": ["schema_version"],
        "additionalProperties": False,
        "properties": {
            "schema_version": {
                "const": SCHEMA_VERSION,
                "description": "Version of this format",
            },
            "templates": _make_named_entities(_make_template()),
            "organisations": _make_named_entities(_make_organisation()),
        },
    }


@cache
def make_validator() -> Draft202012Validator:
    """Return the validator of declaration files, which is created once per process."""
    return Draft202012Validator(make_schema())


def _make_named_entities(entity: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "type": "object",
        "propertyNames": {"pattern": NAME_PATTERN},
        "additionalProperties": entity,
    }


def _make_template() -> dict[str, Any]:
    properties: dict[str, Any] = {
        "description": {"type": "string", "description": "A note for readers"},
        "extends": {"type": "string", "description": "The template whose values are inherited"},
    }
    properties.update(_make_parameters())
    return {"type": "object", "additionalProperties": False, "properties": properties}


def _make_organisation() -> dict[str, Any]:
    service_properties: dict[str, Any] = {
        "template": {"type": "string", "description": "The template that it is made from"}
    }
    service_properties.update(_make_parameters())
    service = {
        "type": "object",
        "required": ["template"],
        "additionalProperties": False,
        "properties": service_properties,
    }
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": {
            "description": {"type": "string", "description": "A note for readers"},
            "share": {
                "type": "integer",
                "minimum": 1,
                "maximum": MAX_SHARE,
                "description": "Weight in fair sharing, 100 by default",
            },
            "quota": _make_resources("Hard bound on what running tasks reserve in the cell"),
            "services": _make_named_entities(service),
        },
    }


def _make_parameters() -> dict[str, Any]:
    properties: dict[str, Any] = {}
    for name, parameter in PARAMETERS_BY_NAME.items():
        if not name.startswith(RESOURCE_PREFIX):
            properties[name] = {**parameter.schema, "description": parameter.description}
    properties["resources"] = _make_resources("What each task needs")
    return properties


def _make_resources(description: str) -> dict[str, Any]:
    properties = {
        name.removeprefix(RESOURCE_PREFIX): dict(parameter.schema)
        for name, parameter in PARAMETERS_BY_NAME.items()
        if name.startswith(RESOURCE_PREFIX)
    }
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "description": description,
    }
