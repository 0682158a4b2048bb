"""Decodes JSON of other writers, with one error for everything that cannot be read."""

from typing import TypeVar

import msgspec

from redwingplank.core.errors import InvalidValueError

__all__ = ["UndecodableError", "decode_json"]

T = TypeVar("T")


class UndecodableError(InvalidValueError):
    """A value is not JSON of the expected type; the message does not hold the value."""


def decode_json(value: bytes | str, kind: type[T]) -> T:
    """Decode JSON.

    Parameters
    ----------
    value : bytes or str
        JSON text.
    kind : type
        Type of the result, as for `msgspec.json.decode`.

    Raises
    ------
    UndecodableError
        The value is not UTF-8, not JSON or of another type, or it is nested too deeply.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        problem = str(error)
    except UnicodeDecodeError:
        problem = "the text is not UTF-8"
    except RecursionError:
        problem = "the text is nested too deeply"
    # No cause is attached: some of these errors hold the whole value.
    raise UndecodableError(problem)
