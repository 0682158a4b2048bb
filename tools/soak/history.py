"""What callers, workers and the store have seen in one run, with times in seconds."""

import re
from collections import defaultdict
from dataclasses import dataclass

from redwingplank.cell.keys import JOBS_PREFIX
from tools.soak.disruptions import Disruptions

__all__ = ["Attempt", "History", "RunEnd", "RunStart", "SentJob"]

_find_job_id = re.compile(r"/([0-9a-f]{16})$").search


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request of a caller for a job.

    Parameters
    ----------
    job_id, method : str
        The job, and ``"POST"``, ``"GET"`` or ``"DELETE"``.
    node : str
        Name of the node that was asked.
    sent_s, ended_s : float
        Times at which it was sent, and at which the answer arrived or the caller gave up.
    status : int or None
        Status of the answer, None without an answer.
    """

    job_id: str
    method: str
    node: str
    sent_s: float
    ended_s: float
    status: int | None

    def __str__(self) -> str:
        shown = self.status or "no answer"
        return f"{self.method} {self.sent_s:.3f}-{self.ended_s:.3f} {self.node}: {shown}"


@dataclass(frozen=True, slots=True)
class SentJob:
    """What a caller sent as a job: its `spec`, and the names of its tasks."""

    spec: str
    tasks: frozenset[str]


@dataclass(frozen=True, slots=True)
class RunStart:
    """A worker began attempt `attempt` of a task.

    Parameters
    ----------
    task : str
        Name of the task, ID.K.STEP.INDEX.
    attempt : int
        Number of the attempt.
    worker : str
        The incarnation of the worker.
    at_s, arrived_s : float
        Times at which the run began and at which the command arrived, in seconds.
    spec, checkpoint : str
        What the command carried.
    token : int
        Fencing token of the command.
    """

    task: str
    attempt: int
    worker: str
    at_s: float
    arrived_s: float
    spec: str
    checkpoint: str = ""
    token: int = 0

    def __str__(self) -> str:
        late = f" arrived {self.arrived_s:.3f}" if self.arrived_s != self.at_s else ""
        text = f"start {self.task} attempt {self.attempt} at {self.at_s:.3f} on {self.worker}"
        return f"{text} token {self.token}{late}"


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A run ended on a worker, as `how` says."""

    task: str
    attempt: int
    worker: str
    at_s: float
    how: str

    def __str__(self) -> str:
        text = f"end {self.task} attempt {self.attempt} at {self.at_s:.3f} on {self.worker}"
        return f"{text}: {self.how}"


class History:
    """Collects the events of a run, by job id or by task name."""

    def __init__(self) -> None:
        self.attempts_by_job: dict[str, list[Attempt]] = defaultdict(list)
        self.starts_by_job: dict[str, list[RunStart]] = defaultdict(list)
        self.ends_by_run: dict[tuple[str, str, int], RunEnd] = {}
        self.acknowledged: set[tuple[str, str, int]] = set()
        """Runs (worker, task, attempt) that ended ``done`` and whose end was acknowledged."""
        self.stored_s_by_job: dict[str, float] = {}
        self.final_state_by_job: dict[str, str] = {}
        """The states that the settled system gives for jobs, empty if it gave none."""
        self.sent_by_job: dict[str, SentJob] = {}
        self.checkpoints_by_task: dict[str, set[str]] = defaultdict(set)
        """All checkpoints that workers have listed for a task."""
        self.owner_by_epoch: dict[int, str] = {}
        """Names of the nodes that the store has shown as owners."""
        self.disruptions = Disruptions()
        self.node_names: frozenset[str] = frozenset()
        self.ended_s = float("inf")
        """Time at which the run was over; what had not ended by then was still running."""

    def add_attempt(self, attempt: Attempt) -> None:
        """Add a request of a caller."""
        self.attempts_by_job[attempt.job_id].append(attempt)

    def add_start(self, start: RunStart) -> None:
        """Add the start of a run."""
        self.starts_by_job[start.task.partition(".")[0]].append(start)

    def add_end(self, end: RunEnd) -> None:
        """Add the end of a run."""
        self.ends_by_run[end.worker, end.task, end.attempt] = end

    def add_stored_key(self, key: str, at_s: float) -> None:
        """Add a write of a key; the first one of a job's own key shows the job as stored.

        A cancellation also ends with a job id, and may be written in the place of the job.
        """
        found = _find_job_id(key)
        if found is not None and key.startswith(JOBS_PREFIX):
            self.stored_s_by_job.setdefault(found.group(1), at_s)

    def has_ended_done(self, job_id: str) -> bool:
        """Return whether all tasks of a job have ended ``done`` on workers."""
        ends = (
            self.ends_by_run.get((start.worker, start.task, start.attempt))
            for start in self.starts_by_job.get(job_id, ())
        )
        done = {end.task for end in ends if end is not None and end.how == "done"}
        return job_id in self.sent_by_job and done >= self.sent_by_job[job_id].tasks

    def submissions_of(self, job_id: str) -> list[Attempt]:
        """Return the submissions of a job, by the time at which they were sent."""
        posts = [each for each in self.attempts_by_job[job_id] if each.method == "POST"]
        return sorted(posts, key=lambda each: each.sent_s)
