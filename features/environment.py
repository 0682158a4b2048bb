"""Starts nothing by itself: each scenario has a cell of its own, which ends with it."""

from behave.model import Scenario, Status
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Forget the cell of the last scenario."""
    context.cell = None
    context.callers = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End callers and processes, and show the ends of the logs of a failed scenario."""
    if context.callers is not None:
        context.callers.close()
    if context.cell is None:
        return
    context.cell.stop()
    if scenario.status == Status.failed:
        for log in sorted(context.cell.log_folder.glob("*.log")):
            lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
            print(f"--- {log.name}", *lines[-15:], sep="\n")
