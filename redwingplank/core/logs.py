"""Structured logging: one line of ``key=value`` pairs for each event."""

import re
import sys
from typing import Any, TextIO

import logbook
from logbook import Logger

__all__ = ["Logger", "format_event", "format_value", "log_event", "make_logger", "start_logging"]

_match_plain = re.compile(r"[\w\-.:/,+@%#]+").fullmatch


def make_logger(name: str) -> Logger:
    """Return a logger whose name is written as the ``logger=`` pair of each line."""
    return Logger(name)


def format_event(event: str, fields: dict[str, Any]) -> str:
    """Format an event as one line of ``key=value`` pairs, with values quoted where needed.

    Parameters
    ----------
    event : str
        Name of the event, such as ``"task_placed"``, written as the first pair.
    fields : dict
        The other pairs, in order. Floats are printed with six significant digits.

    Examples
    --------
    >>> format_event("task_placed", {"vm": "vm-1", "reason": "best fit"})
    'event=task_placed vm=vm-1 reason="best fit"'
    """
    pairs = [f"event={format_value(event)}"]
    for key, value in fields.items():
        pairs.append(f"{key}={format_value(value)}")
    return " ".join(pairs)


def log_event(logger: Logger, event: str, *, level: int = logbook.INFO, **fields: Any) -> None:
    """Log one event; this costs almost nothing if `level` is below that of the logger.

    Parameters
    ----------
    logger : Logger
        Logger returned by `make_logger`.
    event : str
        Name of the event.
    level : int
        Level of the event, one of logbook's constants.
    **fields
        The other pairs of the line, with units in their names (``wait_ms=12``).
    """
    if level < logger.level:
        return
    logger.log(level, format_event(event, fields))


def start_logging(level_name: str = "INFO", stream: TextIO | None = None) -> logbook.StreamHandler:
    """Write every record at or above a level to a stream, one line each.

    Parameters
    ----------
    level_name : str
        ``DEBUG``, ``INFO``, ``NOTICE``, ``WARNING`` or ``ERROR``.
    stream : file, optional
        Stream to write to, standard error by default.

    Returns
    -------
    logbook.StreamHandler
        The installed handler; `pop_application` removes it.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level_name.upper())
    )
    handler.format_string = (
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
        "logger={record.channel} {record.message}"
    )
    handler.push_application()
    return handler


def format_value(value: Any) -> str:
    """Format the value of a ``key=value`` pair, quoted where needed."""
    if type(value) is int:
        return str(value)
    if isinstance(value, float):
        return f"{value:.6g}"
    if value is None:
        return "none"
    text = str(value)
    if _match_plain(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
