"""Membership state machine of one node: schedules its messages and applies received ones."""

from collections.abc import Mapping
from dataclasses import replace

import numpy as np

from redwingplank.core import choose_by_rendezvous
from redwingplank.membership.actions import (
    MembershipAction,
    MembershipTiming,
    NodeIdentity,
    ReadList,
    SendHeartbeat,
    SendSummary,
)
from redwingplank.membership.detector import FailureDetector, NodeStatus
from redwingplank.membership.domains import DomainTable
from redwingplank.membership.messages import (
    DomainSummary,
    DomainView,
    Heartbeat,
    Peer,
    PeerEvidence,
    VmWord,
)
from redwingplank.membership.reach import Reachability
from redwingplank.membership.upstreams import VmTable
from redwingplank.platform import ListedVm, VmListing, VmRole, VmState

__all__ = ["MembershipState"]

STORE = "store"
VM_LIST = "vm-list"


class MembershipState:
    """Membership state of one node; `tick` returns actions, the other methods apply their results.

    Parameters
    ----------
    identity : NodeIdentity
        Identity of this node.
    incarnation : int
        Incarnation of this process, higher than that of any earlier process of the same name.
    now_s : float
        Present time.
    addresses_by_name : mapping of str to str
        Addresses of the nodes in the settings, by ``"FAILURE_DOMAIN/NAME"``.
    generator : numpy.random.Generator
        Source of jitter and of the choice among addresses.
    timing : MembershipTiming
        Periods and time-outs; the defaults of `MembershipTiming` if not given.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        incarnation: int,
        now_s: float,
        addresses_by_name: Mapping[str, str],
        generator: np.random.Generator,
        timing: MembershipTiming | None = None,
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.is_leaving = False
        self.timing = timing or MembershipTiming()
        self.detector = FailureDetector(self.timing.detector)
        self.vms = VmTable()
        self.reachability = Reachability(now_s)
        self._generator = generator
        self._sequence = 0
        self._seeded_names: set[str] = set()
        self.domains = DomainTable(now_s, self._add_seeds(addresses_by_name))
        self._round_at_s = now_s + generator.uniform(0.0, self.timing.heartbeat_s)
        self._probe_at_s = now_s
        self._summary_at_s = now_s + generator.uniform(0.0, self.timing.summary_s)
        self._list_at_s = now_s
        self._is_urgent = True
        self._sent_views_by_name: dict[str, tuple[tuple[int, tuple[str, ...]] | None, float]] = {}

    def tick(self, now_s: float) -> list[MembershipAction]:
        """Advance to the present time and return the messages to send and the list to read."""
        if any(node.status is NodeStatus.SUSPECT for node in self.detector.tick(now_s)):
            self._is_urgent = True
        actions: list[MembershipAction] = []
        self._tick_heartbeats(now_s, actions)
        self._tick_summaries(now_s, actions)
        if now_s >= self._list_at_s:
            self._list_at_s = now_s + self._list_period_s() * self._generator.uniform(0.75, 1.25)
            actions.append(ReadList(self.identity.failure_domain))
        return actions

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> Heartbeat:
        """Apply a received heartbeat and return the answer to it."""
        is_new = self._apply_heartbeat(now_s, heartbeat)
        vouched = self.detector.find_evidence(now_s, heartbeat.suspected)
        answer = self._make_heartbeat(now_s, heartbeat.name, vouched)
        if is_new:
            return answer
        return self._with_known_incarnation(answer, heartbeat)

    def on_answer(self, now_s: float, heartbeat: Heartbeat) -> None:
        """Apply the answer to a heartbeat of this node."""
        self._apply_heartbeat(now_s, heartbeat)

    def on_summary(self, now_s: float, summary: DomainSummary) -> DomainSummary:
        """Apply a summary or the answer to one, and return the summary of this failure domain."""
        if summary.failure_domain != self.identity.failure_domain:
            self.domains.apply_summary(now_s, summary)
        return self._make_summary()

    def on_summary_failed(self, failure_domain: str) -> None:
        """Handle the failure to send a summary to a failure domain."""
        self.domains.discard_speaker_address(failure_domain)

    def on_list(self, now_s: float, listing: VmListing) -> None:
        """Apply the platform's VM list of this failure domain."""
        self.reachability.record_call(VM_LIST, now_s, is_reached=True)
        self.vms.replace_list(now_s, listing.vms)
        for vm in listing.vms:
            if vm.state is VmState.LEAVING and vm.role is not VmRole.WORKER:
                self.mark(now_s, VmWord(vm.name))
        listed = {vm.name: vm for vm in self.vms.listed(VmRole.ENTRY)}
        for vm in listed.values():
            is_other = vm.name != self.identity.name and vm.name not in self._seeded_names
            if is_other and not self.vms.has_word(vm.name):
                self.detector.add(vm.name, vm.address)
        for name in list(self.detector.nodes_by_name):
            if name not in listed and name not in self._seeded_names:
                self.detector.remove(name)

    def on_list_failed(self, now_s: float) -> None:
        """Record a failure to read the platform's VM list; the last list read stays in use."""
        self.reachability.record_call(VM_LIST, now_s, is_reached=False)

    def note_store(self, now_s: float, is_reached: bool) -> None:
        """Record whether a call of this node reached the platform's store."""
        self.reachability.record_call(STORE, now_s, is_reached=is_reached)

    def mark(self, now_s: float, word: VmWord) -> None:
        """Record that a VM is leaving or dead, whatever the list says, and report it at once."""
        if self.vms.record_word(now_s, word):
            self._is_urgent = True

    def leave(self) -> None:
        """Announce to the peers at the next tick that this node stops."""
        self.is_leaving = True
        self._is_urgent = True

    def live_upstreams(self) -> tuple[ListedVm, ...]:
        """Return the upstreams of this failure domain that may be given new work."""
        return self.vms.live(VmRole.UPSTREAM)

    def live_peers(self) -> tuple[Peer, ...]:
        """Return the other live nodes of this failure domain, without leaving ones."""
        return tuple(
            Peer(node.name, self.identity.failure_domain, node.address)
            for node in self.detector
            if node.is_alive and not node.is_leaving
        )

    def cut_off_from(self, now_s: float) -> tuple[str, ...]:
        """Return the failure domains and platform services that this node is cut off from.

        Returns
        -------
        tuple of str
            Names of failure domains, ``"store"`` and ``"vm-list"``.
        """
        return self.domains.cut_off(now_s) + self.reachability.cut_off(now_s)

    @property
    def is_urgent(self) -> bool:
        """Whether a heartbeat should be sent at once instead of in the next period."""
        return self._is_urgent

    def is_speaker(self) -> bool:
        """Return whether this node exchanges summaries for its failure domain."""
        names = tuple(peer.name for peer in self.live_peers())
        if self.is_leaving and names:
            return False
        return _choose_speaker((self.identity.name, *names)) == self.identity.name

    def _list_period_s(self) -> float:
        return max(self.timing.list_s, self.vms.listed_count / self.timing.listed_vms_per_s)

    def _add_seeds(self, addresses_by_name: Mapping[str, str]) -> dict[str, tuple[str, ...]]:
        addresses_by_domain: dict[str, tuple[str, ...]] = {}
        for full_name, address in addresses_by_name.items():
            failure_domain, _, name = full_name.partition("/")
            if failure_domain != self.identity.failure_domain:
                known = addresses_by_domain.get(failure_domain, ())
                addresses_by_domain[failure_domain] = (*known, address)
            elif name != self.identity.name:
                self._seeded_names.add(name)
                self.detector.add(name, address)
        return addresses_by_domain

    def _apply_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> bool:
        if heartbeat.failure_domain != self.identity.failure_domain:
            return True
        is_new = self.detector.handle_heartbeat(now_s, heartbeat)
        for evidence in heartbeat.suspected + heartbeat.vouched:
            if evidence.name == self.identity.name:
                self._refute(evidence)
        for evidence in heartbeat.vouched:
            self.detector.apply_evidence(now_s, evidence)
        for word in heartbeat.words:
            self.vms.record_word(now_s, word)
        for view in heartbeat.domains:
            self.domains.apply_view(now_s, view)
        if heartbeat.is_speaker:
            self.reachability.record_peer_report(
                STORE, now_s, is_reached=not heartbeat.is_store_cut_off
            )
        return is_new

    def _refute(self, evidence: PeerEvidence) -> None:
        """Raise the incarnation of this node above one in which a peer suspects or knows it."""
        if evidence.incarnation >= self.incarnation:
            self.incarnation = evidence.incarnation + 1
            self._sequence = 0
            self._is_urgent = True

    def _with_known_incarnation(self, answer: Heartbeat, heartbeat: Heartbeat) -> Heartbeat:
        """Return an answer that makes the sender of an ignored heartbeat raise its incarnation.

        That is needed if the sender is known with a later incarnation or as dead.
        """
        node = self.detector.nodes_by_name[heartbeat.name]
        if node.status is not NodeStatus.DEAD and node.incarnation <= heartbeat.incarnation:
            return answer
        evidence = PeerEvidence(node.name, node.incarnation)
        return replace(answer, suspected=(*answer.suspected, evidence))

    def _tick_heartbeats(self, now_s: float, actions: list[MembershipAction]) -> None:
        is_round = now_s >= self._round_at_s
        is_probe = now_s >= self._probe_at_s
        if not is_round and not self._is_urgent:
            return
        if is_round:
            self._round_at_s = max(self._round_at_s + self.timing.heartbeat_s, now_s)
        if is_probe:
            self._probe_at_s = now_s + self.timing.probe_s * self._generator.uniform(0.75, 1.25)
        is_urgent, self._is_urgent = self._is_urgent, False
        due = [
            node for node in self.detector if self._is_due(now_s, node.name, is_urgent, is_probe)
        ]
        actions.extend(
            SendHeartbeat(node.address, self._make_heartbeat(now_s, node.name)) for node in due
        )

    def _is_due(self, now_s: float, name: str, is_urgent: bool, is_probe: bool) -> bool:
        """Return whether a heartbeat has to be sent to a node.

        The answer is a heartbeat too, so of two nodes only the one with the lower name sends in
        every period. The other one sends when it has received none for 1.25 periods.
        """
        node = self.detector.nodes_by_name[name]
        if not node.is_alive:
            return is_probe
        if is_urgent or self.identity.name < name:
            return True
        return now_s - node.heartbeat_at_s > 1.25 * self.timing.heartbeat_s

    def _tick_summaries(self, now_s: float, actions: list[MembershipAction]) -> None:
        if now_s < self._summary_at_s:
            return
        self._summary_at_s = max(self._summary_at_s + self.timing.summary_s, now_s)
        if not self.is_speaker():
            return
        summary = self._make_summary()
        for name in self.domains:
            addresses = self.domains.addresses_of(name)
            if addresses and self._starts_summary(now_s, name):
                address = addresses[int(self._generator.integers(len(addresses)))]
                actions.append(SendSummary(name, address, summary))

    def _starts_summary(self, now_s: float, name: str) -> bool:
        """Return whether this failure domain has to start the exchange with another one.

        The one with the lower name does; the other one starts it after 1.25 periods without news.
        """
        if self.identity.failure_domain < name:
            return True
        return not self.domains.was_updated_within(now_s, name, 1.25 * self.timing.summary_s)

    def _make_heartbeat(
        self, now_s: float, receiver: str, vouched: tuple[PeerEvidence, ...] = ()
    ) -> Heartbeat:
        self._sequence += 1
        is_speaker = self.is_speaker()
        return Heartbeat(
            name=self.identity.name,
            failure_domain=self.identity.failure_domain,
            address=self.identity.address,
            incarnation=self.incarnation,
            sequence=self._sequence,
            is_leaving=self.is_leaving,
            suspected=self.detector.suspected(now_s),
            vouched=vouched,
            words=self.vms.recent_words(now_s),
            domains=self._views_for(now_s, receiver) if is_speaker else (),
            is_speaker=is_speaker,
            is_store_cut_off=STORE in self.reachability.cut_off(now_s),
        )

    def _views_for(self, now_s: float, receiver: str) -> tuple[DomainView, ...]:
        current = (self.domains.version, self.domains.cut_off(now_s))
        last_sent, last_sent_at_s = self._sent_views_by_name.get(receiver, (None, 0.0))
        if current == last_sent and now_s - last_sent_at_s < self.timing.views_s:
            return ()
        self._sent_views_by_name[receiver] = (current, now_s)
        return self.domains.views(now_s)

    def _make_summary(self) -> DomainSummary:
        peers = self.live_peers()
        leaving = sum(1 for node in self.detector if node.is_alive and node.is_leaving)
        speaker = _choose_speaker((self.identity.name, *(peer.name for peer in peers)))
        addresses_by_name = {peer.name: peer.address for peer in peers}
        return DomainSummary(
            self.identity.failure_domain,
            addresses_by_name.get(speaker, self.identity.address),
            len(peers) + (0 if self.is_leaving else 1),
            leaving + (1 if self.is_leaving else 0),
        )


def _choose_speaker(names: tuple[str, ...]) -> str:
    """Return the speaker of a failure domain; nodes with equal lists choose the same one."""
    return choose_by_rendezvous("", names) or ""
