"""A process whose handlers go on after their caller has gone, in the way that its arguments name.

It calls itself over the loopback interface, closes the connection while a call is served, and then
calls itself again. What happened is printed, a line each.
"""

import asyncio
import contextlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import capnp

from redwingplank.rpc import (
    CallOutcomeUnknownError,
    NodeServer,
    PeerConnections,
    load_schema,
    serve_node,
)
from redwingplank.standin.loopback import find_free_address

SERVICE = "stubborn"
TIMEOUT_S = 0.1
LONG_S = 30.0
LATE_S = 0.05
NodeServerBase: Any = load_schema("node").Node.Server
_cell: Any = load_schema("cell")


Way = Callable[[Callable[[], Awaitable[None]]], Awaitable[None]]


async def give_up(work: Callable[[], Awaitable[None]]) -> None:
    await work()


async def ignore(work: Callable[[], Awaitable[None]]) -> None:
    with contextlib.suppress(asyncio.CancelledError):
        await work()


async def end_late(work: Callable[[], Awaitable[None]]) -> None:
    await ignore(work)
    await asyncio.sleep(LATE_S)


async def take_for_time_out(work: Callable[[], Awaitable[None]]) -> None:
    """Do as a client does that takes a cancellation for its own time-out."""
    await ignore(work)
    task = asyncio.current_task()
    assert task is not None
    while task.cancelling():
        task.uncancel()


async def fail(work: Callable[[], Awaitable[None]]) -> None:
    await ignore(work)
    raise ValueError("failed after its caller had gone")


WAYS = {way.__name__: way for way in (give_up, ignore, end_late, take_for_time_out, fail)}
CLOSERS = ("caller", "server", "crowd")
PARTS = ("parameters", "results")
"""What a handler that goes on uses of its call: both, or the results alone."""


class Stubborn(_cell.Cell.Server):
    """Reuses the schema of `Cell`, whose `advise` has a list as a parameter and as a result."""

    def __init__(self, way: Way, part: str) -> None:
        self._way = way
        self._part = part
        self.begun = asyncio.Event()
        self.ended = asyncio.Event()

    async def advise(self, jobId, workers, _context, **_):  # noqa: N803
        names = list(workers)
        if jobId == "stuck":
            self.begun.set()
            try:
                await self._way(lambda: asyncio.sleep(LONG_S))
                print("went on", flush=True)
                if self._part == "parameters":
                    print(" ".join(workers), flush=True)
            finally:
                self.ended.set()
        return True, [{"worker": worker, "text": jobId} for worker in names]


async def call(peers: PeerConnections, address: str, name: str, timeout_s: float) -> str:
    def advise(peer: Any) -> Any:
        return peer.advise(name, 0, 0, ["w1", "w2"], 0.0)

    answer = await peers.call(address, SERVICE, _cell.Cell, advise, timeout_s)
    return " ".join(f"{ticket.worker}={ticket.text}" for ticket in answer.tickets)


async def close(closer: str, server: NodeServer, address: str) -> None:
    """Close the connection by the server; a caller closes it by its time-out."""
    if closer == "server":
        await server.stop()
    if closer == "crowd":
        await call(PeerConnections(), address, "newcomer", LONG_S)


async def play(way: str, closer: str, part: str) -> None:
    service, address = Stubborn(WAYS[way], part), find_free_address()
    server = NodeServer({SERVICE: service}, descriptors=4)
    await server.start(address)
    peers = PeerConnections()
    timeout_s = TIMEOUT_S if closer == "caller" else LONG_S
    stuck = asyncio.ensure_future(call(peers, address, "stuck", timeout_s))
    await service.begun.wait()
    await close(closer, server, address)
    try:
        await stuck
    except CallOutcomeUnknownError:
        print("unknown outcome", flush=True)
    async with asyncio.timeout(LONG_S):
        await service.ended.wait()
    await asyncio.sleep(LATE_S)
    await server.stop()
    server = await serve_node(address, {SERVICE: service})
    print(await call(PeerConnections(), address, "again", LONG_S), flush=True)
    await server.stop()


if __name__ == "__main__":
    asyncio.run(capnp.run(play(*sys.argv[1:])))
