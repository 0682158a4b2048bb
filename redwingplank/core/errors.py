"""The base of every error that the project raises itself."""

__all__ = ["InvalidValueError", "RedwingError"]


class RedwingError(Exception):
    """Base class of the project's errors; the message says what to do."""


class InvalidValueError(RedwingError, ValueError):
    """A value is outside the range that its field documents."""
