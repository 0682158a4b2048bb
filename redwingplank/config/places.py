"""Reads YAML into plain values and records the line and column of each."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.constructor import SafeConstructor
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from redwingplank.core import Finding, SourceLocation

__all__ = ["Path", "PlacedValue", "PlacesBelow", "find_place", "read_yaml"]

Path = tuple[str | int, ...]
STRING_TAG = "tag:yaml.org,2002:str"
MAX_DEPTH = 32


@dataclass(slots=True)
class PlacedValue:
    """A value with the places of its parts.

    Parameters
    ----------
    value : object
        Dictionaries, lists and scalars; None for an empty file.
    places_by_path : mapping of tuple to Place
        Place of each part by path; an entry of a mapping has the place of its key.
    findings : list of Finding
        Faults of the YAML syntax and of its values.
    """

    value: Any = None
    places_by_path: dict[Path, SourceLocation] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)


def read_yaml(source: str, text: str) -> PlacedValue:
    """Parse one YAML document.

    Parameters
    ----------
    source : str
        Name of the file, which places report.
    text : str
        Content of the file.

    Returns
    -------
    PlacedValue
        The value with its places, or findings without a value if the text is not valid YAML.
    """
    yaml = YAML(typ="safe", pure=True)
    result = PlacedValue()
    try:
        node = yaml.compose(text)
    except MarkedYAMLError as error:
        result.findings.append(_make_syntax_finding(source, error))
        return result
    except YAMLError as error:
        place = SourceLocation(source, 1, 1)
        result.findings.append(Finding(place, f"is not valid YAML: {error}", "correct the syntax"))
        return result
    except RecursionError:
        place = SourceLocation(source, 1, 1)
        result.findings.append(_make_depth_finding(place))
        return result
    if node is not None:
        reader = _Reader(source, result, yaml.constructor)
        result.value = reader.read(node, ())
    return result


def _make_depth_finding(place: SourceLocation) -> Finding:
    return Finding(place, f"is nested more than {MAX_DEPTH} deep", "remove the nesting")


def _make_syntax_finding(source: str, error: MarkedYAMLError) -> Finding:
    mark = error.problem_mark or error.context_mark
    line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
    problem = " ".join(str(part) for part in (error.context, error.problem) if part)
    return Finding(
        SourceLocation(source, line, column), f"is not valid YAML: {problem}", "correct the syntax"
    )


class _Reader:
    def __init__(self, source: str, result: PlacedValue, constructor: SafeConstructor) -> None:
        self._source = source
        self._result = result
        self._constructor = constructor

    def read(self, node: Node, path: Path) -> Any:
        if path not in self._result.places_by_path:
            self._result.places_by_path[path] = self._place(node, path)
        if len(path) > MAX_DEPTH:
            self._result.findings.append(_make_depth_finding(self._place(node, path[:MAX_DEPTH])))
            return None
        if isinstance(node, MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, SequenceNode):
            return [self.read(item, (*path, index)) for index, item in enumerate(node.value)]
        assert isinstance(node, ScalarNode)
        return self._read_scalar(node, path)

    def _read_mapping(self, node: MappingNode, path: Path) -> dict[str, Any]:
        value: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            entry_path = (*path, key)
            place = self._place(key_node, entry_path)
            if key in value:
                first = self._result.places_by_path[entry_path]
                problem = f"is declared twice, first in line {first.line}"
                self._result.findings.append(Finding(place, problem, "remove one of the two"))
                continue
            self._result.places_by_path[entry_path] = place
            value[key] = self.read(value_node, entry_path)
        return value

    def _read_scalar(self, node: ScalarNode, path: Path) -> Any:
        if node.tag == STRING_TAG:
            return node.value
        try:
            value = self._constructor.construct_object(node)
            if isinstance(value, float) and not isfinite(value):
                raise ValueError("not a finite number")
            return value
        except (YAMLError, ValueError, KeyError):
            problem = f"is not a value of the YAML type {str(node.tag).rpartition(':')[2]!r}"
            remedy = "write it as a number, or in quotes as text"
            self._result.findings.append(Finding(self._place(node, path), problem, remedy))
            return None

    def _place(self, node: Node, path: Path) -> SourceLocation:
        mark = node.start_mark
        return SourceLocation(self._source, mark.line + 1, mark.column + 1, _format_path(path))


def _format_path(path: Path) -> str:
    return ".".join(str(part) for part in path)


def find_place(places_by_path: Mapping[Path, SourceLocation], path: Path) -> SourceLocation:
    """Return the place of a part, or of the nearest enclosing part that has one."""
    for length in range(len(path), -1, -1):
        place = places_by_path.get(path[:length])
        if place is not None:
            return SourceLocation(place.source, place.line, place.column, _format_path(path))
    return SourceLocation("unknown", field=_format_path(path))


class PlacesBelow(Mapping[Path, SourceLocation]):
    """A view of the places of one part of a value, by path within that part.

    Parameters
    ----------
    places_by_path : mapping of tuple to Place
        The places of the whole value.
    prefix : tuple
        The path of the part.
    """

    def __init__(self, places_by_path: Mapping[Path, SourceLocation], prefix: Path) -> None:
        self._places_by_path = places_by_path
        self._prefix = prefix

    def __getitem__(self, path: Path) -> SourceLocation:
        return self._places_by_path[self._prefix + path]

    def __iter__(self) -> Iterator[Path]:
        length = len(self._prefix)
        return (path[length:] for path in self._places_by_path if path[:length] == self._prefix)

    def __len__(self) -> int:
        return sum(1 for _ in self)

    def __bool__(self) -> bool:
        return True
