"""Reading of settings, start-up and shutdown, shared by all long-running programs."""

import asyncio
import os
import signal
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import capnp
import cyclopts
import logbook

from redwingplank import __version__
from redwingplank.core import FindingsError, log_event, make_logger, start_logging
from redwingplank.core.settings import load_settings, make_settings_app

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_CUT_OFF",
    "EXIT_OK",
    "Program",
    "read_settings",
    "run_program",
]

EXIT_OK = 0
EXIT_CUT_OFF = 1
EXIT_BAD_SETTINGS = 2

SettingsT = TypeVar("SettingsT")

_logger = make_logger("program")


class Program(ABC):
    """A program that starts, serves until a signal or its own end stops it, and drains."""

    @abstractmethod
    async def start(self) -> None:
        """Start all parts; return once the program serves."""

    @abstractmethod
    async def drain(self) -> None:
        """Reject new work, finish work in flight and hand over; return once nothing is left."""

    @abstractmethod
    def describe_in_flight(self) -> str:
        """Describe the work that an immediate stop would interrupt, for the log."""

    async def wait(self) -> None:
        """Return when the program ends without a signal; by default never."""
        await asyncio.Event().wait()


def read_settings(
    program: str,
    settings_class: type[SettingsT],
    description: str,
    arguments: Sequence[str] | None = None,
) -> SettingsT:
    """Read a program's settings from flags and environment variables.

    Prints every fault and exits with 2 if there are any; exits with 0 after ``--help``,
    ``--version`` and a successful ``--check-settings``.

    Parameters
    ----------
    program : str
        Name of the program, which prefixes its messages.
    settings_class : type
        A frozen data class of settings.
    description : str
        Description of the program, shown by ``--help``.
    arguments : sequence of str, optional
        Arguments of the command line; by default those of the process.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    app = make_settings_app(program, __version__, settings_class, description)
    try:
        command, bound, unknown, _ = app.parse_known_args(given)
        if command is not app.default_command:
            command(*bound.args, **bound.kwargs)
            sys.exit(EXIT_OK)
        texts = command(**bound.kwargs)
        is_check = texts.pop("check_settings", False)
        settings = load_settings(settings_class, texts, given, unknown)
    except cyclopts.CycloptsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except FindingsError as error:
        for finding in error.findings:
            print(f"{program}: {finding}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if is_check:
        print(f"{program}: all settings are valid")
        sys.exit(EXIT_OK)
    return settings


def run_program(make_program: Callable[[], Program], log_level: str) -> int:
    """Run a program until a signal or its own end stops it, and return the exit code.

    Parameters
    ----------
    make_program : callable
        Function that builds the program; called inside the event loop.
    log_level : str
        Lowest level that is logged to standard error.

    Notes
    -----
    The first SIGTERM or SIGINT drains the program. A second one stops it at once and logs the
    work that was interrupted.
    """
    start_logging(log_level)
    return asyncio.run(capnp.run(_run(make_program)))


async def _run(make_program: Callable[[], Program]) -> int:
    stopping = asyncio.Event()
    force_stop = asyncio.Event()

    def on_signal() -> None:
        (force_stop if stopping.is_set() else stopping).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    program = make_program()
    log_event(_logger, "starting", pid=os.getpid(), version=__version__)
    await program.start()
    log_event(_logger, "serving", pid=os.getpid())
    await _wait_for_first(stopping.wait(), program.wait())
    log_event(_logger, "draining", in_flight=program.describe_in_flight())
    is_drained = await _wait_for_first(program.drain(), force_stop.wait())
    if is_drained:
        log_event(_logger, "stopped", in_flight=program.describe_in_flight())
        return EXIT_OK
    interrupted = program.describe_in_flight()
    log_event(_logger, "cut_off", level=logbook.WARNING, in_flight=interrupted)
    return EXIT_CUT_OFF


async def _wait_for_first(first: Any, second: Any) -> bool:
    """Wait until `first` or `second` is done, then cancel the other.

    Returns whether `first` is done. An exception of either one that is done is raised.
    """
    tasks = [asyncio.ensure_future(first), asyncio.ensure_future(second)]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    is_first = tasks[0].done()
    for task in tasks:
        if task.done():
            task.result()
        else:
            task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return is_first
