"""Calls that become due at a time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["DueCalls"]


class DueCalls:
    """A heap of calls by due time; equal times run in the order of registration."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._ticket = count()

    def call_at(self, due_s: float, call: Callable[[float], None]) -> None:
        """Run ``call(now_s)`` in the first tick at or after `due_s`."""
        heappush(self._heap, (due_s, next(self._ticket), call))

    def run_due(self, now_s: float) -> int:
        """Run every call that is due and return how many there were."""
        ran = 0
        while self._heap and self._heap[0][0] <= now_s:
            heappop(self._heap)[2](now_s)
            ran += 1
        return ran
