"""The runs of tasks, as an owner knows them."""

import enum
from typing import TYPE_CHECKING, NamedTuple

from redwingplank.batch.model import NO_AMOUNTS, StepSpec, TaskId

if TYPE_CHECKING:
    from redwingplank.batch.worker import Worker

__all__ = ["PROBATION_S", "LostRun", "Run", "RunState"]

PROBATION_S = 0.5
"""Age in seconds below which a run is suspected if its worker crashes."""


class RunState(enum.Enum):
    """State of a run between the decision to start it and its completion."""

    PLANNED = enum.auto()
    """The start command is sent once the worker's id is stored with the job."""
    STARTING = enum.auto()
    """The start command was sent and not answered yet."""
    RUNNING = enum.auto()
    """The worker accepted the start command or listed the run in a report."""
    UNCONFIRMED = enum.auto()
    """The start command was not answered: the task may run, or may still be started by it."""
    STOPPING = enum.auto()
    """A stop command was sent or has to be sent."""


class LostRun(NamedTuple):
    """A run whose worker crashed, or may have.

    `run_s` is its age then, None if an earlier owner had started it. `is_certain` is whether it
    certainly ran then, `is_unseen` whether it may have ended before, as nobody heard, `is_suspect`
    whether it may have been the cause, and `is_alone` whether there was no other suspect.
    """

    task_id: TaskId
    run_s: float | None = None
    is_certain: bool = False
    is_unseen: bool = False
    is_suspect: bool = False
    is_alone: bool = False


class Run:
    """One attempt of a task on a worker; it reserves capacity until its completion is known."""

    __slots__ = (
        "attempt",
        "incarnation",
        "is_accepted",
        "is_in_known_process",
        "is_listed",
        "is_queued",
        "load",
        "organisation",
        "pace_percent",
        "percent",
        "progressed_s",
        "reserved",
        "resolved_s",
        "sent_s",
        "spec",
        "started_s",
        "state",
        "stop_sent_s",
        "task_id",
        "version",
        "worker",
    )

    def __init__(
        self,
        task_id: TaskId,
        attempt: int,
        worker: "Worker",
        spec: StepSpec | None,
        now_s: float,
        state: RunState,
    ) -> None:
        self.task_id = task_id
        self.attempt = attempt
        self.worker = worker
        self.incarnation = worker.incarnation
        """The incarnation that was commanded to start the run."""
        self.spec = spec
        self.state = state
        self.reserved = spec.reserved if spec else NO_AMOUNTS
        self.organisation = ""
        """Organisation that the run is charged to, empty if it is not charged."""
        self.sent_s = now_s
        self.started_s = now_s
        self.progressed_s = now_s
        """Time at which the reported progress last changed."""
        self.percent = 0.0
        self.load = 0.0
        self.is_queued = False
        """Whether the start was commanded; it may wait before it is sent."""
        self.is_listed = False
        """Whether a report of the worker has listed the run."""
        self.is_in_known_process = False
        """Whether the process of its incarnation has answered the start: it ends with that one."""
        self.is_accepted = False
        """Whether the worker has accepted the start command."""
        self.pace_percent = 100
        """Speed that the worker was last commanded to run at, as a percentage of full speed."""
        self.stop_sent_s: float | None = None
        self.resolved_s: float | None = None
        """Time at which the worker confirmed the start or the stop of the run, or listed it.

        The answer to a poll that was sent later settles whether the run still exists.
        """
        self.version = 0

    @property
    def key(self) -> tuple[TaskId, int]:
        """Key of the run among the runs of its worker: task and attempt."""
        return self.task_id, self.attempt

    @property
    def is_lost_at_start(self) -> bool:
        """Whether the worker became unreachable just after it began with the run."""
        return self.worker.is_unreachable and self.worker.silent_s - self.begun_s < PROBATION_S

    @property
    def begun_s(self) -> float:
        """Time at which the worker began with the run, as far as known."""
        return max(self.sent_s, self.started_s)
