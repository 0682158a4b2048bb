"""Writes events to standard output without blocking when the reader is slow."""

import os
from collections import Counter, deque
from typing import Any

from redwingplank.core import format_event

__all__ = ["EventLog"]

MAX_WAITING_LINES = 2000
"""Lines kept while the reader does not read; further lines are dropped and counted."""
MAX_LINES_PER_EVENT = 60
"""Lines for each event name within one second; further events are only counted."""


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
        self._counts: Counter[str] = Counter()
        self._omitted_counts: Counter[str] = Counter()
        self.dropped = 0
        self.lines = 0
        os.set_blocking(descriptor, False)

    def write(self, now_s: float, event: str, fields: dict[str, Any]) -> None:
        """Write an event, or count it if its name has reached the limit for this second.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        event : str
            Name of the event.
        fields : dict
            Inputs and outcome of the decision, by field name.
        """
        second = int(now_s)
        if second != self._second:
            self._start_second(second, now_s)
        self._counts[event] += 1
        if self._counts[event] > MAX_LINES_PER_EVENT:
            self._omitted_counts[event] += 1
            return
        self._append(now_s, event, fields)

    def _start_second(self, second: int, now_s: float) -> None:
        self._second = second
        self._counts.clear()
        if not self._omitted_counts and not self.dropped:
            return
        fields = {f"n_{name}": count for name, count in self._omitted_counts.items()}
        self._omitted_counts.clear()
        if self.dropped:
            fields["n_lines_lost"] = self.dropped
            self.dropped = 0
        self._append(now_s, "events_left_out", fields)

    def _append(self, now_s: float, event: str, fields: dict[str, Any]) -> None:
        if len(self._unwritten_lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = f"t={now_s:.3f} node={self._node} {format_event(event, fields)}\n"
        self._unwritten_lines.append(line.encode())
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
