"""``python -m redwingplank.cli.story``: prints the events of one job from the logs of all nodes."""

import os
import re
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import cyclopts

__all__ = ["main", "select_story"]

_CONTEXT_EVENTS = frozenset(
    {
        "config_in_force",
        "events_left_out",
        "owner_loaded",
        "ownership_lost",
        "ownership_won",
        "report_failed",
        "store_lost",
        "store_regained",
        "task_failed",
    }
)
_find_event_name = re.compile(r"\bevent=(\w+)").search


def select_story(lines: Iterable[str], job_id: str) -> Iterator[str]:
    """Yield the log lines of a job, and the context events logged between them.

    Context events are changes of ownership, of the store's reachability and of the declarations,
    failed tasks, and gaps in the log.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all nodes, in the order in which they were written.
    job_id : str
        Id of the job.
    """
    mark = re.compile(rf"\bjob={re.escape(job_id)}\b").search
    held: list[str] = []
    is_started = False
    for line in lines:
        if mark(line):
            yield from held
            held.clear()
            is_started = True
            yield line
        elif is_started:
            found = _find_event_name(line)
            if found is not None and found.group(1) in _CONTEXT_EVENTS:
                held.append(line)


def main() -> None:
    """Read the command line and print the events of one job."""
    app = cyclopts.App(name="story", help="Print the events of one job from the logs of all nodes.")

    @app.default
    def _print(job_id: str, *logs: Path) -> None:
        def lines() -> Iterator[str]:
            for log in logs:
                with log.open(encoding="utf-8", errors="replace") as opened:
                    yield from opened

        try:
            for line in select_story(lines(), job_id):
                sys.stdout.write(line)
            sys.stdout.flush()
        except BrokenPipeError:
            # The reader, such as `head`, closed the pipe. Redirect the output to the null device,
            # so that the flush at interpreter exit does not fail.
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())

    app()


if __name__ == "__main__":
    main()
