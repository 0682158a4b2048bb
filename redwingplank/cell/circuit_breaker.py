"""Circuit breakers: after a failure, calls are skipped for a while, and then one call probes."""

from dataclasses import dataclass

__all__ = ["CircuitBreaker"]


@dataclass(slots=True)
class CircuitBreaker:
    """Whether calls to a target are worth making, from the outcomes of earlier ones.

    Parameters
    ----------
    open_s : float
        Time after a failure in seconds for which calls are skipped. The first call after it is a
        probe, and the others are skipped until its outcome is known.

    Notes
    -----
    Each call that `allow` permits has to be followed by `record_success` or `record_failure`.
    """

    open_s: float
    _open_until_s: float | None = None
    _is_probing: bool = False

    def allow(self, now_s: float) -> bool:
        """Return whether a call may be made now."""
        if self._open_until_s is None:
            return True
        if self._is_probing or now_s < self._open_until_s:
            return False
        self._is_probing = True
        return True

    def record_success(self) -> None:
        """Record that a call succeeded: further ones are made."""
        self._open_until_s = None
        self._is_probing = False

    def record_failure(self, now_s: float) -> None:
        """Record that a call failed: further ones are skipped for `open_s`."""
        self._open_until_s = now_s + self.open_s
        self._is_probing = False
