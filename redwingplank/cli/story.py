"""``python -m redwingplank.cli.story``: the story of one job from nodes' logs."""

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
        "store_lost",
        "store_regained",
        "task_failed",
    }
)
_event_of = re.compile(r"\bevent=(\w+)").search


def select_story(lines: Iterable[str], job_id: str) -> Iterator[str]:
    """Return the lines of a job, and those in between that tell of owners and the store.

    Parameters
    ----------
    lines : iterable of str
        Of all nodes, in the order in which they were written.
    job_id : str
        The job.
    """
    mark = re.compile(rf"\bjob={re.escape(job_id)}\b").search
    held: list[str] = []
    is_begun = False
    for line in lines:
        if mark(line):
            yield from held
            held.clear()
            is_begun = True
            yield line
        elif is_begun:
            found = _event_of(line)
            if found is not None and found.group(1) in _CONTEXT_EVENTS:
                held.append(line)


def main() -> None:
    """Read the command line and print a story."""
    app = cyclopts.App(name="story", help="Print the story of one job from the logs of all nodes.")

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
            # The reader, such as `head`, has seen enough; nothing is left to flush at the end.
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())

    app()


if __name__ == "__main__":
    main()
