"""Settings of the decisions about jobs."""

from dataclasses import dataclass

__all__ = ["BatchSettings"]


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Times in seconds.

    Parameters
    ----------
    lease_s : float
        Lease that a worker's runs are given.
    lease_limit_s : float
        Longest lease that workers grant to any owner.
    remote_factor : float
        How many times as long a task takes away from its data.
    slow_clock : float
        Share by which a worker's clock may be slow (stated by the platform).
    lease_margin_s : float
        Added before a lease counts as over.
    owner_silence_s : float
        How long an owner that lost the store may still renew leases after its last renewal.
    stop_retry_s : float
        Time between orders to stop one run.
    failures_to_avoid : int
        Failures in a row after which a worker is avoided.
    avoid_s : float
        How long it is avoided at first; doubles with each further failure up to `avoid_limit_s`.
    stall_s : float
        A run without progress for this long, and past its time, is stopped.
    state_kept_s : float
        How long the state of an ended job is told.
    ticket_margin_s : float
        A ticket is not used this close to its end.
    """

    lease_s: float = 6.0
    lease_limit_s: float = 6.0
    remote_factor: float = 2.0
    max_clock_drift: float = 0.02
    lease_margin_s: float = 0.25
    owner_silence_s: float = 5.0
    stop_retry_s: float = 0.25
    failures_to_avoid: int = 2
    avoid_s: float = 1.5
    avoid_limit_s: float = 12.0
    stall_s: float = 2.5
    state_kept_s: float = 120.0
    ticket_margin_s: float = 0.12
