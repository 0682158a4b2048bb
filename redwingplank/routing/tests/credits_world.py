"""Simulation of entries, a lossy network and a store, driven by a seeded random generator."""

from dataclasses import dataclass, field

import numpy as np

from redwingplank.platform import ListedVm, VmRole
from redwingplank.routing.credit_grantor import CreditGrantor
from redwingplank.routing.credit_holder import CreditHolder
from redwingplank.routing.credit_messages import (
    CreditGrant,
    CreditReport,
    CreditSettings,
    ServiceUse,
)

LEASE_S = 2.0
AUTHORITY_S = 1.0
SLOTS = 8
UPSTREAMS = tuple(f"u{number}" for number in range(3))
SETTINGS = CreditSettings(lease_s=LEASE_S, margin_s=0.1, list_lag_s=5.0)


def upstream_vms():
    return [
        ListedVm(name, VmRole.UPSTREAM, "d", "r", f"{name}:80", service="s", slots=SLOTS)
        for name in UPSTREAMS
    ]


@dataclass
class Record:
    """Content of the store: the grantor's lease, and the recorded epoch and members."""

    owner: tuple[str, int] | None = None
    lease_expires_s: float = 0.0
    epoch: int = 0
    members: dict[str, int] = field(default_factory=dict)


@dataclass
class Process:
    """Process of one entry, with a holder and a grantor."""

    name: str
    incarnation: int
    holder: CreditHolder = field(init=False)
    grantor: CreditGrantor = field(init=False)
    believed_grantor: str = ""
    waiting: int = 0
    in_use: dict[str, int] = field(default_factory=dict)
    is_store_reachable: bool = True
    group: int = 0

    def __post_init__(self):
        self.holder = CreditHolder(SETTINGS, self.name, self.incarnation)
        self.grantor = CreditGrantor(SETTINGS)
        self.grantor.set_upstreams(upstream_vms())

    @property
    def identity(self):
        return (self.name, self.incarnation)


class Simulation:
    """Entries under random crashes, message losses and delays, store outages and takeovers."""

    def __init__(self, seed: int, entries: int = 4) -> None:
        self.random = np.random.default_rng(seed)
        self.now_s = 0.0
        self.store = Record()
        self.incarnations = 0
        self.listed = [f"e{number}" for number in range(entries)]
        self.processes = {name: self.make_process(name) for name in self.listed}
        self.network: list[tuple[str, CreditReport | CreditGrant]] = []

    def make_process(self, name: str) -> Process:
        self.incarnations += 1
        return Process(name, self.incarnations)

    def choose_process(self) -> Process | None:
        alive = list(self.processes.values())
        return alive[int(self.random.integers(len(alive)))] if alive else None

    def held_by_upstream(self) -> dict[str, int]:
        totals = dict.fromkeys(UPSTREAMS, 0)
        for process in self.processes.values():
            for upstream, held in process.holder.held(self.now_s).items():
                totals[upstream] += held
        return totals

    def step(self) -> None:
        actions = [
            (self.advance, 6),
            (self.send_report, 10),
            (self.deliver, 16),
            (self.lose_message, 1),
            (self.duplicate, 1),
            (self.change_use, 6),
            (self.renew_authority, 5),
            (self.take_over, 2),
            (self.record_members, 3),
            (self.switch_store_access, 1),
            (self.kill, 0.15),
            (self.start, 2),
            (self.change_believed_grantor, 1),
            (self.partition, 0.4),
            (self.settle, 1.5),
        ]
        weights = np.array([weight for _, weight in actions], dtype=float)
        chosen = int(self.random.choice(len(actions), p=weights / weights.sum()))
        actions[chosen][0]()

    def advance(self) -> None:
        self.now_s += float(self.random.choice([0.01, 0.05, 0.3, 2.5], p=[0.4, 0.38, 0.2, 0.02]))

    def change_use(self) -> None:
        process = self.choose_process()
        if process is None:
            return
        process.waiting = int(self.random.integers(0, 20)) if self.random.random() < 0.5 else 0
        held = process.holder.held(self.now_s)
        process.in_use = {
            upstream: int(self.random.integers(0, count + 1)) for upstream, count in held.items()
        }
        process.holder.release_recalled_credits(self.now_s, process.in_use)

    def partition(self) -> None:
        """Partition the entries into two groups, one of which reaches the store, or heal it."""
        is_cut = self.random.random() < 0.6
        for process in self.processes.values():
            process.group = int(self.random.integers(0, 2)) if is_cut else 0
            process.is_store_reachable = process.group == 0
        if is_cut and self.random.random() < 0.5:
            self.network.clear()

    def post(self, sender: Process, to: str, message: CreditReport | CreditGrant) -> None:
        receiver = self.processes.get(to)
        if receiver is not None and receiver.group == sender.group:
            self.network.append((to, message))

    def send_report(self, process: Process | None = None) -> None:
        process = process or self.choose_process()
        if process is None or not process.believed_grantor:
            return
        use = {"s": ServiceUse(sum(process.in_use.values()), process.waiting)}
        report = process.holder.make_report(self.now_s, use, {})
        self.post(process, process.believed_grantor, report)

    def deliver(self, index: int | None = None) -> None:
        if not self.network:
            return
        index = int(self.random.integers(len(self.network))) if index is None else index
        to, message = self.network.pop(index)
        process = self.processes.get(to)
        if process is None:
            return
        if isinstance(message, CreditGrant):
            process.holder.apply_grant(self.now_s, message, process.in_use)
        elif process.grantor.handle_report(self.now_s, message):
            grant = process.grantor.grant(self.now_s, message.entry)
            if grant is not None:
                self.post(process, message.entry, grant)

    def lose_message(self) -> None:
        if self.network:
            self.network.pop(int(self.random.integers(len(self.network))))

    def duplicate(self) -> None:
        if self.network:
            self.network.append(self.network[int(self.random.integers(len(self.network)))])

    def renew_authority(self, process: Process | None = None) -> None:
        process = process or self.choose_process()
        if process is None or not process.grantor.epoch:
            return
        if not process.is_store_reachable:
            process.grantor.freeze()
            return
        is_owner = self.store.owner == process.identity and self.now_s < self.store.lease_expires_s
        if is_owner:
            self.store.lease_expires_s = self.now_s + AUTHORITY_S
            process.grantor.renew(self.now_s + AUTHORITY_S)
            process.grantor.set_listed_entries(self.now_s, self.listed)
        else:
            process.grantor.resign()

    def take_over(self, process: Process | None = None) -> None:
        process = process or self.choose_process()
        if process is None or not process.is_store_reachable:
            return
        if self.now_s < self.store.lease_expires_s:
            if self.store.owner is not None:
                process.believed_grantor = self.store.owner[0]
            return
        self.store.owner = process.identity
        self.store.epoch += 1
        self.store.lease_expires_s = self.now_s + AUTHORITY_S
        process.grantor.begin_epoch(
            self.now_s, self.store.epoch, self.now_s + AUTHORITY_S, self.store.members
        )
        process.believed_grantor = process.name

    def record_members(self, process: Process | None = None) -> None:
        process = process or self.choose_process()
        if process is None or not process.grantor.epoch or not process.is_store_reachable:
            return
        members = process.grantor.unrecorded_members()
        if members is not None and self.store.epoch == process.grantor.epoch:
            self.store.members = dict(members)
            process.grantor.confirm_recorded_members(members)

    def switch_store_access(self) -> None:
        process = self.choose_process()
        if process is not None:
            process.is_store_reachable = bool(self.random.random() < 0.6)

    def change_believed_grantor(self) -> None:
        process, other = self.choose_process(), self.choose_process()
        if process is not None and other is not None:
            process.believed_grantor = other.name

    def kill(self) -> None:
        process = self.choose_process()
        if process is None:
            return
        del self.processes[process.name]
        if self.random.random() < 0.5:
            self.listed.remove(process.name)

    def start(self) -> None:
        missing = [name for name in self.listed if name not in self.processes]
        if missing and self.random.random() < 0.5:
            self.processes[missing[0]] = self.make_process(missing[0])
        elif len(self.processes) < 4:
            name = f"n{self.incarnations}"
            self.processes[name] = self.make_process(name)
            self.listed.append(name)

    def heal(self, rounds: int = 400) -> None:
        """Remove all faults and run the protocol for some rounds."""
        for name in [name for name in self.listed if name not in self.processes]:
            self.listed.remove(name)
        for process in self.processes.values():
            process.is_store_reachable, process.group = True, 0
            process.waiting, process.in_use = 5, {}
        self.settle(rounds)

    def settle(self, rounds: int = 8) -> None:
        """Let the entries that reach each other exchange messages in the order of sending."""
        for _ in range(rounds):
            self.now_s += 0.05
            for process in list(self.processes.values()):
                self.take_over(process)
                self.send_report(process)
                self.renew_authority(process)
                self.record_members(process)
            for _ in range(len(self.network) * 2):
                self.deliver(0)
