"""Writes events to standard output without blocking when the reader is slow."""

import os
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

from redwingplank.core import format_event

__all__ = ["JOBS", "REFUSALS", "USUAL", "EventLog", "LineLimits"]

MAX_WAITING_LINES = 2000
"""Lines kept while the reader does not read; further lines are dropped and counted."""
MAX_USUAL_WAITING_LINES = 1500
"""The same for usual lines; the other places are kept free for refusals."""
MAX_LINES_PER_EVENT = 60
"""Usual lines for each event name within one second; further events are only counted."""
MAX_REFUSALS_PER_EVENT = 250
"""The same for requests that were not accepted, which are looked for one by one."""
MAX_JOB_LINES_PER_EVENT = 250
"""The same for events that each node or owner writes once for a job."""
MAX_LINE_BYTES = 4000
"""Longer lines are cut."""
_CUT_MARK = b"...cut\n"


@dataclass(frozen=True, slots=True, eq=False)
class LineLimits:
    """Limits of one class of lines within one second.

    Attributes
    ----------
    prefix : str
        Stands before the event's name where lines that were left out are counted.
    lines_per_event, lines, size_bytes : int
        Most lines for each event name, and most lines and bytes in all.
    waiting_lines : int
        A line is dropped if so many lines wait for the reader.
    """

    prefix: str
    lines_per_event: int
    lines: int
    size_bytes: int
    waiting_lines: int


USUAL = LineLimits("", MAX_LINES_PER_EVENT, 1_500, 500_000, MAX_USUAL_WAITING_LINES)
REFUSALS = LineLimits("refused_", MAX_REFUSALS_PER_EVENT, 500, 300_000, MAX_WAITING_LINES)
"""Limits of their own, so that no number of other lines takes the place of a refusal."""
JOBS = LineLimits("job_", MAX_JOB_LINES_PER_EVENT, 1_000, 400_000, MAX_WAITING_LINES)
"""Limits of their own, so that the course of a job can be told in a burst."""


class _Use:
    """What the lines of a class have used within the present second."""

    def __init__(self, limits: LineLimits) -> None:
        self._limits = limits
        self._lines_by_event: Counter[str] = Counter()
        self._lines = 0
        self._size_bytes = 0

    def allows_line(self, event: str) -> bool:
        """Return whether a line of an event may be written, as far as its size is not looked at."""
        is_rare = self._lines_by_event[event] < self._limits.lines_per_event
        return is_rare and self._lines < self._limits.lines

    def take(self, event: str, size_bytes: int) -> bool:
        """Count a line, unless there is no place left for its bytes; return whether there is."""
        if self._size_bytes + size_bytes > self._limits.size_bytes:
            return False
        self._lines_by_event[event] += 1
        self._lines += 1
        self._size_bytes += size_bytes
        return True


class EventLog:
    """Writes one line of ``key=value`` pairs for each event, at a bounded rate.

    Parameters
    ----------
    node : str
        Name of this VM, written into each line.
    descriptor : int
        File descriptor that lines are written to; it is made non-blocking.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self._node = node
        self._descriptor = descriptor
        self._unwritten_lines: deque[bytes] = deque()
        self._second = 0
        self._use_by_limits: dict[LineLimits, _Use] = {}
        self._omitted_counts: Counter[str] = Counter()
        self.dropped = 0
        self.lines = 0
        os.set_blocking(descriptor, False)

    def write(
        self, now_s: float, event: str, fields: dict[str, Any], limits: LineLimits = USUAL
    ) -> None:
        """Write an event, or count it if a limit for this second has been reached.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        event : str
            Name of the event.
        fields : dict
            Inputs and outcome of the decision, by field name.
        limits : LineLimits
            Limits of the lines that it counts with.
        """
        second = int(now_s)
        if second != self._second:
            self._start_second(second, now_s)
        use = self._use_by_limits.get(limits)
        if use is None:
            use = self._use_by_limits[limits] = _Use(limits)
        if use.allows_line(event):
            line = self._format(now_s, event, fields)
            if use.take(event, len(line)):
                self._append(line, limits.waiting_lines)
                return
        self._omitted_counts[limits.prefix + event] += 1

    def _start_second(self, second: int, now_s: float) -> None:
        self._second = second
        self._use_by_limits.clear()
        if not self._omitted_counts and not self.dropped:
            return
        fields = {f"n_{name}": count for name, count in self._omitted_counts.items()}
        self._omitted_counts.clear()
        if self.dropped:
            fields["n_lines_lost"] = self.dropped
            self.dropped = 0
        self._append(self._format(now_s, "events_left_out", fields), MAX_USUAL_WAITING_LINES)

    def _format(self, now_s: float, event: str, fields: dict[str, Any]) -> bytes:
        text = f"t={now_s:.3f} node={self._node} {format_event(event, fields)}\n"
        line = text.encode()
        if len(line) <= MAX_LINE_BYTES:
            return line
        kept = line[: MAX_LINE_BYTES - len(_CUT_MARK)]
        return kept.decode(errors="ignore").encode() + _CUT_MARK

    def _append(self, line: bytes, waiting_lines: int) -> None:
        if len(self._unwritten_lines) >= waiting_lines:
            self.dropped += 1
            return
        self._unwritten_lines.append(line)
        self.lines += 1
        self.flush()

    def flush(self) -> None:
        """Write as many waiting lines as the descriptor accepts without blocking."""
        while self._unwritten_lines:
            line = self._unwritten_lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the waiting lines can reach nobody.
                self.dropped += len(self._unwritten_lines)
                self._unwritten_lines.clear()
                return
            if written < len(line):
                self._unwritten_lines[0] = line[written:]
                return
            self._unwritten_lines.popleft()
