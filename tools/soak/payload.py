"""The payload of the soak's jobs, which tells workers how long tasks run and what they save."""

from dataclasses import dataclass
from typing import Self

__all__ = ["Payload"]


@dataclass(frozen=True, slots=True)
class Payload:
    """How the tasks of a job run.

    Parameters
    ----------
    job_id : str
        The job, so that payloads of different jobs differ.
    run_s : float
        Run time of a task in seconds, infinite for tasks that last.
    save_s : float
        Work in seconds between two checkpoints, 0 for none.
    """

    job_id: str
    run_s: float
    save_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.job_id} {self.run_s} {self.save_s}"

    @classmethod
    def parse(cls, text: str) -> Self | None:
        """Return the payload that a text shows, None if it shows none."""
        try:
            job_id, run_s, save_s = text.split()
            return cls(job_id, float(run_s), float(save_s))
        except ValueError:
            return None

    def checkpoint(self, task: str, worked_s: float, *, is_stopped: bool) -> str:
        """Return the newest checkpoint of a task after so much work, empty if there is none."""
        if not self.save_s or worked_s <= 0:
            return ""
        saved_s = worked_s if is_stopped else worked_s // self.save_s * self.save_s
        return f"{task}@{saved_s:.3f}" if saved_s > 0 else ""

    def saved_s(self, checkpoint: str) -> float:
        """Return the seconds of work that a checkpoint holds."""
        _, _, saved = checkpoint.rpartition("@")
        return float(saved) if saved else 0.0
