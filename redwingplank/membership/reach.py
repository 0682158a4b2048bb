"""Whether the platform's services were reached lately."""

from dataclasses import dataclass

__all__ = ["Reach"]

CUT_OFF_AFTER_S = 6.0


@dataclass(slots=True)
class _Service:
    reached_at_s: float
    failed_at_s: float = float("-inf")
    called_at_s: float = float("-inf")
    is_told_cut_off: bool = False


class Reach:
    """When each service was reached and when it failed, by name.

    Parameters
    ----------
    now_s : float
        Present time; a service counts as cut off only some time after it.
    """

    def __init__(self, now_s: float) -> None:
        self._started_at_s = now_s
        self._services_by_name: dict[str, _Service] = {}

    def note(self, name: str, now_s: float, is_reached: bool) -> None:
        """Take the outcome of an own call."""
        service = self._find(name)
        service.called_at_s = now_s
        if is_reached:
            service.reached_at_s = now_s
        else:
            service.failed_at_s = now_s

    def note_told(self, name: str, now_s: float, is_reached: bool) -> None:
        """Take another node's word, which counts while this node makes no calls itself."""
        service = self._find(name)
        service.is_told_cut_off = not is_reached
        if is_reached and now_s - service.called_at_s > CUT_OFF_AFTER_S:
            service.reached_at_s = now_s

    def cut_off(self, now_s: float) -> tuple[str, ...]:
        """Return the services that have not been reached for a while."""
        return tuple(
            name
            for name, service in self._services_by_name.items()
            if self._is_cut_off(now_s, service)
        )

    def _find(self, name: str) -> _Service:
        return self._services_by_name.setdefault(name, _Service(self._started_at_s))

    def _is_cut_off(self, now_s: float, service: _Service) -> bool:
        if now_s - service.called_at_s > CUT_OFF_AFTER_S and service.is_told_cut_off:
            return True
        is_failing = service.failed_at_s > service.reached_at_s
        return is_failing and now_s - service.reached_at_s > CUT_OFF_AFTER_S
