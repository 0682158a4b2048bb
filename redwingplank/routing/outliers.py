"""Ejection of upstreams that keep failing, up to a maximum fraction of a pool."""

from redwingplank.routing.pools import UpstreamPool
from redwingplank.routing.settings import RouterSettings
from redwingplank.routing.upstream_rows import UpstreamRow

__all__ = ["OutlierDetector"]


class OutlierDetector:
    """Ejects an upstream after consecutive failures, each time for twice as long, up to a maximum.

    Parameters
    ----------
    settings : RouterSettings
        Number of failures, durations and the maximum fraction of ejected upstreams.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings

    def record_success(self, now_s: float, row: UpstreamRow) -> None:
        """Record a complete answer of an upstream, which resets its consecutive failures."""
        row.failures = 0
        if row.is_ejected and now_s >= row.blocked_until_s:
            row.is_ejected = False
        if row.ejections and now_s - row.returned_at_s > self._settings.max_eject_s:
            row.ejections = 0

    def record_failure(self, now_s: float, row: UpstreamRow, pool: UpstreamPool) -> bool:
        """Record a failure and return whether the upstream was ejected for it."""
        row.failures += 1
        if row.failures < self._settings.eject_failures:
            return False
        if not self._may_eject(now_s, row, pool):
            return False
        duration_s = self._settings.eject_s * 2.0**row.ejections
        row.block(now_s + min(duration_s, self._settings.max_eject_s))
        pool.refresh(now_s)
        row.is_ejected = True
        row.ejections += 1
        row.failures = 0
        return True

    def _may_eject(self, now_s: float, row: UpstreamRow, pool: UpstreamPool) -> bool:
        present = [other for other in pool.rows if not other.is_leaving]
        ejected = sum(1 for other in present if other.is_ejected and now_s < other.blocked_until_s)
        allowed = int(len(present) * self._settings.max_ejected_fraction)
        return ejected + 1 <= allowed
