"""Computes the effective values of a service from its own values, templates and defaults."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from redwingplank.config.documents import Document, DocumentKind
from redwingplank.config.model import START_WITHIN_S, DeadlineClass
from redwingplank.config.parameters import PARAMETERS_BY_NAME
from redwingplank.core import Finding, SourceLocation

__all__ = ["EffectiveValue", "TemplateChain", "find_chain", "make_effective_values"]

RESOURCES = "resources"


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """The value of one parameter with its origin.

    Parameters
    ----------
    value : object
        The value in force.
    origin : str
        ``"service"``, ``"template NAME"``, ``"default"`` or ``"default of deadline_class CLASS"``.
    place : Place or None
        Place of the declaration; None for a default.
    """

    value: Any
    origin: str
    place: SourceLocation | None = None


@dataclass(frozen=True, slots=True)
class TemplateChain:
    """A template and those that it extends, nearest first; a broken chain has a `finding`."""

    templates: tuple[Document, ...]
    finding: Finding | None = None


def find_chain(
    documents: Mapping[str, Document], name: str, used_at: SourceLocation
) -> TemplateChain:
    """Follow ``extends`` from a template to its root.

    Parameters
    ----------
    documents : mapping of str to Document
        All documents by key.
    name : str
        Name of the template to start at.
    used_at : Place
        Place where the name is used, which a finding reports.

    Returns
    -------
    TemplateChain
    """
    chain: list[Document] = []
    seen: set[str] = set()
    while name:
        template = documents.get(f"{DocumentKind.TEMPLATE}/{name}")
        if template is None:
            problem = f"template {name!r} is not declared"
            return TemplateChain(
                tuple(chain), Finding(used_at, problem, "declare it or correct the name")
            )
        if name in seen:
            problem = f"template {name!r} extends itself through {len(seen)} steps"
            return TemplateChain(
                tuple(chain), Finding(used_at, problem, "remove one of the extends")
            )
        seen.add(name)
        chain.append(template)
        used_at = template.place("extends")
        name = template.content.get("extends", "")
    return TemplateChain(tuple(chain))


def make_effective_values(
    own: Mapping[str, Any],
    own_document: Document,
    own_path: tuple[str, ...],
    chain: TemplateChain,
) -> dict[str, EffectiveValue]:
    """Return the value of every parameter with its origin.

    Parameters
    ----------
    own : mapping
        The values that the service or template declares itself.
    own_document : Document
        The document that contains `own`.
    own_path : tuple of str
        The path of `own` in that document; empty for a template.
    chain : TemplateChain
        The templates whose values are inherited, nearest first.

    Returns
    -------
    dict of str to EffectiveValue
        Values by parameter name; parameters with neither a value nor a default are left out.
    """
    values: dict[str, EffectiveValue] = {}
    own_origin = "service" if own_path else f"template {own_document.name}"
    _add_declared(values, own, own_document, own_path, own_origin)
    for template in chain.templates:
        _add_declared(values, template.content, template, (), f"template {template.name}")
    _add_defaults(values)
    return {name: values[name] for name in PARAMETERS_BY_NAME if name in values}


def _add_declared(
    values: dict[str, EffectiveValue],
    declared: Mapping[str, Any],
    document: Document,
    path: tuple[str, ...],
    origin: str,
) -> None:
    for key, value in declared.items():
        if key == RESOURCES:
            for dimension, amount in value.items():
                name = f"{RESOURCES}.{dimension}"
                if name not in values:
                    place = document.place(*path, RESOURCES, dimension)
                    values[name] = EffectiveValue(amount, origin, place)
        elif key in PARAMETERS_BY_NAME and key not in values:
            values[key] = EffectiveValue(value, origin, document.place(*path, key))


def _add_defaults(values: dict[str, EffectiveValue]) -> None:
    for name, parameter in PARAMETERS_BY_NAME.items():
        if name not in values and parameter.default is not None:
            values[name] = EffectiveValue(parameter.default, "default")
    if "start_within_s" not in values:
        deadline_class = DeadlineClass[values["deadline_class"].value.upper()]
        origin = f"default of deadline_class {deadline_class.name.lower()}"
        values["start_within_s"] = EffectiveValue(START_WITHIN_S[deadline_class], origin)
