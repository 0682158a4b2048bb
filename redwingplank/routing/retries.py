"""Budget that limits how many requests are retried."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that first attempts fill and later attempts drain.

    Parameters
    ----------
    ratio : float
        Tokens that each first attempt adds.
    burst : float
        Capacity of the bucket in tokens; it starts full.

    Notes
    -----
    Retries are limited to a fraction of the first attempts, so that an outage of the upstreams
    does not multiply their load.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_first_attempt(self) -> None:
        """Count a first attempt, which adds `ratio` tokens."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire_token(self) -> bool:
        """Consume one token for another attempt; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
