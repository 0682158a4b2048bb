"""Program settings from flags and environment variables, with all faults reported together.

The settings of a program are a frozen data class whose fields are declared with `setting`.
"""

import dataclasses
import inspect
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any, TypeVar

import cyclopts

from redwingplank.core.errors import InvalidValueError
from redwingplank.core.findings import Finding, SourceLocation, raise_findings

__all__ = [
    "environment_name",
    "load_settings",
    "make_settings_app",
    "parse_address",
    "parse_address_by_name",
    "parse_choice",
    "parse_integer",
    "parse_name",
    "parse_seconds",
    "parse_switch",
    "parse_url",
    "setting",
]

SettingsT = TypeVar("SettingsT")

MAX_PORT = 65_535
MAX_NAME_CHARACTERS = 63


def setting(
    parse: Callable[[str], Any],
    description: str,
    *,
    default: str | None = None,
    unit: str = "",
    is_switch: bool = False,
) -> Any:
    """Declare one setting as a field of a frozen data class.

    Parameters
    ----------
    parse : callable
        Converts the text to a value, or raises `InvalidValueError` with a message that says what
        to give.
    description : str
        Description shown by ``--help``.
    default : str, optional
        Text used if the setting is not given; a setting without a default is required.
    unit : str
        Unit shown by ``--help``, such as ``"seconds"``.
    is_switch : bool
        Whether the flag takes no value; `parse` then receives ``"True"`` or ``"False"``.
    """
    metadata = {
        "parse": parse,
        "description": description,
        "default": default,
        "unit": unit,
        "is_switch": is_switch,
    }
    return dataclasses.field(metadata=metadata)


def environment_name(field_name: str) -> str:
    """Return the environment variable of a setting, such as ``REDWING_HTTP_ADDRESS``."""
    return f"REDWING_{field_name.upper()}"


def make_settings_app(
    program: str, version: str, settings_class: type, description: str
) -> cyclopts.App:
    """Build the command-line application that reads a program's settings.

    Parameters
    ----------
    program : str
        Name of the program, such as ``"redwing-entry"``.
    version : str
        Version shown by ``--version``.
    settings_class : type
        A frozen data class whose fields are declared with `setting`.
    description : str
        Description shown by ``--help``.
    """
    app = cyclopts.App(name=program, version=version, help=description, result_action=None)
    parameters = [_make_parameter(field) for field in dataclasses.fields(settings_class)]
    check_help = "Check all settings, print every fault with its place, and exit."
    parameters.append(
        inspect.Parameter(
            "check_settings",
            inspect.Parameter.KEYWORD_ONLY,
            default=False,
            annotation=Annotated[bool, cyclopts.Parameter(negative="", help=check_help)],
        )
    )

    def collect(**texts: Any) -> dict[str, Any]:
        return texts

    collect.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    collect.__annotations__ = {item.name: item.annotation for item in parameters}
    app.default(collect)
    return app


def load_settings(
    settings_class: type[SettingsT],
    texts_by_name: Mapping[str, str | None],
    arguments: Sequence[str],
    unknown: Sequence[str] = (),
) -> SettingsT:
    """Parse and check the texts of all settings.

    Parameters
    ----------
    settings_class : type
        A frozen data class whose fields are declared with `setting`.
    texts_by_name : mapping of str to str or None
        Text of each setting from its flag or variable, None if neither is given.
    arguments : sequence of str
        The command line, which shows whether a text comes from a flag or a variable.
    unknown : sequence of str
        Arguments that belong to no setting.

    Returns
    -------
    settings_class

    Raises
    ------
    FindingsError
        If any setting is missing, invalid or unknown; carries all faults.
    """
    findings = [
        Finding(SourceLocation("flag", field=text), "is not known", "see --help for all flags")
        for text in unknown
    ]
    values = {}
    for field in dataclasses.fields(settings_class):  # type: ignore[arg-type]
        given = texts_by_name.get(field.name)
        text = None if given is None else str(given)
        place = _find_place(field.name, arguments)
        if text is None:
            text = field.metadata["default"]
        if text is None:
            remedy = f"give {_flag_name(field.name)} or {environment_name(field.name)}"
            findings.append(Finding(place, "is required", remedy))
            continue
        try:
            values[field.name] = field.metadata["parse"](text)
        except InvalidValueError as error:
            findings.append(Finding(place, f"cannot be {text!r}", str(error)))
    raise_findings(findings)
    return settings_class(**values)


def parse_name(text: str) -> str:
    """Check a name, which consists of letters, digits, ``-``, ``_`` and ``.``."""
    allowed = all(char.isalnum() or char in "-_." for char in text)
    if not text or not allowed or len(text) > MAX_NAME_CHARACTERS:
        raise InvalidValueError(
            f"give 1 to {MAX_NAME_CHARACTERS} letters, digits, '-', '_' and '.'"
        )
    return text


def parse_address(text: str) -> str:
    """Check an address of the form ``"IP:PORT"``, with IP version 4."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == 4 and all(part.isdecimal() and int(part) <= 255 for part in parts)
    is_port = colon and port.isdecimal() and 0 < int(port) <= MAX_PORT
    if not (is_host and is_port):
        raise InvalidValueError("give IP:PORT, such as 127.0.0.1:8000")
    return text


def parse_address_by_name(text: str) -> Mapping[str, str]:
    """Parse ``"NAME=IP:PORT,..."`` into addresses by name; an empty text gives none."""
    addresses = {}
    for item in filter(None, text.split(",")):
        name, equals, address = item.partition("=")
        if not equals or name in addresses:
            raise InvalidValueError("give NAME=IP:PORT separated by commas, each name once")
        addresses[name] = parse_address(address)
    return addresses


def parse_url(text: str) -> str:
    """Check a URL of the form ``"http://IP:PORT"`` and remove trailing slashes."""
    prefix = "http://"
    if not text.startswith(prefix):
        raise InvalidValueError("give http://IP:PORT")
    parse_address(text[len(prefix) :].rstrip("/"))
    return text.rstrip("/")


def parse_seconds(minimum_s: float, maximum_s: float) -> Callable[[str], float]:
    """Return a parser for seconds from `minimum_s` to `maximum_s`."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum_s <= value <= maximum_s:
            raise InvalidValueError(f"give {minimum_s:g} to {maximum_s:g} seconds")
        return value

    return parse


def parse_integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a parser for whole numbers from `minimum` to `maximum`."""

    def parse(text: str) -> int:
        if not text.lstrip("-").isdecimal() or not minimum <= int(text) <= maximum:
            raise InvalidValueError(f"give a whole number from {minimum} to {maximum}")
        return int(text)

    return parse


def parse_switch(text: str) -> bool:
    """Parse the text of a switch; return whether it is on."""
    return text == "True"


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts one of `choices`."""

    def parse(text: str) -> str:
        if text not in choices:
            raise InvalidValueError(f"give one of {', '.join(choices)}")
        return text

    return parse


def _make_parameter(field: dataclasses.Field) -> inspect.Parameter:
    metadata = field.metadata
    unit = f" Unit: {metadata['unit']}." if metadata["unit"] else ""
    default = metadata["default"]
    default_note = "required" if default is None else f"default: {default or 'empty'}"
    text = f"{metadata['description']}{unit} [{default_note}]"
    kind: Any = bool if metadata["is_switch"] else str
    annotation = Annotated[
        kind | None,
        cyclopts.Parameter(
            env_var=environment_name(field.name), help=text, show_default=False, negative=""
        ),
    ]
    return inspect.Parameter(
        field.name, inspect.Parameter.KEYWORD_ONLY, default=None, annotation=annotation
    )


def _flag_name(field_name: str) -> str:
    return f"--{field_name.replace('_', '-')}"


def _find_place(field_name: str, arguments: Sequence[str]) -> SourceLocation:
    flag = _flag_name(field_name)
    is_flag = any(text == flag or text.startswith(f"{flag}=") for text in arguments)
    if is_flag:
        return SourceLocation("flag", field=flag)
    return SourceLocation("environment", field=environment_name(field_name))
