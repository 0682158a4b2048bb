"""Run pytest and behave, and print ``N passed, N failed`` as the last line.

Tests that are listed in ``KNOWN-RED.txt`` are run, and their failures are printed but do not fail
the run. A listed test that passes does fail the run, because its entry has to be removed.
"""

import json
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass
from pathlib import Path
from typing import Any

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PYTEST_TIMEOUT_S = 1800
BEHAVE_TIMEOUT_S = 1200


@dataclass(frozen=True)
class Outcomes:
    """Names of the tests that passed and of the tests that failed."""

    passed: frozenset[str]
    failed: frozenset[str]


def main() -> int:
    """Run all tests, print the summary and return the exit code."""
    known_red = read_known_red()
    outcomes = [run_pytest(), run_behave()]
    passed = frozenset().union(*(outcome.passed for outcome in outcomes))
    failed = frozenset().union(*(outcome.failed for outcome in outcomes))
    known_failures = failed & known_red
    fixed = sorted(known_red & passed)
    unexpected = sorted(failed - known_red)
    for name in sorted(known_failures):
        print(f"known red: {name}")
    for name in fixed:
        print(f"passes again, remove it from {KNOWN_RED_FILE.name}: {name}")
    for name in unexpected:
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(unexpected) + len(fixed)} failed")
    return 1 if unexpected or fixed or not passed else 0


def read_known_red() -> frozenset[str]:
    """Return the names on the ``test:`` lines of ``KNOWN-RED.txt``."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    text = KNOWN_RED_FILE.read_text(encoding="utf-8")
    return frozenset(re.findall(r"^test:\s*(.+?)\s*$", text, flags=re.MULTILINE))


def run_pytest() -> Outcomes:
    """Run pytest; an exit code other than 0 or 1 (as for collection errors) adds one failure."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "pytest", f"--junitxml={report}"]
        completed = subprocess.run(command, cwd=ROOT, timeout=PYTEST_TIMEOUT_S, check=False)
        outcomes = _read_junit(report)
    if completed.returncode not in (0, 1):
        return Outcomes(outcomes.passed, outcomes.failed | {"pytest: could not run"})
    return outcomes


def run_behave() -> Outcomes:
    """Run behave; an error exit without a failed scenario counts as one failure."""
    if not any((ROOT / "features").glob("*.feature")):
        return Outcomes(frozenset(), frozenset())
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)]
        command += ["--format", "progress", "--no-capture", "features"]
        completed = subprocess.run(command, cwd=ROOT, timeout=BEHAVE_TIMEOUT_S, check=False)
        outcomes = _read_behave(report)
    if completed.returncode != 0 and not outcomes.failed:
        return Outcomes(outcomes.passed, frozenset({"behave: could not run"}))
    return outcomes


def _read_junit(report: Path) -> Outcomes:
    if not report.exists():
        return Outcomes(frozenset(), frozenset({"pytest: no report"}))
    passed, failed = set(), set()
    for case in ElementTree.parse(report).iter("testcase"):
        name = f"{case.get('classname')}::{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(name)
        elif case.find("skipped") is None:
            passed.add(name)
    return Outcomes(frozenset(passed - failed), frozenset(failed))


def _read_behave(report: Path) -> Outcomes:
    if not report.exists() or not report.read_text(encoding="utf-8").strip():
        return Outcomes(frozenset(), frozenset({"behave: no report"}))
    passed, failed = set(), set()
    for feature in json.loads(report.read_text(encoding="utf-8")):
        for scenario in feature.get("elements", []):
            if scenario.get("type") != "scenario":
                continue
            name = f"{feature['name']}::{scenario['name']}"
            _print_errors(name, scenario)
            (passed if scenario.get("status") == "passed" else failed).add(name)
    return Outcomes(frozenset(passed), frozenset(failed))


def _print_errors(name: str, scenario: dict[str, Any]) -> None:
    """Print the error messages of the failed steps of a scenario."""
    for step in scenario.get("steps", []):
        message = step.get("result", {}).get("error_message")
        if message:
            lines = message if isinstance(message, list) else [message]
            print(f"{name}: {step['name']}", *lines, sep="\n    ")


if __name__ == "__main__":
    sys.exit(main())
