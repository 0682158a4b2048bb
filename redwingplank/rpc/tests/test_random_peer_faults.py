"""A search for faults of connections that hide a call from its caller."""

import asyncio
from dataclasses import dataclass

import capnp
from hypothesis import given, seed
from hypothesis import strategies as st

from redwingplank.rpc import PeerConnections
from redwingplank.rpc.tests.test_peer_faults import UNREACHABLE, Peer, call
from redwingplank.standin.tcp_proxy import ConnectionPlan, TcpFaultProxy
from redwingplank.standin.tests.fault_strategies import SEARCH, SEED, connection_plans

SESSIONS_PER_EXAMPLE = 16


@dataclass(frozen=True)
class PlannedCall:
    """A call that is made `at_s` seconds after its session has begun."""

    at_s: float
    timeout_s: float
    delay_s: float


@dataclass(frozen=True)
class Session:
    """Calls of one caller, and the plans of its connections in their order."""

    plans: tuple[ConnectionPlan, ...]
    calls: tuple[PlannedCall, ...]
    is_refused_later: bool


calls = st.builds(
    PlannedCall,
    st.sampled_from([0.0, 0.0, 0.01, 0.05, 0.1, 0.2]),
    st.sampled_from([0.02, 0.1, 0.3]),
    st.sampled_from([0.0, 0.0, 0.05, 0.5]),
)
sessions = st.builds(
    Session,
    st.lists(connection_plans, max_size=4).map(tuple),
    st.lists(calls, min_size=1, max_size=8).map(tuple),
    st.booleans(),
)


async def play(peer: Peer, session: Session, number: int) -> list[str]:
    """Return the calls of a session that were reported as never sent but were received."""
    proxy = TcpFaultProxy(peer.address, session.plans)
    proxy.start()
    peers = PeerConnections()

    async def make_call(planned: PlannedCall, name: str) -> tuple[str, str]:
        await asyncio.sleep(planned.at_s)
        if session.is_refused_later and planned.at_s:
            proxy.stop_listening()
        outcome = await call(peers, proxy.address, name, planned.timeout_s, planned.delay_s)
        return name, outcome

    outcomes = await asyncio.gather(
        *(make_call(one, f"{number}.{index}") for index, one in enumerate(session.calls))
    )
    peers.close()
    await proxy.settle()
    return [name for name, outcome in outcomes if outcome == UNREACHABLE and name in peer.received]


async def play_all(batch: list[Session]) -> list[tuple[Session, list[str]]]:
    """Return the sessions with a wrong outcome."""
    peer = Peer()
    async with peer.running():
        wrong = await asyncio.gather(
            *(play(peer, session, number) for number, session in enumerate(batch))
        )
    return [(session, names) for session, names in zip(batch, wrong, strict=True) if names]


class TestRandomFaults:
    # Guards against orders of faults and calls that nobody thought of.
    def test_never_hide_that_the_peer_was_called(self):
        print(f"REDWINGPLANK_FAULT_SEED={SEED}")

        @seed(SEED)
        @SEARCH
        @given(st.lists(sessions, min_size=SESSIONS_PER_EXAMPLE, max_size=SESSIONS_PER_EXAMPLE))
        def search(batch: list[Session]) -> None:
            assert asyncio.run(capnp.run(play_all(batch))) == []

        search()
