"""Findings: faults in what a person wrote, collected with their place and reported together."""

from collections.abc import Iterable
from dataclasses import dataclass

from redwingplank.core.errors import RedwingError

__all__ = ["Finding", "FindingsError", "Place", "raise_findings"]


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a fault stands.

    Parameters
    ----------
    source : str
        A file path, ``"flag"`` or ``"environment"``.
    line, column : int
        Position from 1; 0 where there is none.
    field : str
        The path of the value, such as ``"organisations.bureau.share"`` or ``"--port"``.
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
    """One fault: where it is, what is wrong and how to mend it."""

    place: Place
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


class FindingsError(RedwingError):
    """Input has faults; carries all of them.

    Parameters
    ----------
    findings : iterable of Finding
        Every fault that was found.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(sorted(findings))
        super().__init__("\n".join(str(finding) for finding in self.findings))


def raise_findings(findings: Iterable[Finding]) -> None:
    """Raise `FindingsError` with all `findings`, or return if there are none."""
    collected = tuple(findings)
    if collected:
        raise FindingsError(collected)
