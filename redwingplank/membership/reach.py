"""Tracks whether the services of the platform, its store and VM list, can be reached."""

from dataclasses import dataclass

__all__ = ["Reachability"]

CUT_OFF_AFTER_S = 6.0
"""Seconds without a successful call after which a failing service counts as cut off."""


@dataclass(slots=True)
class _Service:
    reached_at_s: float
    failed_at_s: float = float("-inf")
    called_at_s: float = float("-inf")
    is_reported_cut_off: bool = False


class Reachability:
    """Times of the successful and the failed calls to each service, by its name.

    Parameters
    ----------
    now_s : float
        Present time; failing calls make a service count as cut off no earlier than
        `CUT_OFF_AFTER_S` after it.
    """

    def __init__(self, now_s: float) -> None:
        self._started_at_s = now_s
        self._services_by_name: dict[str, _Service] = {}

    def record_call(self, name: str, now_s: float, is_reached: bool) -> None:
        """Record the outcome of a call of this node."""
        service = self._find(name)
        service.called_at_s = now_s
        if is_reached:
            service.reached_at_s = now_s
        else:
            service.failed_at_s = now_s

    def record_peer_report(self, name: str, now_s: float, is_reached: bool) -> None:
        """Record the report of a peer, which counts only while this node makes no calls itself."""
        service = self._find(name)
        service.is_reported_cut_off = not is_reached
        if is_reached and now_s - service.called_at_s > CUT_OFF_AFTER_S:
            service.reached_at_s = now_s

    def cut_off(self, now_s: float) -> tuple[str, ...]:
        """Return the names of the services that count as cut off."""
        return tuple(
            name
            for name, service in self._services_by_name.items()
            if self._is_cut_off(now_s, service)
        )

    def _find(self, name: str) -> _Service:
        return self._services_by_name.setdefault(name, _Service(self._started_at_s))

    def _is_cut_off(self, now_s: float, service: _Service) -> bool:
        if now_s - service.called_at_s > CUT_OFF_AFTER_S and service.is_reported_cut_off:
            return True
        is_failing = service.failed_at_s > service.reached_at_s
        return is_failing and now_s - service.reached_at_s > CUT_OFF_AFTER_S
