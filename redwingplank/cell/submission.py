"""The results of storing a submitted job."""

import enum

__all__ = ["MIN_CALL_TIME_S", "SubmitOutcome"]

MIN_CALL_TIME_S = 0.15
"""No further call is made with less time left than this."""


class SubmitOutcome(enum.Enum):
    """Result of a submission."""

    ACCEPTED = enum.auto()
    NOT_RUN = enum.auto()
    """Confirmed not to be stored: the job never runs."""
    UNKNOWN = enum.auto()
    """The job may have been stored."""
    CANCELLED_BEFORE = enum.auto()
    """The store has a cancellation in the place of the job, so that no attempt stores it. Callers
    and peers are told `NOT_RUN`."""

    @property
    def told(self) -> "SubmitOutcome":
        """What callers and peers are told."""
        is_cancelled = self is SubmitOutcome.CANCELLED_BEFORE
        return SubmitOutcome.NOT_RUN if is_cancelled else self
