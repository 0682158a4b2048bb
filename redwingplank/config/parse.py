"""Parses declaration files and reports each fault with its file, line and column."""

import difflib
from collections.abc import Iterable, Mapping
from pathlib import Path as FilePath
from typing import Any

from jsonschema import ValidationError

from redwingplank.config.documents import Document, DocumentKind
from redwingplank.config.model import Declarations
from redwingplank.config.places import Path, PlacedValue, PlacesBelow, find_place, read_yaml
from redwingplank.config.resolve import resolve_declarations
from redwingplank.config.schema import SCHEMA_VERSION, make_validator
from redwingplank.core import Finding, FindingsError, SourceLocation, raise_findings

__all__ = ["parse_declarations", "parse_documents", "read_declaration_files"]

FILE_PATTERNS = ("*.yaml", "*.yml")
_SECTIONS = (
    ("templates", DocumentKind.TEMPLATE),
    ("organisations", DocumentKind.ORGANISATION),
)


def read_declaration_files(paths: Iterable[str]) -> dict[str, str]:
    """Read declaration files, and those in directories, into memory.

    Parameters
    ----------
    paths : iterable of str
        Files, or directories whose ``*.yaml`` and ``*.yml`` files are read, also in their
        subdirectories.

    Returns
    -------
    dict of str to str
        Contents by file name.

    Raises
    ------
    FindingsError
        For each path that cannot be read.
    """
    files: dict[str, str] = {}
    findings: list[Finding] = []
    for path in paths:
        for file in _list_files(FilePath(path), findings):
            try:
                files[str(file)] = file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                findings.append(
                    Finding(SourceLocation(str(file)), f"cannot be read: {error}", "check the file")
                )
    raise_findings(findings)
    return files


def parse_documents(files: Mapping[str, str]) -> dict[str, Document]:
    """Parse declaration files into documents and check each file against the schema.

    Parameters
    ----------
    files : mapping of str to str
        Contents by file name.

    Returns
    -------
    dict of str to Document
        Documents by document key.

    Raises
    ------
    FindingsError
        With every fault of all files.
    """
    documents, findings = _collect_documents(files)
    raise_findings(findings)
    return documents


def parse_declarations(files: Mapping[str, str]) -> Declarations:
    """Parse a set of declaration files and resolve the declarations in them.

    Parameters
    ----------
    files : mapping of str to str
        Contents by file name.

    Returns
    -------
    Declarations
        Effective declarations with revision 0.

    Raises
    ------
    FindingsError
        With every fault of all files: YAML, schema, references and limits.
    """
    documents, findings = _collect_documents(files)
    try:
        declarations = resolve_declarations(documents)
    except FindingsError as error:
        findings.extend(error.findings)
        declarations = Declarations()
    raise_findings(findings)
    return declarations


def _list_files(path: FilePath, findings: list[Finding]) -> list[FilePath]:
    if path.is_dir():
        found = sorted(file for pattern in FILE_PATTERNS for file in path.rglob(pattern))
        if not found:
            findings.append(
                Finding(SourceLocation(str(path)), "has no *.yaml file", "name another path")
            )
        return found
    if not path.exists():
        findings.append(Finding(SourceLocation(str(path)), "does not exist", "correct the path"))
        return []
    return [path]


def _collect_documents(files: Mapping[str, str]) -> tuple[dict[str, Document], list[Finding]]:
    documents: dict[str, Document] = {}
    findings: list[Finding] = []
    for source, text in files.items():
        placed = read_yaml(source, text)
        findings.extend(placed.findings)
        if placed.value is None:
            if not placed.findings:
                remedy = f"begin with schema_version: {SCHEMA_VERSION}"
                findings.append(Finding(SourceLocation(source, 1, 1), "is empty", remedy))
            continue
        faulty = _check_schema(placed, findings)
        for document in _make_documents(placed, faulty):
            _add_document(documents, document, findings)
    return documents, findings


def _check_schema(placed: PlacedValue, findings: list[Finding]) -> set[Path]:
    faulty: set[Path] = set()
    for error in make_validator().iter_errors(placed.value):
        path: Path = tuple(error.absolute_path)
        faulty.add(path[:2])
        findings.extend(_describe_violation(error, path, placed.places_by_path))
    return faulty


def _make_documents(placed: PlacedValue, faulty: set[Path]) -> list[Document]:
    if () in faulty and not isinstance(placed.value, dict):
        return []
    documents = []
    for section, kind in _SECTIONS:
        entities = placed.value.get(section)
        if not isinstance(entities, dict):
            continue
        for name, content in entities.items():
            places = PlacesBelow(placed.places_by_path, (section, name))
            is_faulty = (section, name) in faulty
            usable_content = _extract_references(content) if is_faulty else content
            documents.append(Document(kind, name, usable_content, places, is_faulty))
    return documents


def _extract_references(content: Any) -> dict[str, Any]:
    """Return only the template names of a faulty entity, so that these are still checked."""
    if not isinstance(content, dict):
        return {}
    references: dict[str, Any] = {}
    if isinstance(content.get("extends"), str):
        references["extends"] = content["extends"]
    services = content.get("services")
    if isinstance(services, dict):
        references["services"] = {
            name: {"template": declared["template"]}
            for name, declared in services.items()
            if isinstance(declared, dict) and isinstance(declared.get("template"), str)
        }
    return references


def _add_document(
    documents: dict[str, Document], document: Document, findings: list[Finding]
) -> None:
    first = documents.get(document.key)
    if first is None:
        documents[document.key] = document
        return
    problem = f"{document.kind} {document.name!r} is declared twice, first at {first.place()}"
    findings.append(Finding(document.place(), problem, "remove one of the two"))


def _describe_violation(
    error: ValidationError, path: Path, places_by_path: Mapping[Path, SourceLocation]
) -> list[Finding]:
    place = find_place(places_by_path, path)
    if error.validator == "additionalProperties":
        return _describe_unknown_names(error, path, places_by_path)
    if error.validator == "required":
        missing = [name for name in error.validator_value if name not in error.instance]
        return [Finding(place, f"{name} is missing", f"add {name}") for name in missing]
    if error.validator == "enum":
        choices = ", ".join(str(choice) for choice in error.validator_value)
        return [Finding(place, f"{error.instance!r} is not known", f"use one of {choices}")]
    if error.validator == "const":
        return [Finding(place, f"is {error.instance!r}", f"use {error.validator_value}")]
    if error.validator == "pattern" and "propertyNames" in error.absolute_schema_path:
        name_place = find_place(places_by_path, (*path, error.instance))
        remedy = "use at most 63 of a-z, 0-9 and -, not beginning with -"
        return [Finding(name_place, f"{error.instance!r} is not a valid name", remedy)]
    remedy = f"give a value with {error.validator} {error.validator_value}"
    return [Finding(place, error.message, remedy)]


def _describe_unknown_names(
    error: ValidationError, path: Path, places_by_path: Mapping[Path, SourceLocation]
) -> list[Finding]:
    known = list(error.schema.get("properties", {}))
    findings = []
    for name in error.instance:
        if name in known:
            continue
        close = difflib.get_close_matches(name, known, n=1)
        remedy = f"did you mean {close[0]}?" if close else f"use one of {', '.join(known)}"
        place = find_place(places_by_path, (*path, name))
        findings.append(Finding(place, f"{name!r} is not known here", remedy))
    return findings
