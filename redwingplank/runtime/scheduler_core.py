"""The interface of the decision core as the runtime uses it."""

from collections.abc import Callable, Sequence
from typing import Protocol

from redwingplank.config import Declarations
from redwingplank.core import Resources
from redwingplank.scheduling.messages import InboxMessage, JobStatus, Outbox, RecoveredState
from redwingplank.scheduling.summary import ShardSummary

__all__ = ["SchedulerCore", "SchedulerFactory"]


class SchedulerCore(Protocol):
    """Decides for one shard, without input or output."""

    def tick(self, now_s: float, inbox: Sequence[InboxMessage]) -> Outbox:
        """Take in messages and return everything that is to be done."""

    def job_status(self, job_id: str, now_s: float) -> JobStatus | None:
        """Return a job, None if it is not known."""

    def job_version(self, job_id: str) -> int:
        """Return a number that changes with the job, 0 if it is not known."""

    def explain(self, job_or_task_id: str, now_s: float) -> tuple[str, ...]:
        """Return why a job or task waits or where it ran, one line each."""

    def summary(self, now_s: float) -> ShardSummary:
        """Return the shard's summary, of fixed size."""

    def reserved_by(self, organisation: str) -> Resources:
        """Return what an organisation's tasks reserve in this shard."""


SchedulerFactory = Callable[[RecoveredState, Declarations, float], SchedulerCore]
"""Builds the core of a new term."""
