"""Calls of peers through a proxy that cuts or holds their bytes, and calls of a paused peer.

`PeerUnreachableError` says that the peer was never called, and never will be by this call.
"""

import asyncio
import contextlib
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import capnp
import pytest

from redwingplank.rpc import (
    PeerConnections,
    load_schema,
    serve_node,
)
from redwingplank.rpc.errors import RpcError
from redwingplank.rpc.tests.recording_peer import SERVICE, Recorder
from redwingplank.standin.loopback import find_free_address
from redwingplank.standin.tcp_proxy import ConnectionPlan, Fault, FlowPlan, TcpFaultProxy

CASES_AT_ONCE = 24
TIMEOUT_S = 0.15
HOLD_S = 0.25
"""Longer than callers wait."""
LONG_S = 30.0
"""Longer than a busy machine takes for a call."""
NOTICED_FAULTS = (Fault.CLOSE, Fault.RESET)
"""Faults that end a call at once, so that its outcome does not depend on a time-out."""
WORD_BYTES = 8
"""Messages consist of words of this size."""
UNREACHABLE = "PeerUnreachableError"
UNKNOWN = "CallOutcomeUnknownError"


def run(coroutine):
    return asyncio.run(capnp.run(coroutine))


async def call(peers, address, name, timeout_s=TIMEOUT_S, delay_s=0.0) -> str:
    """Call a recorder; return the name of the error, empty if it answered."""
    interface = load_schema("node").Node
    try:
        await peers.call(
            address, SERVICE, interface, lambda peer: peer.open(7, f"{delay_s} {name}"), timeout_s
        )
    except RpcError as error:
        return type(error).__name__
    return ""


@dataclass(frozen=True)
class Case:
    """A call over a connection with a plan, after `earlier` calls over the same one."""

    name: str
    plan: ConnectionPlan
    earlier: int = 0
    timeout_s: float = TIMEOUT_S


@dataclass(frozen=True)
class Verdict:
    """Outcomes by the name of the call, and the names of the calls that the peer received."""

    outcomes_by_name: dict[str, str]
    received: set[str]

    @property
    def wrong(self) -> set[str]:
        """Calls that the peer received although their caller was told the contrary."""
        outcomes = self.outcomes_by_name
        return {name for name in self.received if outcomes.get(name) == UNREACHABLE}


class Peer:
    """A recorder in this process."""

    def __init__(self) -> None:
        self.address = find_free_address()
        self.received: list[str] = []
        self._has_arrived = asyncio.Event()

    async def wait_for(self, name: str) -> None:
        """Wait until a call arrives."""
        async with asyncio.timeout(LONG_S):
            while name not in self.received:
                self._has_arrived.clear()
                await self._has_arrived.wait()

    def _record(self, name: str) -> None:
        self.received.append(name)
        self._has_arrived.set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        server = await serve_node(self.address, {SERVICE: Recorder(self._record)})
        try:
            yield
        finally:
            await server.stop()


async def play(peer: Peer, case: Case) -> tuple[str, str]:
    """Make the calls of a case; return the name of the last one and its outcome."""
    proxy = TcpFaultProxy(peer.address, [case.plan])
    proxy.start()
    peers = PeerConnections()
    for number in range(case.earlier):
        await call(peers, proxy.address, f"{case.name} earlier {number}", case.timeout_s)
    outcome = await call(peers, proxy.address, case.name, case.timeout_s)
    peers.close()
    await proxy.settle()
    return case.name, outcome


async def play_all(cases: Sequence[Case]) -> Verdict:
    peer = Peer()
    turn = asyncio.Semaphore(CASES_AT_ONCE)

    async def play_in_turn(case: Case) -> tuple[str, str]:
        async with turn:
            return await play(peer, case)

    async with peer.running():
        outcomes = await asyncio.gather(*(play_in_turn(case) for case in cases))
    return Verdict(dict(outcomes), set(peer.received))


async def measure_bytes(earlier: int) -> tuple[int, int]:
    """Return how many bytes the calls of a case take in both directions."""
    peer = Peer()
    async with peer.running():
        proxy = TcpFaultProxy(peer.address)
        proxy.start()
        peers = PeerConnections()
        for number in range(earlier + 1):
            assert await call(peers, proxy.address, f"call {number}", LONG_S) == ""
        counts = proxy.bytes_up, proxy.bytes_down
        peers.close()
        await proxy.settle()
    return counts


def make_cases(fault: Fault, earlier: int) -> list[Case]:
    """Return a case for each word of the calls at which a flow is cut."""
    up, down = run(measure_bytes(earlier))
    timeout_s = LONG_S if fault in NOTICED_FAULTS else TIMEOUT_S
    cases = []
    for count in range(0, up + WORD_BYTES, WORD_BYTES):
        plan = ConnectionPlan(up=FlowPlan(count, fault, HOLD_S))
        cases.append(Case(f"{fault.name} up {count}", plan, earlier, timeout_s))
    for count in range(0, down + WORD_BYTES, WORD_BYTES):
        plan = ConnectionPlan(down=FlowPlan(count, fault, HOLD_S))
        cases.append(Case(f"{fault.name} down {count}", plan, earlier, timeout_s))
    return cases


async def read_until(process: Process, last: str) -> set[str]:
    """Return the names that a recorder in a process of its own has received up to `last`."""
    assert process.stdout is not None
    names: set[str] = set()
    async with asyncio.timeout(LONG_S):
        while last not in names:
            names.add((await process.stdout.readline()).decode().strip())
    return names


@contextlib.asynccontextmanager
async def paused_peer(address: str) -> AsyncIterator[Process]:
    """Provide a recorder in a process of its own, which is paused once it listens."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "redwingplank.rpc.tests.recording_peer",
        address,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await read_until(process, "ready")
        process.send_signal(signal.SIGSTOP)
        yield process
    finally:
        process.kill()
        await process.wait()


class TestCutConnections:
    # Guards against a peer that is called after all by a call that was reported as never sent: cut
    # or held before the bootstrap, after it, within the call, after its effect, in its answer.
    @pytest.mark.parametrize("earlier", [0, 1])
    @pytest.mark.parametrize("fault", list(Fault))
    def test_at_any_word_never_hide_that_the_peer_was_called(self, fault, earlier):
        verdict = run(play_all(make_cases(fault, earlier)))
        assert verdict.wrong == set()
        if fault in NOTICED_FAULTS:
            certain = set() if earlier else {UNREACHABLE}
            assert set(verdict.outcomes_by_name.values()) == {"", UNKNOWN} | certain


class TestConnect:
    # Guards against a refused connect that counts as a call with an unknown outcome.
    def test_refused_is_certain(self):
        async def scenario() -> str:
            return await call(PeerConnections(), find_free_address(), "one")

        assert run(scenario()) == UNREACHABLE

    # Guards against a call that is under way and counts as never sent when its peer stops.
    @pytest.mark.parametrize("is_shared", [False, True])
    def test_lost_by_the_stop_of_a_peer_is_certain_only_before_the_call(self, is_shared):
        async def scenario() -> tuple[str, str, list[str]]:
            peer, peers = Peer(), PeerConnections()
            async with peer.running():
                if is_shared:
                    await call(peers, peer.address, "earlier", LONG_S)
                under_way = asyncio.ensure_future(call(peers, peer.address, "one", LONG_S, LONG_S))
                await peer.wait_for("one")
            outcome = await under_way
            next_outcome = await call(peers, peer.address, "two")
            peers.close()
            return outcome, next_outcome, peer.received

        under_way, next_outcome, received = run(scenario())
        assert under_way == UNKNOWN
        assert next_outcome == UNREACHABLE
        assert "two" not in received


class TestSharedConnection:
    # Guards against a call that is taken for never sent because another one closed its connection.
    def test_closed_by_another_calls_time_out_leaves_the_outcome_unknown(self):
        async def scenario() -> tuple[list[str], list[str]]:
            peer, peers = Peer(), PeerConnections()
            async with peer.running():
                await call(peers, peer.address, "earlier", LONG_S)
                calls = [call(peers, peer.address, f"{n}", LONG_S, LONG_S) for n in range(3)]
                calls.append(call(peers, peer.address, "short", TIMEOUT_S, 30.0))
                outcomes = await asyncio.gather(*calls)
            peers.close()
            return outcomes, peer.received

        outcomes, received = run(scenario())
        assert set(outcomes) == {UNKNOWN}
        assert {"0", "1", "2", "short"} <= set(received)

    # Guards against a call that begins as its connection is closed, and counts as never sent.
    def test_closed_while_other_calls_begin_hides_no_call(self):
        async def scenario() -> Verdict:
            peer, peers = Peer(), PeerConnections()
            outcomes: dict[str, str] = {}

            async def call_after(delay_s: float, name: str) -> None:
                await asyncio.sleep(delay_s)
                outcomes[name] = await call(peers, peer.address, name, LONG_S, 0.01)

            async with peer.running():
                stuck = [call(peers, peer.address, f"stuck {n}", 0.02 * n, 30.0) for n in range(9)]
                others = [call_after(0.001 * n, f"call {n}") for n in range(200)]
                await asyncio.gather(*stuck, *others)
                peers.close()
                await asyncio.sleep(HOLD_S)
            return Verdict(outcomes, set(peer.received))

        verdict = run(scenario())
        assert verdict.wrong == set()
        assert "" in verdict.outcomes_by_name.values()


class TestPausedPeer:
    # Guards against a call that waits in the buffers of a paused peer and counts as never sent.
    @pytest.mark.parametrize(("is_shared", "expected"), [(False, UNREACHABLE), (True, UNKNOWN)])
    def test_is_not_called_late_by_a_call_that_was_never_sent(self, is_shared, expected):
        async def scenario() -> tuple[str, set[str]]:
            address, peers = find_free_address(), PeerConnections()
            async with paused_peer(address) as process:
                if is_shared:
                    process.send_signal(signal.SIGCONT)
                    assert await call(peers, address, "earlier", LONG_S) == ""
                    process.send_signal(signal.SIGSTOP)
                outcome = await call(peers, address, "one")
                peers.close()
                process.send_signal(signal.SIGCONT)
                assert await call(peers, address, "last", LONG_S) == ""
                peers.close()
                return outcome, await read_until(process, "last")

        outcome, received = run(scenario())
        assert outcome == expected
        assert not (outcome == UNREACHABLE and "one" in received)
