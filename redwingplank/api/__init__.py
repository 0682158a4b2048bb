"""The HTTP interface that entries offer to callers."""

from redwingplank.api.core import guard_entry_app, make_entry_app, read_openapi
from redwingplank.api.problems import ProblemDetails

__all__ = ["ProblemDetails", "guard_entry_app", "make_entry_app", "read_openapi"]
