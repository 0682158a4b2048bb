"""One node of the system in a process of its own, for `benchmarks.config`.

Prints one line for each revision: the revision and the wall clock at which it came in force.
"""

import asyncio
import signal
import sys
import time

import capnp

from redwingplank.cli.node import NodeConnections
from redwingplank.cli.settings import NodeSettings
from redwingplank.config import Declarations
from redwingplank.core.settings import load_settings


def main() -> None:
    """Run until SIGTERM; the arguments are ``NAME=VALUE`` settings."""
    texts = dict(argument.split("=", 1) for argument in sys.argv[1:])
    asyncio.run(capnp.run(_run(load_settings(NodeSettings, texts, [], []))))


def _print_revision(declarations: Declarations) -> None:
    print(f"revision {declarations.revision} {time.time()}", flush=True)


async def _run(settings: NodeSettings) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    node = NodeConnections(settings, _print_revision)
    await node.start({})
    await stopping.wait()
    await node.stop()


if __name__ == "__main__":
    main()
