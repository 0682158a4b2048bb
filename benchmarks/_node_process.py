"""Run one node of the system in a separate process, for `benchmarks.config`.

The process prints one line per revision of the declarations: ``revision``, its number and the Unix
time in seconds at which it took effect on this node.
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
    """Run the node until SIGTERM; the arguments are settings as ``NAME=VALUE``."""
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
