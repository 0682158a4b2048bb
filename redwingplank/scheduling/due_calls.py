"""Timer queue of the scheduler."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["DueCalls"]


class DueCalls:
    """Heap of calls by due time; calls with equal due times run in order of registration."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._registration_numbers = count()

    def call_at(self, due_s: float, call: Callable[[float], None]) -> None:
        """Run ``call(now_s)`` in the first `run_due` at or after `due_s`."""
        heappush(self._heap, (due_s, next(self._registration_numbers), call))

    def run_due(self, now_s: float) -> int:
        """Run every call that is due and return their number."""
        call_count = 0
        while self._heap and self._heap[0][0] <= now_s:
            heappop(self._heap)[2](now_s)
            call_count += 1
        return call_count
