"""The budget that bounds how many requests are sent a second time."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket that first attempts fill and further attempts drain.

    Parameters
    ----------
    ratio : float
        Tokens that each first attempt adds.
    burst : float
        Most tokens that are kept, and how many there are at the start.

    Notes
    -----
    Retries are bounded by a share of the first attempts, so that an outage of the upstreams does
    not multiply their load.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire_token(self) -> bool:
        """Take a token for another attempt, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
