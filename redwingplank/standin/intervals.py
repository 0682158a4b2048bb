"""Computes from a history when and where each attempt ran."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby
from math import inf

from redwingplank.core import NO_RESOURCES, Resources
from redwingplank.standin.history import HistoryEvent, HistoryEventKind

__all__ = ["Interval", "Usage", "find_intervals", "usage_steps"]

_START_KIND_BY_END_KIND = {
    HistoryEventKind.TASK_ENDED: HistoryEventKind.TASK_STARTED,
    HistoryEventKind.REQUEST_ENDED: HistoryEventKind.REQUEST_STARTED,
}


@dataclass(frozen=True, slots=True)
class Interval:
    """One attempt of a task, or one run of a request, on one VM.

    Parameters
    ----------
    started : HistoryEvent
        Event of the start.
    ended_at_s : float
        Time of the end in seconds; infinity if it has not ended.
    line : int
        Position of the start in the history, from 1.
    """

    started: HistoryEvent
    ended_at_s: float
    line: int

    def overlaps(self, other: "Interval") -> bool:
        """Return whether both run at the same time; one may start when the other ends."""
        return self.started.time_s < other.ended_at_s and other.started.time_s < self.ended_at_s


@dataclass(frozen=True, slots=True)
class Usage:
    """Total usage of one VM from `time_s` until the next change."""

    time_s: float
    amount: Resources
    count: int
    line: int


def find_intervals(
    events: Iterable[HistoryEvent], start_kind: HistoryEventKind
) -> tuple[Interval, ...]:
    """Return the intervals that begin with events of `start_kind`, in the order of the history."""
    unfinished_by_run: dict[tuple[str, str, int], list[tuple[int, HistoryEvent]]] = {}
    intervals = []
    for line, event in enumerate(events, start=1):
        run = (event.vm, event.subject, event.attempt)
        if event.kind is start_kind:
            unfinished_by_run.setdefault(run, []).append((line, event))
        elif _START_KIND_BY_END_KIND.get(event.kind) is start_kind and unfinished_by_run.get(run):
            started_line, started = unfinished_by_run[run].pop(0)
            intervals.append(Interval(started, event.time_s, started_line))
    for unfinished in unfinished_by_run.values():
        intervals.extend(Interval(started, inf, line) for line, started in unfinished)
    return tuple(sorted(intervals, key=lambda interval: interval.line))


def usage_steps(intervals: Iterable[Interval]) -> Iterator[Usage]:
    """Yield the usage after each time at which intervals of one VM begin or end."""
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
