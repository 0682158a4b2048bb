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
        ``"IP:PORT"`` where it listens for calls, and by which it is known to others.
    failure_domain : str
        Where it stands; it is a candidate for every shard of this domain.
    shard_count : int
        Shards of the domain.
    seed : int
        Of every random choice.
    peer_addresses : tuple of str
        Other candidates of the domain, asked to take over at a planned stop.
    lease, journal : LeaseSettings, JournalSettings
        Times and bounds of the lease and of the journal.
    task_lease_s, renew_every_s : float
        Length of a task's lease at a worker and the interval of its renewals.
    clock_margin_s : float
        Largest difference between two wall clocks, and delay between check and use.
    workers_know_epochs, workers_have_inventory : bool
        What the platform's workers can do.
    store_timeout_s, worker_timeout_s : float
        Bounds of one call.
    tick_every_s : float
        Least time between two ticks of a busy shard.
    idle_tick_s : float
        Longest time between two ticks.
    list_poll_every_s : float
        Interval of reads of the platform's list.
    adopt_retry_s : float
        Interval of attempts to adopt a worker that does not answer.
    stop_within_s : float
        Bound of a graceful stop.
    unjoined_degraded_bound_s : float
        Takes the place of the lease's degraded bound where workers know no epochs or give no
        inventory: a new owner then starts nothing before it is over.
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
    store_timeout_s: float = 1.0
    worker_timeout_s: float = 1.0
    tick_every_s: float = 0.02
    idle_tick_s: float = 0.25
    list_poll_every_s: float = 2.0
    adopt_retry_s: float = 1.0
    stop_within_s: float = 5.0
    unjoined_degraded_bound_s: float = 30.0

    @property
    def is_adoption_conclusive(self) -> bool:
        """Whether an adoption proves what runs and what does not."""
        return self.workers_know_epochs and self.workers_have_inventory

    def effective_lease(self) -> LeaseSettings:
        """Return the lease's times, as far as the workers allow them."""
        if self.is_adoption_conclusive:
            return self.lease
        bound_s = min(self.lease.degraded_bound_s, self.unjoined_degraded_bound_s)
        return replace(self.lease, degraded_bound_s=bound_s)

    def recovery_settings(self) -> RecoverySettings:
        """Return what a new owner may count on."""
        return RecoverySettings(
            lease_ttl_s=self.lease.ttl_s,
            task_lease_s=self.task_lease_s,
            degraded_bound_s=self.effective_lease().degraded_bound_s,
            clock_margin_s=self.clock_margin_s,
            clock_rate_error=self.lease.clock_rate_error,
            workers_know_epochs=self.workers_know_epochs,
        )
