"""``redwing-node``: a node of a cell on the users' platform."""

import asyncio
import gc
import os
import signal
import sys

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


def main() -> int:
    """Run a node until SIGTERM, and return the exit code."""
    try:
        settings = read_site_settings()
    except FindingsError as error:
        for finding in error.findings:
            print(f"redwing-node: {finding}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if "--check-settings" in sys.argv[1:]:
        print("redwing-node: all settings are valid")
        return EXIT_OK
    gc.freeze()
    asyncio.run(capnp.run(_run(settings)))
    return EXIT_OK


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
    """Read the settings again; addresses in use stay as they are until the next start."""
    try:
        settings = read_site_settings()
    except FindingsError as error:
        context.log("reload_failed", error=error)
        return
    context.log("reloaded", is_changed=settings != context.settings)


if __name__ == "__main__":
    sys.exit(main())
