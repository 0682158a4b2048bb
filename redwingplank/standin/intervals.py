"""When and where each attempt ran, worked out from a history."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby
from math import inf

from redwingplank.core import NO_RESOURCES, Resources
from redwingplank.standin.history import HistoryEvent, HistoryEventKind

__all__ = ["Interval", "Usage", "find_intervals", "usage_steps"]

_ENDS = {
    HistoryEventKind.TASK_ENDED: HistoryEventKind.TASK_STARTED,
    HistoryEventKind.REQUEST_ENDED: HistoryEventKind.REQUEST_STARTED,
}


@dataclass(frozen=True, slots=True)
class Interval:
    """One attempt of a task, or one run of a request, on one VM.

    Parameters
    ----------
    started : HistoryEvent
        Its start.
    ended_at_s : float
        Its end, infinity for one that still runs.
    line : int
        Position of the start in the history, from 1.
    """

    started: HistoryEvent
    ended_at_s: float
    line: int

    def overlaps(self, other: "Interval") -> bool:
        """Return whether both run at some moment; touching ends do not count."""
        return self.started.time_s < other.ended_at_s and other.started.time_s < self.ended_at_s


@dataclass(frozen=True, slots=True)
class Usage:
    """What runs on one VM from a moment on."""

    time_s: float
    amount: Resources
    count: int
    line: int


def find_intervals(
    events: Iterable[HistoryEvent], start_kind: HistoryEventKind
) -> tuple[Interval, ...]:
    """Return the intervals that begin with events of `start_kind`, in the order of their start."""
    open_by_run: dict[tuple[str, str, int], list[tuple[int, HistoryEvent]]] = {}
    intervals = []
    for line, event in enumerate(events, start=1):
        run = (event.vm, event.subject, event.attempt)
        if event.kind is start_kind:
            open_by_run.setdefault(run, []).append((line, event))
        elif _ENDS.get(event.kind) is start_kind and open_by_run.get(run):
            started_line, started = open_by_run[run].pop(0)
            intervals.append(Interval(started, event.time_s, started_line))
    for still_open in open_by_run.values():
        intervals.extend(Interval(started, inf, line) for line, started in still_open)
    return tuple(sorted(intervals, key=lambda interval: interval.line))


def usage_steps(intervals: Iterable[Interval]) -> Iterator[Usage]:
    """Yield what runs after each moment at which one of the intervals of one VM begins or ends."""
    steps = []
    for interval in intervals:
        steps.append((interval.started.time_s, 1, interval))
        steps.append((interval.ended_at_s, -1, interval))
    amount, count = NO_RESOURCES, 0
    for time_s, group in groupby(sorted(steps, key=lambda step: step[0]), key=lambda step: step[0]):
        last_line = 0
        for _, sign, interval in group:
            count += sign
            reserved = interval.started.amount
            amount = amount + reserved if sign > 0 else amount - reserved
            last_line = max(last_line, interval.line)
        yield Usage(time_s, amount, count, last_line)
