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
