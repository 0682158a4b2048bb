"""Interface through which the runtime uses the decision core."""

from collections.abc import Callable, Sequence
from typing import Protocol

from redwingplank.config import Declarations
from redwingplank.core import Resources
from redwingplank.scheduling.messages import InboxMessage, JobStatus, Outbox, RecoveredState
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["SchedulerCore", "SchedulerFactory"]


class SchedulerCore(Protocol):
    """Makes the scheduling decisions of one shard, without input or output of its own."""

    def tick(self, now_s: float, inbox: Sequence[InboxMessage]) -> Outbox:
        """Handle the messages of an inbox and return the resulting actions."""

    def job_status(self, job_id: str, now_s: float) -> JobStatus | None:
        """Return the status of a job, None if it is not known or not durable."""

    def job_version(self, job_id: str) -> int:
        """Return a version number that changes with the job, 0 if the job is not known."""

    def explain(self, job_or_task_id: str, now_s: float) -> tuple[str, ...]:
        """Return why a job or task waits or where it ran, as lines of text."""

    def summary(self, now_s: float) -> ShardSummary:
        """Return the shard's summary, whose size is fixed."""

    def reserved_by(self, organisation: str) -> Resources:
        """Return the resources that an organisation's tasks reserve in this shard."""


SchedulerFactory = Callable[[RecoveredState, Declarations, float], SchedulerCore]
"""Builds a new owner's core from the recovered state, the declarations and the current time."""
