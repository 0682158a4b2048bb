"""Settings of a shard's decision core."""

from dataclasses import dataclass

__all__ = ["SchedulerSettings"]


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of one shard's scheduler; times are in seconds.

    Parameters
    ----------
    shard : str
        Name of the shard.
    shard_index, shard_count : int
        Which part of each standing service's count runs here.
    seed : int
        Seed of every random choice.
    task_lease_s : float
        Lease that each renewal gives to the tasks of a worker.
    renew_every_s : float
        Time between two renewals of a worker.
    clock_margin_s : float
        Allowance for clocks that run at different rates.
    unix_offset_s : float
        Unix time minus ``now_s``, from which `WorkerRequest.start_before_unix_s` is set; 0 sets
        no bound.
    workers_know_epochs, workers_have_inventory : bool
        What the platform's workers can do; without either, recovered tasks wait for the fence.
    vm_list_lag_s : float
        The platform's list of VMs is at most this old.
    exchange_timeout_s : float
        An exchange without any answer counts as lost after this long.
    probe_every_s : float
        Time between two probes of a worker that does not answer.
    max_starts_per_tick, max_misses_per_tick : int
        Bounds on the placements, and on the failed searches for room, of one tick. Every two
        ends of a tick take one start off the first, down to a quarter of it.
    max_waiting_tasks : int
        Submissions are turned away above this many waiting tasks.
    retry_after_s : float
        When a caller that was turned away may ask again.
    retry_backoff_s, max_backoff_s : float
        Delay before the second attempt, which doubles up to the maximum.
    max_losses : int
        Attempts that a task may lose to failing VMs before it has failed.
    ageing_factor : float
        A task moves up one deadline class each time it has waited this many times its class's
        time to start.
    reserve_after_s : float
        A job that found no room for this long gets a reservation.
    max_reservations : int
        Reservations at the same time.
    max_preemptions_per_task, max_preemptions_per_tick : int
        How often a task may be preempted, and how many are in one tick.
    preempt_after_fraction : float
        Fraction of its time to start that a task waits before it may preempt.
    quarantine_score : float
        Suspicion at which a worker is quarantined.
    quarantine_s, max_quarantine_s : float
        First duration of a quarantine, which doubles up to the maximum.
    overshoot_step_s : float
        Time that each answer to an overshoot is given to show in the usage.
    stop_repeat_s : float
        Time after which an unanswered command about a running task is sent again.
    service_move_wait_s : float
        Time that a replacement may take before a drained service task is stopped without one.
    grant_repeat_s : float
        Time between two wishes for the same organisation's quota.
    job_retention_s : float
        How long a finished job is remembered.
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
