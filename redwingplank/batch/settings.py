"""Settings of the scheduling decisions."""

from dataclasses import dataclass

__all__ = ["BatchSettings"]

COMMAND_MARGIN_S = 1.5
"""The owner stops sending commands this long before the next owner may rely on it, so that commands
under way have ended by then."""


PROOF_AGE_S = 0.5
"""Time since the last proof of the ownership that is usual at most."""


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Settings of the scheduling decisions; times are in seconds.

    Parameters
    ----------
    lease_s : float
        Duration of the lease that each poll and each start command grants to a worker.
    lease_limit_s : float
        Longest lease that a worker accepts.
    proof_lease_s : float
        No lease lasts for longer than this after the last proof of its owner's ownership, so that
        the next owner knows when all of them have expired. All versions of owners that name
        themselves in one series have to agree on it.
    remote_factor : float
        Factor on the run time of a task that runs in another rack than its data.
    max_clock_drift : float
        Largest fraction by which a worker's clock may run slow, as stated by the platform.
    lease_margin_s : float
        Safety margin after the end of a lease before it counts as expired.
    owner_silence_s : float
        How long commands of an owner that cannot reach the store may still arrive after it last
        proved its ownership.
    call_lateness_s : float
        Longest time after which a worker may carry out a call that it did not answer.
    listing_delay_s : float
        Time after its start within which a worker is listed, as stated by the platform.
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
    record_bytes : int
        Largest size in bytes of a value that the store takes, and of the records of one write.
    ticket_margin_s : float
        A ticket with less remaining validity than this is not used.
    """

    lease_s: float = 6.0
    lease_limit_s: float = 6.0
    proof_lease_s: float = 7.0
    remote_factor: float = 2.0
    max_clock_drift: float = 0.02
    lease_margin_s: float = 0.25
    owner_silence_s: float = 5.0
    call_lateness_s: float = 12.0
    listing_delay_s: float = 2.0
    stop_retry_s: float = 0.25
    failures_to_avoid: int = 2
    avoid_s: float = 1.5
    avoid_limit_s: float = 12.0
    stall_s: float = 2.5
    state_kept_s: float = 120.0
    ticket_margin_s: float = 0.12
    record_bytes: int = 1_048_576

    @property
    def command_silence_s(self) -> float:
        """How long an owner still sends commands after it last proved its ownership."""
        return self.owner_silence_s - COMMAND_MARGIN_S

    @property
    def bounded_wait_s(self) -> float:
        """Time after a change of owners after which all leases granted before have expired."""
        return self._longest_s(self.proof_lease_s) + self.lease_margin_s

    @property
    def unbounded_wait_s(self) -> float:
        """The same if earlier owners may have granted the longest lease with any command.

        It is also the wait of a next owner that sees a restart, unless a host is marked.
        """
        return self.owner_silence_s + self._longest_s(self.lease_limit_s) + self.lease_margin_s

    @property
    def restarted_wait_s(self) -> float:
        """Time after the restart of a worker after which its process has no run that nobody knows.

        The process carries out a call to the one before it, however late that comes, and takes its
        lease, which ends on the former clock, for the longest one.
        """
        return self.call_lateness_s + self._longest_s(self.lease_limit_s) + self.lease_margin_s

    @property
    def unexpected_lease_s(self) -> float:
        """Time for which a lease that a process took by itself outlasts what a next owner expects.

        Nothing starts on the worker meanwhile, lest the run outlast the wait of that owner.
        """
        excess_s = self.lease_limit_s - self.proof_lease_s
        return max(0.0, self._longest_s(excess_s) + PROOF_AGE_S) if excess_s > 0 else 0.0

    def _longest_s(self, lease_s: float) -> float:
        """Return how long a lease lasts at most, as the clocks of workers may be slow."""
        return lease_s / (1 - self.max_clock_drift)
