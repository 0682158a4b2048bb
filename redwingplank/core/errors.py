"""Base classes of the exceptions that the project raises."""

__all__ = ["InvalidValueError", "RedwingError"]


class RedwingError(Exception):
    """Base class of the project's exceptions, whose messages say what the user can do."""


class InvalidValueError(RedwingError, ValueError):
    """A value is outside the documented range of its field."""
