"""Settings of the scheduling decisions."""

from dataclasses import dataclass

__all__ = ["BatchSettings"]


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Settings of the scheduling decisions; times are in seconds.

    Parameters
    ----------
    lease_s : float
        Duration of the lease that each poll and each start command grants to a worker.
    lease_limit_s : float
        Longest lease that any owner may have granted to a worker.
    remote_factor : float
        Factor on the run time of a task that runs in another rack than its data.
    max_clock_drift : float
        Largest fraction by which a worker's clock may run slow, as stated by the platform.
    lease_margin_s : float
        Safety margin after the end of a lease before it counts as expired.
    owner_silence_s : float
        How long an owner that cannot reach the store may still renew workers' leases after it last
        proved its ownership.
    stop_retry_s : float
        Time after which an unconfirmed stop command is repeated.
    failures_to_avoid : int
        Number of consecutive failures after which a worker is avoided.
    avoid_s : float
        How long a worker is avoided at first. The time doubles with each further failure, up to
        `avoid_limit_s`.
    stall_s : float
        A run that is overdue and has made no progress for this long is stopped.
    state_kept_s : float
        How long the state of an ended job can still be queried.
    ticket_margin_s : float
        A ticket with less remaining validity than this is not used.
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
