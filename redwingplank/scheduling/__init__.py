"""Scheduling of tasks: queues, fair shares, placement, gangs, leases and recovery."""

from redwingplank.scheduling.scheduler import Scheduler, make_scheduler
from redwingplank.scheduling.settings import SchedulerSettings
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["Scheduler", "SchedulerSettings", "ShardSummary", "make_scheduler"]
