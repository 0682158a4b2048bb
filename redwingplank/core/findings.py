"""Findings: faults in user input, collected with their places and reported together."""

from collections.abc import Iterable
from dataclasses import dataclass

from redwingplank.core.errors import RedwingError

__all__ = ["Finding", "FindingsError", "SourceLocation", "raise_findings"]


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """The location of a fault.

    Parameters
    ----------
    source : str
        A file path, ``"flag"`` or ``"environment"``.
    line, column : int
        Position in the file, counted from 1; 0 if there is none.
    field : str
        Path of the value, such as ``"organisations.bureau.share"`` or ``"--port"``.
    """

    source: str
    line: int = 0
    column: int = 0
    field: str = ""

    def __str__(self) -> str:
        position = f":{self.line}:{self.column}" if self.line else ""
        field = f" {self.field}" if self.field else ""
        return f"{self.source}{position}{field}"


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault: its place, what is wrong, and how to correct it."""

    place: SourceLocation
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


class FindingsError(RedwingError):
    """Raised for input with faults; carries all of them.

    Parameters
    ----------
    findings : iterable of Finding
        All faults found in the input.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(sorted(findings))
        super().__init__("\n".join(str(finding) for finding in self.findings))


def raise_findings(findings: Iterable[Finding]) -> None:
    """Raise `FindingsError` with all `findings`, or return if there are none."""
    collected = tuple(findings)
    if collected:
        raise FindingsError(collected)
