"""Writes decisions to standard output without ever waiting for the reader."""

import os
from collections import Counter, deque
from typing import Any

from redwingplank.core import format_event

__all__ = ["EventLog"]

MAX_WAITING_LINES = 2000
MAX_LINES_PER_EVENT = 60
"""Lines of one kind of event in each second; the rest are counted and left out."""


class EventLog:
    """One line of ``key=value`` pairs for each event, at a bounded rate.

    Parameters
    ----------
    node : str
        Name of this VM; part of each line.
    descriptor : int
        Where lines go.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self._node = node
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self.dropped = 0
        self.lines = 0
        os.set_blocking(descriptor, False)

    def write(self, now_s: float, event: str, fields: dict[str, Any]) -> None:
        """Write an event, or count it as left out.

        Parameters
        ----------
        now_s : float
            The present time.
        event : str
            What happened.
        fields : dict
            The inputs that decided, and the outcome.
        """
        second = int(now_s)
        if second != self._second:
            self._start_second(second, now_s)
        self._counts[event] += 1
        if self._counts[event] > MAX_LINES_PER_EVENT:
            self._left_out[event] += 1
            return
        self._append(now_s, event, fields)

    def _start_second(self, second: int, now_s: float) -> None:
        self._second = second
        self._counts.clear()
        if not self._left_out and not self.dropped:
            return
        fields = {f"n_{name}": count for name, count in self._left_out.items()}
        self._left_out.clear()
        if self.dropped:
            fields["n_lines_lost"] = self.dropped
            self.dropped = 0
        self._append(now_s, "events_left_out", fields)

    def _append(self, now_s: float, event: str, fields: dict[str, Any]) -> None:
        if len(self._waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = f"t={now_s:.3f} node={self._node} {format_event(event, fields)}\n"
        self._waiting.append(line.encode())
        self.lines += 1
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: nobody is left to tell.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
