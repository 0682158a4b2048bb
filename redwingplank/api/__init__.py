"""The HTTP interface that entries offer to callers."""

from redwingplank.api.core import make_entry_app, read_openapi
from redwingplank.api.problems import ProblemDetails

__all__ = ["ProblemDetails", "make_entry_app", "read_openapi"]
