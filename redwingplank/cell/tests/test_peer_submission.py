"""Tests of storing jobs through peers while nodes or the store are away."""

import asyncio
from types import SimpleNamespace

from redwingplank.cell import peer_submission
from redwingplank.cell.circuit_breaker import CircuitBreaker
from redwingplank.cell.peer_submission import DOMAIN_OPEN_S, PeerSubmission
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.cell.system_entries import EpochEntry, NodeEntry
from redwingplank.rpc.errors import CallOutcomeUnknownError

ADDRESSES_BY_DOMAIN = {"a": ("a:1", "a:2"), "b": ("b:1", "b:2"), "c": ("c:1", "c:2")}
JOBS = [f"job{number}" for number in range(20)]


class FakePeers:
    """Peers that store jobs; those in `hanging` domains do not answer, `refusing` ones refuse."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.hanging: set[str] = set()
        self.refusing: set[str] = set()

    async def submit(self, address: str, job_id: str, submission: bytes, timeout_s: float) -> str:
        self.calls.append(address)
        await asyncio.sleep(0)
        domain = address.partition(":")[0]
        if domain in self.hanging:
            raise CallOutcomeUnknownError("no answer")
        return "NOT_RUN" if domain in self.refusing else "ACCEPTED"


class Clock:
    def __init__(self, monkeypatch) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(peer_submission, "now_s", lambda: self.now_s)


def make_submission(peers):
    nodes = {
        address: NodeEntry(address, domain)
        for domain, addresses in ADDRESSES_BY_DOMAIN.items()
        for address in addresses
    }
    context = SimpleNamespace(
        settings=SimpleNamespace(peer_address="c:1"), calls=peers, log=lambda *_, **__: None
    )
    owner = EpochEntry(1, "a1", "a:1")
    membership = SimpleNamespace(nodes_by_name=nodes, owner=owner)
    return PeerSubmission(context, membership)


def store_all(submission, clock):
    async def store(job_id):
        outcome, _ = await submission.store(job_id, b"{}", clock.now_s + 3.0, SubmitOutcome.NOT_RUN)
        return outcome

    async def run():
        return [await store(job_id) for job_id in JOBS]

    return asyncio.run(run())


class TestCutDomain:
    # Guards against answering all callers of a cut domain with "may be stored", one for each peer.
    def test_only_the_first_jobs_have_an_unknown_outcome(self, monkeypatch):
        clock, peers = Clock(monkeypatch), FakePeers()
        peers.hanging = {"a", "b"}
        peers.refusing = {"c"}
        outcomes = store_all(make_submission(peers), clock)
        assert outcomes.count(SubmitOutcome.UNKNOWN) <= len(peers.hanging)
        assert outcomes[-1] is SubmitOutcome.NOT_RUN

    # Guards against never asking a domain again that is reachable again.
    def test_peers_store_jobs_again_once_the_cut_is_over(self, monkeypatch):
        clock, peers = Clock(monkeypatch), FakePeers()
        peers.hanging = {"a", "b"}
        submission = make_submission(peers)
        store_all(submission, clock)
        peers.hanging = set()
        clock.now_s += DOMAIN_OPEN_S
        assert set(store_all(submission, clock)) == {SubmitOutcome.ACCEPTED}


class TestStoreAwayForAll:
    # Guards against two calls of peers for each refused job while no node reaches the store.
    def test_peers_that_refused_are_not_asked_for_each_job(self, monkeypatch):
        clock, peers = Clock(monkeypatch), FakePeers()
        peers.refusing = {"a", "b", "c"}
        outcomes = store_all(make_submission(peers), clock)
        assert set(outcomes) == {SubmitOutcome.NOT_RUN}
        assert len(peers.calls) <= len(ADDRESSES_BY_DOMAIN)


class TestCircuitBreaker:
    # Guards against a burst of calls to a target that is still away, at the end of each pause.
    def test_one_call_probes_after_the_pause(self):
        breaker = CircuitBreaker(open_s=1.0)
        breaker.record_failure(10.0)
        assert not breaker.allow(10.9)
        assert breaker.allow(11.0)
        assert not breaker.allow(11.0)
        breaker.record_success()
        assert breaker.allow(11.1)
