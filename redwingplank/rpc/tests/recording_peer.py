"""A peer that records the calls that it receives, in this process or in one of its own."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import capnp

from redwingplank.rpc import load_schema, serve_node

SERVICE = "recorder"
NodeServerBase: Any = load_schema("node").Node.Server


class Recorder(NodeServerBase):
    """Reuses the schema of `Node`: the name of the service is `SECONDS NAME`.

    The call is recorded when it arrives, and answered after the seconds.
    """

    def __init__(self, record: Callable[[str], None]) -> None:
        self._record = record

    async def open(self, version, service, _context, **_):
        delay_s, _, name = service.partition(" ")
        self._record(name)
        await asyncio.sleep(float(delay_s))
        return version, self


async def serve_until_killed(address: str) -> None:
    await serve_node(address, {SERVICE: Recorder(lambda name: print(name, flush=True))})
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(capnp.run(serve_until_killed(sys.argv[1])))
