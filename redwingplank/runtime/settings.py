"""Settings of the scheduler process."""

from dataclasses import dataclass, field, replace

from redwingplank.scheduling.journal_values import JournalSettings
from redwingplank.scheduling.ownership import LeaseSettings
from redwingplank.scheduling.recovery import RecoverySettings

__all__ = ["SchedulerProcessSettings"]


@dataclass(frozen=True, slots=True)
class SchedulerProcessSettings:
    """Settings of one scheduler process.

    Parameters
    ----------
    address : str
        ``"IP:PORT"`` where the process listens for calls; it also identifies the process to others.
    failure_domain : str
        Failure domain of the process, which is a candidate for every shard of this domain.
    shard_count : int
        Number of shards of the domain.
    seed : int
        Seed of every random choice.
    peer_addresses : tuple of str
        Addresses of the other candidates of the domain, which are asked to take over at a planned
        stop.
    lease, journal : LeaseSettings, JournalSettings
        Durations and limits of the ownership lease and of the journal.
    task_lease_s, renew_every_s : float
        Duration of a task's lease at a worker and the interval of its renewals, in seconds.
    clock_margin_s : float
        Upper bound, in seconds, of the difference between two wall clocks and of the delay between
        a check and the use of its result.
    workers_know_epochs, workers_have_inventory : bool
        Whether the platform's workers check epochs, and whether they return an inventory.
    worker_timeout_s : float
        Time-out of one call to a worker, in seconds.
    tick_every_s : float
        Minimum seconds between two ticks of a busy shard.
    idle_tick_s : float
        Maximum seconds between two ticks, which is the interval of an idle shard.
    list_poll_every_s : float
        Seconds between two reads of the platform's list of VMs.
    adopt_retry_s : float
        Seconds between two attempts to adopt a worker that does not answer.
    stop_within_s : float
        Seconds that a graceful stop waits for callers and for the journal.
    unjoined_degraded_bound_s : float
        Replaces the lease's degraded bound, if it is shorter, where workers do not check epochs or
        return no inventory: a new owner then starts nothing before this bound is over.
    """

    address: str
    failure_domain: str
    shard_count: int = 1
    seed: int = 0
    peer_addresses: tuple[str, ...] = ()
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    journal: JournalSettings = field(default_factory=JournalSettings)
    task_lease_s: float = 15.0
    renew_every_s: float = 5.0
    clock_margin_s: float = 0.1
    workers_know_epochs: bool = True
    workers_have_inventory: bool = True
    worker_timeout_s: float = 1.0
    tick_every_s: float = 0.02
    idle_tick_s: float = 0.25
    list_poll_every_s: float = 2.0
    adopt_retry_s: float = 1.0
    stop_within_s: float = 5.0
    unjoined_degraded_bound_s: float = 30.0

    @property
    def is_adoption_conclusive(self) -> bool:
        """Whether an adoption confirms which tasks run on a worker and which do not."""
        return self.workers_know_epochs and self.workers_have_inventory

    def effective_lease(self) -> LeaseSettings:
        """Return the lease settings, with the degraded bound limited to what the workers allow."""
        if self.is_adoption_conclusive:
            return self.lease
        bound_s = min(self.lease.degraded_bound_s, self.unjoined_degraded_bound_s)
        return replace(self.lease, degraded_bound_s=bound_s)

    def recovery_settings(self) -> RecoverySettings:
        """Return the durations and guarantees on which a new owner's recovery relies."""
        return RecoverySettings(
            lease_ttl_s=self.lease.ttl_s,
            task_lease_s=self.task_lease_s,
            degraded_bound_s=self.effective_lease().degraded_bound_s,
            clock_margin_s=self.clock_margin_s,
            clock_rate_error=self.lease.clock_rate_error,
            workers_know_epochs=self.workers_know_epochs,
        )
