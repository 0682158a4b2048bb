"""Flags that several commands of `redwingctl` share; each is an environment variable too."""

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
    """How results are printed."""

    output: Annotated[OutputFormat, Parameter(help="table or json.")] = OutputFormat.TABLE


@Parameter(name="*")
@dataclass(frozen=True)
class CellFlags(OutputFlags):
    """Where the cell is."""

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
    timeout_s: Annotated[float, Parameter(help="Longest single call, in seconds.")] = 2.0

    def addresses(self) -> CellAddresses:
        """Return the addresses; raises `RedwingError` where they are malformed."""
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
    """How a change is made."""

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
        """Return the options of an apply."""
        return ApplyOptions(self.author or _find_user(), self.base, self.prune)


DEFAULT_OUTPUT = OutputFlags()
DEFAULT_CELL = CellFlags()
DEFAULT_CHANGE = ChangeFlags()


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _parse_addresses(flag: str, text: str) -> Mapping[str, str]:
    try:
        return parse_address_by_name(text) if text else {}
    except InvalidValueError as error:
        raise InvalidValueError(f"{flag} is {text!r}: {error}") from error
