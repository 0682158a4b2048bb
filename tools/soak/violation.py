"""A rule that a run has broken."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, with the job and the events that show it."""

    rule: str
    job_id: str
    trace: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.rule} {self.job_id}: {'; '.join(self.trace)}"
