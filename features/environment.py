"""Behave hooks: each scenario starts its own cell, which is stopped after the scenario."""

from behave.model import Scenario, Status
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Reset the references to the cell and the callers of the previous scenario."""
    context.cell = None
    context.callers = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop callers and processes; print the last lines of each log if the scenario failed."""
    if context.callers is not None:
        context.callers.close()
    if context.cell is None:
        return
    context.cell.stop()
    if scenario.status == Status.failed:
        for log in sorted(context.cell.log_folder.glob("*.log")):
            lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
            print(f"--- {log.name}", *lines[-15:], sep="\n")
