"""Sets of the occurrences of a job, held as ranges."""

from bisect import bisect_right
from collections.abc import Iterable

__all__ = ["OccurrenceRanges"]


class OccurrenceRanges:
    """A set of occurrences that takes as much room as it has gaps.

    Parameters
    ----------
    ranges : iterable of tuple of int
        First and last occurrences of ascending ranges with gaps between them.
    """

    __slots__ = ("_ranges",)

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._ranges = list(ranges)

    def __contains__(self, occurrence: int) -> bool:
        position = self._find(occurrence)
        return position >= 0 and occurrence <= self._ranges[position][1]

    def _find(self, occurrence: int) -> int:
        """Return the position of the last range that begins no later, -1 if there is none."""
        return bisect_right(self._ranges, (occurrence, float("inf"))) - 1

    def add(self, occurrence: int) -> None:
        """Add an occurrence; one that is contained is ignored."""
        if occurrence in self:
            return
        position = self._find(occurrence)
        first = last = occurrence
        if position + 1 < len(self._ranges) and self._ranges[position + 1][0] == occurrence + 1:
            last = self._ranges.pop(position + 1)[1]
        if position >= 0 and self._ranges[position][1] == occurrence - 1:
            first = self._ranges.pop(position)[0]
            position -= 1
        self._ranges.insert(position + 1, (first, last))

    def to_list(self) -> list[tuple[int, int]]:
        """Return the first and last occurrences of the ranges, in ascending order."""
        return list(self._ranges)
