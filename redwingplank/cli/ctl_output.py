"""Prints the results of `redwingctl` as tables or as JSON."""

import sys
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any

import msgspec
from tabulate import tabulate

from redwingplank.config.apply import Conflict
from redwingplank.config.changes import DocumentChange
from redwingplank.config.impact import Impact
from redwingplank.core import Finding
from redwingplank.runtime.operator import NodeLine

__all__ = [
    "OutputFormat",
    "Printer",
    "change_rows",
    "conflict_rows",
    "finding_rows",
    "impact_rows",
    "node_rows",
    "print_error",
]

Rows = Sequence[Mapping[str, Any]]


class OutputFormat(StrEnum):
    """Output format of `redwingctl`."""

    TABLE = "table"
    JSON = "json"


class Printer:
    """Prints the result of a command: a headline and named lists of rows.

    Parameters
    ----------
    output : OutputFormat
        Tables for people, or one JSON object for programs.
    """

    def __init__(self, output: OutputFormat) -> None:
        self._output = output

    def show(self, headline: str, facts: Mapping[str, Any], **rows_by_name: Rows) -> None:
        """Print a result.

        Parameters
        ----------
        headline : str
            One sentence for people; omitted from JSON.
        facts : mapping
            Single values by key; printed in JSON only.
        **rows_by_name
            Lists of rows; all rows of a list have the same keys. An empty list is printed in JSON
            but not as a table.
        """
        if self._output is OutputFormat.JSON:
            value = {**facts, **{name: list(rows) for name, rows in rows_by_name.items()}}
            print(msgspec.json.encode(value, enc_hook=str).decode())
            return
        print(headline)
        for rows in rows_by_name.values():
            if rows:
                print()
                print(tabulate(rows, headers="keys", tablefmt="plain", disable_numparse=True))

    def show_document(self, text: str, value: Any) -> None:
        """Print `text` in table format, or `value` in JSON."""
        if self._output is OutputFormat.JSON:
            print(msgspec.json.encode(value, enc_hook=str).decode())
        else:
            print(text)


def print_error(message: str) -> None:
    """Print to standard error why a command was not done."""
    print(f"redwingctl: {message}", file=sys.stderr)


def finding_rows(findings: Sequence[Finding]) -> Rows:
    """Return one row for each finding."""
    return [
        {
            "file": finding.place.source,
            "line": finding.place.line,
            "column": finding.place.column,
            "field": finding.place.field,
            "problem": finding.problem,
            "remedy": finding.remedy,
        }
        for finding in findings
    ]


def change_rows(changes: Sequence[DocumentChange]) -> Rows:
    """Return one row for each declared value that differs.

    A change without differing values has one row with an empty value path.
    """
    rows: list[Mapping[str, Any]] = []
    for change in changes:
        values = change.values()
        if not values:
            rows.append(_change_row(change, "", None, None))
        rows.extend(_change_row(change, item.path, item.before, item.after) for item in values)
    return rows


def conflict_rows(conflicts: Sequence[Conflict]) -> Rows:
    """Return one row for each conflicting value, on the other operator's side and on this one's."""
    rows: list[Mapping[str, Any]] = []
    for conflict in conflicts:
        for side, values in (("theirs", conflict.theirs), ("ours", conflict.ours)):
            rows.extend(
                {
                    "document": conflict.key,
                    "revision": conflict.revision,
                    "author": conflict.author or "unknown",
                    "side": side,
                    "value": item.path,
                    "before": item.before,
                    "after": item.after,
                }
                for item in values
            )
    return rows


def impact_rows(impacts: Sequence[Impact]) -> Rows:
    """Return one row for each effective value that a change affects."""
    return [
        {
            "service": impact.subject,
            "parameter": impact.parameter,
            "before": impact.before,
            "after": impact.after,
            "effect": impact.effect,
        }
        for impact in impacts
    ]


def node_rows(lines: Sequence[NodeLine], newest_revision: int) -> Rows:
    """Return one row for each node; fields of a node that did not report are None or empty."""
    rows = []
    for line in lines:
        report = line.report
        rows.append(
            {
                "node": line.name,
                "revision": report.revision if report else None,
                "lag": line.lag(newest_revision) if report else None,
                "watching": report.is_watching if report else None,
                "leaving": report.is_leaving if report else None,
                "peers": len(report.live_peers) if report else None,
                "upstreams": len(report.live_upstreams) if report else None,
                "cut_off_from": ",".join(report.cut_off_from) if report else "",
                "problem": line.problem,
            }
        )
    return rows


def _change_row(change: DocumentChange, path: str, before: Any, after: Any) -> Mapping[str, Any]:
    return {
        "document": change.key,
        "action": change.action,
        "value": path,
        "before": before,
        "after": after,
    }
