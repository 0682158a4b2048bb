"""Calls whose connection is closed while they are served, most in a process of their own."""

import asyncio
import os
import subprocess
import sys

import capnp
import pytest

from redwingplank.rpc import CallOutcomeUnknownError, NodeServer, PeerConnections
from redwingplank.rpc.tests.stubborn_peer import CLOSERS, LONG_S, SERVICE, WAYS, Stubborn, call
from redwingplank.standin.loopback import find_free_address

ENDED = {"give_up", "fail"}
"""Ways in which a handler ends as it is cancelled."""
OVERWRITE_FREED = {"MALLOC_PERTURB_": "165"}
"""Has the C library overwrite memory that is freed, so that its use shows each time."""


def play(way: str, closer: str, part: str) -> list[str]:
    """Return the lines that the process has printed; it has to end well."""
    command = [sys.executable, "-m", "redwingplank.rpc.tests.stubborn_peer", way, closer, part]
    environment = {**os.environ, **OVERWRITE_FREED}
    played = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=LONG_S
    )
    assert played.returncode == 0, played.stderr
    return played.stdout.splitlines()


@pytest.mark.parametrize("closer", CLOSERS)
@pytest.mark.parametrize("way", WAYS)
class TestHandlerOfADroppedCall:
    # Guards against a process that ends with SIGSEGV, as the results of a call are filled in after
    # its connection was closed and its memory freed.
    def test_may_return_results(self, way, closer):
        went_on = [] if way in ENDED else ["went on"]
        lines = play(way, closer, "results")
        assert sorted(lines) == sorted([*went_on, "unknown outcome", "w1=again w2=again"])

    # Guards against a handler that reads the parameters of a call in memory that was freed.
    def test_may_read_its_parameters(self, way, closer):
        went_on = [] if way in ENDED else ["went on", "w1 w2"]
        lines = play(way, closer, "parameters")
        assert sorted(lines) == sorted([*went_on, "unknown outcome", "w1=again w2=again"])


class TestStop:
    # Guards against a server that never stops, as a handler goes on after it was cancelled.
    def test_does_not_wait_for_handlers_without_limit(self, monkeypatch):
        monkeypatch.setattr("redwingplank.rpc.server.END_TIMEOUT_S", 0.05)

        async def scenario() -> tuple[bool, bool]:
            may_end = asyncio.Event()

            async def refuse(work):
                try:
                    await work()
                except asyncio.CancelledError:
                    await may_end.wait()

            service, address = Stubborn(refuse, "results"), find_free_address()
            server = NodeServer({SERVICE: service})
            await server.start(address)
            stuck = asyncio.ensure_future(call(PeerConnections(), address, "stuck", LONG_S))
            await service.begun.wait()
            await server.stop()
            has_ended = service.ended.is_set()
            may_end.set()
            with pytest.raises(CallOutcomeUnknownError):
                await stuck
            await service.ended.wait()
            return has_ended, service.ended.is_set()

        async def bounded() -> tuple[bool, bool]:
            async with asyncio.timeout(LONG_S):
                return await scenario()

        assert asyncio.run(capnp.run(bounded())) == (False, True)

    # Guards against handlers that are still under way when what they use is closed.
    def test_ends_the_handlers(self):
        async def scenario() -> bool:
            async def give_up(work):
                await work()

            service, address = Stubborn(give_up, "results"), find_free_address()
            server = NodeServer({SERVICE: service})
            await server.start(address)
            stuck = asyncio.ensure_future(call(PeerConnections(), address, "stuck", LONG_S))
            await service.begun.wait()
            await server.stop()
            has_ended = service.ended.is_set()
            await asyncio.wait((stuck,))
            return has_ended and isinstance(stuck.exception(), CallOutcomeUnknownError)

        assert asyncio.run(capnp.run(scenario()))
