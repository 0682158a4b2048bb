"""Base classes of the exceptions that the project raises."""

__all__ = ["InvalidValueError", "RedwingError"]


class RedwingError(Exception):
    """Base class of the project's exceptions, whose messages say how to respond."""


class InvalidValueError(RedwingError, ValueError):
    """A value is outside the documented range of its field."""
