"""Flags shared by several commands of `redwingctl`.

Each flag can also be set by an environment variable.
"""

import getpass
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from redwingplank.cli.ctl_output import OutputFormat
from redwingplank.core import InvalidValueError
from redwingplank.core.settings import parse_address_by_name
from redwingplank.runtime.apply import ApplyOptions
from redwingplank.runtime.operator import CellAddresses

__all__ = [
    "DEFAULT_CELL",
    "DEFAULT_CHANGE",
    "DEFAULT_OUTPUT",
    "CellFlags",
    "ChangeFlags",
    "OutputFlags",
]


@Parameter(name="*")
@dataclass(frozen=True)
class OutputFlags:
    """Flags that select the output format."""

    output: Annotated[OutputFormat, Parameter(help="table or json.")] = OutputFormat.TABLE


@Parameter(name="*")
@dataclass(frozen=True)
class CellFlags(OutputFlags):
    """Flags with the addresses of the cell."""

    store_url: Annotated[str, Parameter(help="The platform's key-value service.")] = (
        "http://127.0.0.1:2379"
    )
    vms_url: Annotated[str, Parameter(help="The platform's list of VMs.")] = "http://127.0.0.1:2380"
    entries: Annotated[
        str, Parameter(help="FAILURE_DOMAIN/NAME=IP:PORT of all entries, separated by commas.")
    ] = ""
    schedulers: Annotated[
        str, Parameter(help="FAILURE_DOMAIN/NAME=IP:PORT of all schedulers, separated by commas.")
    ] = ""
    timeout_s: Annotated[float, Parameter(help="Timeout of a single call, in seconds.")] = 2.0

    def addresses(self) -> CellAddresses:
        """Return the addresses.

        Raises
        ------
        InvalidValueError
            If ``--entries`` or ``--schedulers`` is malformed.
        """
        return CellAddresses(
            self.store_url,
            self.vms_url,
            _parse_addresses("--entries", self.entries),
            _parse_addresses("--schedulers", self.schedulers),
            self.timeout_s,
        )


@Parameter(name="*")
@dataclass(frozen=True)
class ChangeFlags:
    """Flags of commands that change the declarations in force."""

    base: Annotated[
        int | None, Parameter(help="Revision that the files were made from; the newest by default.")
    ] = None
    prune: Annotated[
        bool, Parameter(negative="", help="Remove documents that are not in the files.")
    ] = False
    author: Annotated[
        str, Parameter(help="Recorded with the revision; the user's name by default.")
    ] = ""

    def options(self) -> ApplyOptions:
        """Return the options for applying a change."""
        return ApplyOptions(self.author or _get_user_name(), self.base, self.prune)


DEFAULT_OUTPUT = OutputFlags()
DEFAULT_CELL = CellFlags()
DEFAULT_CHANGE = ChangeFlags()


def _get_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _parse_addresses(flag: str, text: str) -> Mapping[str, str]:
    try:
        return parse_address_by_name(text) if text else {}
    except InvalidValueError as error:
        raise InvalidValueError(f"{flag} is {text!r}: {error}") from error
