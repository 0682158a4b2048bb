"""Settings of a shard's scheduling core."""

from dataclasses import dataclass

__all__ = ["SchedulerSettings"]


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of one shard's scheduler; all durations are in seconds.

    Parameters
    ----------
    shard : str
        Name of the shard.
    shard_index, shard_count : int
        Index of the shard and number of shards among which each standing service's count is
        divided.
    seed : int
        Seed of all random choices.
    task_lease_s : float
        Length of the lease that each renewal gives to the tasks of a worker.
    renew_every_s : float
        Interval between two renewals of a worker.
    clock_margin_s : float
        Allowance for clocks that run at different rates.
    unix_offset_s : float
        Unix time minus ``now_s``, used to compute `WorkerRequest.start_before_unix_s`; with 0 no
        such limit is set.
    workers_know_epochs, workers_have_inventory : bool
        Capabilities of the platform's workers. Unless they have both, recovered tasks wait for the
        fence time.
    vm_list_lag_s : float
        Greatest age of the platform's list of VMs.
    exchange_timeout_s : float
        Time after which an exchange without any answer counts as lost.
    probe_every_s : float
        Interval between two probes of an unreachable worker.
    max_starts_per_tick, max_misses_per_tick : int
        Limits on the placements, and on the failed searches for free capacity, of one tick. Every
        two completions in a tick lower the first limit by one, down to a quarter of it.
    max_waiting_tasks : int
        Number of waiting tasks above which submissions are rejected.
    retry_after_s : float
        Time after which a rejected caller may submit again.
    retry_backoff_s, max_backoff_s : float
        Backoff before the second attempt, which doubles with each further one up to the maximum.
    max_losses : int
        Number of attempts that a task may lose to failing VMs; one more and the task fails.
    max_crashes : int
        Number of workers that may restart just after they started a task before the task fails.
    ageing_factor : float
        A job moves up one deadline class each time it has waited this many times the
        ``start_within_s`` of its service.
    reserve_after_s : float
        Time without enough free capacity after which a job gets a reservation.
    max_reservations : int
        Highest number of simultaneous reservations.
    max_preemptions_per_task, max_preemptions_per_tick : int
        Limits on the preemptions of a single task, and on all preemptions in one tick.
    preempt_after_fraction : float
        Fraction of its service's ``start_within_s`` that a task waits before it may preempt others.
    quarantine_score : float
        Suspicion score at which a worker is quarantined.
    quarantine_s, max_quarantine_s : float
        Duration of a worker's first quarantine, which doubles up to the maximum.
    overshoot_step_s : float
        Time that each reaction to an overshoot has to take effect in the reported usage.
    stop_repeat_s : float
        Time after which an unanswered command about a running task is sent again.
    service_move_wait_s : float
        Time that a replacement may take to start before the drained service task is stopped
        without one.
    grant_repeat_s : float
        Interval between two `GrantWanted` messages for the same organisation.
    job_retention_s : float
        Time for which a finished job is kept in memory.
    """

    shard: str
    shard_index: int = 0
    shard_count: int = 1
    seed: int = 0
    task_lease_s: float = 6.0
    renew_every_s: float = 1.5
    clock_margin_s: float = 0.5
    unix_offset_s: float = 0.0
    workers_know_epochs: bool = True
    workers_have_inventory: bool = True
    vm_list_lag_s: float = 5.0
    exchange_timeout_s: float = 30.0
    probe_every_s: float = 1.0
    max_starts_per_tick: int = 200
    max_misses_per_tick: int = 64
    max_waiting_tasks: int = 500_000
    retry_after_s: float = 2.0
    retry_backoff_s: float = 0.5
    max_backoff_s: float = 60.0
    max_losses: int = 20
    max_crashes: int = 5
    ageing_factor: float = 2.0
    reserve_after_s: float = 10.0
    max_reservations: int = 8
    max_preemptions_per_task: int = 2
    max_preemptions_per_tick: int = 16
    preempt_after_fraction: float = 0.2
    quarantine_score: float = 3.0
    quarantine_s: float = 30.0
    max_quarantine_s: float = 600.0
    overshoot_step_s: float = 5.0
    stop_repeat_s: float = 3.0
    service_move_wait_s: float = 30.0
    grant_repeat_s: float = 1.0
    job_retention_s: float = 3600.0
