"""``redwing-node``: a node of a cell on the users' platform."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Sequence

import capnp

from redwingplank import __version__
from redwingplank.cell.context import NodeContext
from redwingplank.cell.eventlog import EventLog
from redwingplank.cell.node import Node
from redwingplank.core import FindingsError
from redwingplank.platform.site.settings import SiteSettings, read_site_settings

__all__ = ["main"]

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until SIGTERM, and return the exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments of the command line; by default those of the process. The platform gives none.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given:
        return _run_command(given)
    settings = _read_settings(None)
    if settings is None:
        return EXIT_BAD_SETTINGS
    gc.freeze()
    asyncio.run(capnp.run(_run(settings)))
    return EXIT_OK


def _run_command(given: list[str]) -> int:
    # Imported only when flags are given: the platform starts a node without flags, and the start
    # must be quick.
    import cyclopts

    app = cyclopts.App(
        name="redwing-node",
        version=__version__,
        help="A node of a cell on the users' platform; without flags it runs until SIGTERM.",
        result_action="return_value",
    )

    @app.default
    def _check(*, check_settings: bool, settings: str = "") -> int:
        """Check the settings file and start nothing.

        Parameters
        ----------
        check_settings
            Print every fault together with its field.
        settings
            Path of the settings file; by default taken from the environment.
        """
        if not check_settings or _read_settings(settings or None) is None:
            return EXIT_BAD_SETTINGS
        print("redwing-node: all settings are valid")
        return EXIT_OK

    return app(given) or EXIT_OK


def _read_settings(path: str | None) -> SiteSettings | None:
    try:
        return read_site_settings(path)
    except FindingsError as error:
        for finding in error.findings:
            print(f"redwing-node: {finding}", file=sys.stderr)
        return None


async def _run(settings: SiteSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    context = NodeContext(settings, EventLog(settings.name))
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(context))
    context.log("starting", pid=os.getpid(), version=__version__)
    node = Node(context)
    await node.start()
    context.log("serving", callers=settings.callers_address, peers=settings.peer_address)
    await stopping.wait()
    await node.stop()


def _reload(context: NodeContext) -> None:
    """Read the settings again and log whether they changed; the running node keeps its own."""
    try:
        settings = read_site_settings()
    except FindingsError as error:
        context.log("reload_failed", error=error)
        return
    context.log("reloaded", is_changed=settings != context.settings)


if __name__ == "__main__":
    sys.exit(main())
