"""The upstreams of one service in one failure domain, ordered by speed."""

from bisect import bisect_right

from redwingplank.routing.upstream_rows import UpstreamRow

__all__ = ["UpstreamPool"]

REFRESH_INTERVAL_S = 0.05


class UpstreamPool:
    """Rows ordered by speed, with a bit mask of those that have a free slot.

    Parameters
    ----------
    slow_start_s : float
        Duration of the slow start in seconds, from `RouterSettings`.

    Notes
    -----
    Bit ``n`` of the mask stands for the row at position ``n``, the fastest being 0. A decision
    therefore reads only the free rows, however many rows there are. Changes without an event of
    their own (the end of a block, slow start, learnt speed) take effect at `refresh`, at most
    `REFRESH_INTERVAL_S` late when a decision is made.
    """

    def __init__(self, slow_start_s: float) -> None:
        self.rows: list[UpstreamRow] = []
        self.speed = 0.0
        self._slow_start_s = slow_start_s
        self._refreshed_at_s = float("-inf")
        self._free_mask = 0
        self._speeds_before: list[float] = []
        self._slownesses: list[float] = []

    def add(self, row: UpstreamRow) -> None:
        """Add a row, which is used after the next refresh."""
        self.rows.append(row)

    def is_due(self, now_s: float) -> bool:
        """Return whether the last refresh is at least `REFRESH_INTERVAL_S` ago."""
        return now_s - self._refreshed_at_s >= REFRESH_INTERVAL_S

    def refresh(self, now_s: float) -> None:
        """Sort the rows by learnt speed and recompute how many requests each may have."""
        self._refreshed_at_s = now_s
        self.rows.sort(key=_slowness_of)
        self._slownesses = [row.slowness for row in self.rows]
        self._speeds_before = []
        self._free_mask = 0
        speed = 0.0
        for position, row in enumerate(self.rows):
            row.position = position
            row.usable = row.limit(now_s, self._slow_start_s)
            self._speeds_before.append(speed)
            speed += row.usable / row.slowness
            if row.in_flight < row.usable:
                self._free_mask |= 1 << position
        self.speed = speed

    def update_row(self, row: UpstreamRow) -> None:
        """Update the mask after a change of a row's requests in flight."""
        bit = 1 << row.position
        if row.position >= len(self.rows) or self.rows[row.position] is not row:
            return
        if row.in_flight < row.usable:
            self._free_mask |= bit
        else:
            self._free_mask &= ~bit

    def has_free(self) -> bool:
        """Return whether any row has a free slot."""
        return self._free_mask != 0

    def free_rows(self, excluded: frozenset[str]) -> list[UpstreamRow]:
        """Return all free rows, fastest first."""
        return self.fastest_free(len(self.rows), excluded)

    def fastest_free(self, count: int, excluded: frozenset[str]) -> list[UpstreamRow]:
        """Return the fastest free rows, at most `count`."""
        found: list[UpstreamRow] = []
        mask = self._free_mask
        while mask and len(found) < count:
            lowest = mask & -mask
            row = self.rows[lowest.bit_length() - 1]
            if row.name not in excluded:
                found.append(row)
            mask ^= lowest
        return found

    def slowest_free(self, max_slowness: float, excluded: frozenset[str]) -> UpstreamRow | None:
        """Return the slowest free row up to a slowness, the fastest free row if there is none."""
        end = bisect_right(self._slownesses, max_slowness)
        mask = self._free_mask & ((1 << end) - 1)
        while mask:
            position = mask.bit_length() - 1
            if self.rows[position].name not in excluded:
                return self.rows[position]
            mask ^= 1 << position
        fastest = self.fastest_free(1, excluded)
        return fastest[0] if fastest else None

    def speed_before(self, row: UpstreamRow) -> float:
        """Return the sum over all faster rows of usable slots divided by slowness."""
        return self._speeds_before[row.position]

    def usable_after_s(self, now_s: float) -> float:
        """Return the seconds until the first upstream accepts requests again, or infinity."""
        if self.speed:
            return 0.0
        return min(
            (max(0.0, row.blocked_until_s - now_s) for row in self.rows if not row.is_leaving),
            default=float("inf"),
        )


def _slowness_of(row: UpstreamRow) -> float:
    return row.slowness
