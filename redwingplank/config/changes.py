"""Compares the contents of documents value by value."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["DocumentChange", "ValueChange", "diff_contents"]


@dataclass(frozen=True, slots=True)
class ValueChange:
    """One value that differs between two contents; None means that it is not declared."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.path}: {_format(self.before)} -> {_format(self.after)}"


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """A document that is added, changed or removed; None means that it does not exist."""

    key: str
    before: Mapping[str, Any] | None
    after: Mapping[str, Any] | None

    @property
    def action(self) -> str:
        """The kind of change: ``"add"``, ``"change"`` or ``"remove"``."""
        if self.before is None:
            return "add"
        return "remove" if self.after is None else "change"

    def values(self) -> tuple[ValueChange, ...]:
        """Return the values that differ, sorted by path."""
        return diff_contents(self.before, self.after)


def diff_contents(
    before: Mapping[str, Any] | None, after: Mapping[str, Any] | None
) -> tuple[ValueChange, ...]:
    """Return the values that differ between two contents, sorted by path."""
    old, new = _flatten(before or {}), _flatten(after or {})
    return tuple(
        ValueChange(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def _flatten(content: Mapping[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in content.items():
        if isinstance(value, Mapping):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat


def _format(value: Any) -> str:
    return "none" if value is None else str(value)
