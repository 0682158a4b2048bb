"""Operator commands on a cell: plan changes, show nodes, drain VMs and explain jobs."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from redwingplank.config import parse_documents
from redwingplank.config.apply import (
    ChangeSet,
    make_change_set,
    validate_change,
)
from redwingplank.config.impact import Impact, find_impacts
from redwingplank.config.stored import resolve_live_set
from redwingplank.core import RedwingError
from redwingplank.membership import VmWord
from redwingplank.platform import KeyValueStore, ListedVm, VmList, VmRole
from redwingplank.platform.http import HttpKeyValueStore, HttpVmList, open_session
from redwingplank.rpc import PeerConnections, RpcError
from redwingplank.rpc.membership_calls import MembershipCalls
from redwingplank.rpc.membership_codec import NodeReport
from redwingplank.rpc.scheduler_calls import SchedulerCalls
from redwingplank.runtime.apply import find_base, make_desired_contents, read_live_set
from redwingplank.runtime.jobs import shard_of_job
from redwingplank.runtime.shards import domain_of_shard

__all__ = [
    "CellAddresses",
    "NodeLine",
    "OperatorSession",
    "Plan",
    "UnknownTargetError",
    "make_plan",
    "open_operator_session",
]


class UnknownTargetError(RedwingError):
    """The VM, job or node that an operator named does not exist or does not support the command."""


@dataclass(frozen=True, slots=True)
class CellAddresses:
    """Addresses at which an operator reaches a cell.

    Parameters
    ----------
    store_url, vms_url : str
        URLs of the platform's key-value store and of its list of VMs.
    entries, schedulers : mapping of str to str
        RPC addresses of the nodes by ``"FAILURE_DOMAIN/NAME"``.
    timeout_s : float
        Time limit of each call in seconds.
    """

    store_url: str
    vms_url: str
    entries: Mapping[str, str]
    schedulers: Mapping[str, str]
    timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Changes that an apply would make.

    Parameters
    ----------
    revision : int
        Revision in force when the plan was made.
    change_set : ChangeSet
        Documents that would change, and conflicts with changes by others.
    impacts : tuple of Impact
        Effective values that would change, and how that affects jobs and requests.
    """

    revision: int
    change_set: ChangeSet
    impacts: tuple[Impact, ...]


@dataclass(frozen=True, slots=True)
class NodeLine:
    """State of one node; if it did not answer, `report` is None and `problem` is the error."""

    name: str
    report: NodeReport | None
    problem: str = ""

    def lag(self, newest_revision: int) -> int:
        """Return how many revisions the node is behind, all of them if it did not answer."""
        return newest_revision - (self.report.revision if self.report else 0)


async def make_plan(
    store: KeyValueStore,
    files: Mapping[str, str],
    base_revision: int | None = None,
    is_pruning: bool = False,
) -> Plan:
    """Compare declaration files with the declarations in force, without changing anything.

    Raises
    ------
    FindingsError
        If the files are invalid by themselves or together with the documents in force. It lists
        every fault.
    HistoryTooShortError
        If the history no longer contains the base revision.
    """
    documents = parse_documents(files)
    live = await read_live_set(store)
    base = await find_base(store, live, base_revision)
    change_set = make_change_set(live, base, make_desired_contents(documents, base, is_pruning))
    after = validate_change(live, change_set.changes, documents)
    return Plan(live.head.revision, change_set, find_impacts(resolve_live_set(live), after))


class OperatorSession:
    """Connections to a cell that one operator command uses.

    Parameters
    ----------
    addresses : CellAddresses
        Addresses of the cell.
    store : KeyValueStore
        The platform's key-value store.
    vm_list : VmList
        The platform's list of VMs.
    peers : PeerConnections
        RPC connections to the nodes.
    http_session : aiohttp.ClientSession or None
        Session that `close` closes, if there is one.
    """

    def __init__(
        self,
        addresses: CellAddresses,
        store: KeyValueStore,
        vm_list: VmList,
        peers: PeerConnections,
        http_session: aiohttp.ClientSession | None = None,
    ) -> None:
        self.addresses = addresses
        self.store = store
        self._vm_list = vm_list
        self._peers = peers
        self._http_session = http_session
        self._membership = MembershipCalls(peers)
        self._schedulers = SchedulerCalls(peers)

    async def close(self) -> None:
        """Close all connections."""
        self._peers.close()
        if self._http_session is not None:
            await self._http_session.close()

    async def read_nodes(self) -> list[NodeLine]:
        """Return the state of every entry and scheduler, in the order of their names."""
        nodes = {**self.addresses.entries, **self.addresses.schedulers}
        calls = [self._read_node(name, address) for name, address in sorted(nodes.items())]
        return list(await asyncio.gather(*calls))

    async def drain(self, vm_name: str, is_draining: bool) -> str:
        """Start or end draining a worker VM, or stop new requests to an upstream VM.

        Returns
        -------
        str
            Message that says what was done.

        Raises
        ------
        UnknownTargetError
            If the VM is not on the platform's list or cannot be drained by this command.
        RpcError
            If no node that could execute the command answered.
        """
        vm = await self._find_vm(vm_name)
        if vm.role is VmRole.WORKER:
            return await self._drain_worker(vm, is_draining)
        if vm.role is VmRole.UPSTREAM and is_draining:
            return await self._drain_upstream(vm)
        if vm.role is VmRole.UPSTREAM:
            remedy = "a drained upstream cannot return to service; replace its VM"
        else:
            remedy = (
                "stop its processes with SIGTERM, after which they hand over and finish their work"
            )
        raise UnknownTargetError(
            f"{vm.role} VM {vm_name} cannot be drained by this command: {remedy}"
        )

    async def explain(self, task_or_job_id: str) -> tuple[str, ...]:
        """Return lines that explain why a job or task waits, or where it ran.

        Raises
        ------
        UnknownTargetError
            If the id names no shard.
        RpcError
            If the owner of the shard cannot be found or does not answer.
        """
        shard = shard_of_job(task_or_job_id)
        if not shard:
            raise UnknownTargetError(
                f"{task_or_job_id!r} is no job or task id; use the id that the submission returned"
            )
        address = await self._find_owner(domain_of_shard(shard), shard)
        timeout_s = self.addresses.timeout_s
        return await self._schedulers.explain(address, shard, task_or_job_id, timeout_s)

    async def _read_node(self, name: str, address: str) -> NodeLine:
        try:
            report = await self._membership.status(address, self.addresses.timeout_s)
        except RpcError as error:
            return NodeLine(name, None, str(error))
        return NodeLine(name, report)

    async def _find_vm(self, vm_name: str) -> ListedVm:
        for vm in (await self._vm_list.read()).vms:
            if vm.name == vm_name:
                return vm
        raise UnknownTargetError(f"VM {vm_name} is not on the platform's list; check its name")

    async def _drain_worker(self, vm: ListedVm, is_draining: bool) -> str:
        address = await self._find_owner(vm.failure_domain)
        await self._schedulers.drain(address, vm.name, is_draining, self.addresses.timeout_s)
        if is_draining:
            return f"worker {vm.name} gets no new tasks; its running ones are moved or finish"
        return f"worker {vm.name} gets tasks again"

    async def _drain_upstream(self, vm: ListedVm) -> str:
        """Tell every entry of the failure domain, each of which tells the others."""
        addresses_by_name = self._in_domain(self.addresses.entries, vm.failure_domain)
        calls = [self._mark_leaving(address, vm.name) for address in addresses_by_name.values()]
        problems = dict(zip(addresses_by_name, await asyncio.gather(*calls), strict=True))
        not_told = {name: problem for name, problem in problems.items() if problem}
        if len(not_told) == len(addresses_by_name):
            raise RpcError(
                f"no entry of {vm.failure_domain} accepted the drain command: "
                f"{'; '.join(not_told.values()) or 'none is known'}"
            )
        message = (
            f"upstream {vm.name} gets no new requests of the entries that run now; for those that "
            "start later mark its VM as leaving in the platform's list"
        )
        return f"{message}; not told: {', '.join(not_told)}" if not_told else message

    async def _mark_leaving(self, address: str, vm_name: str) -> str:
        """Tell an entry that a VM is leaving, and return the problem, empty if there is none."""
        try:
            await self._membership.mark(address, VmWord(vm_name), self.addresses.timeout_s)
        except RpcError as error:
            return str(error)
        return ""

    async def _find_owner(self, failure_domain: str, shard: str = "") -> str:
        problems = []
        for address in self._in_domain(self.addresses.schedulers, failure_domain).values():
            try:
                owners = await self._schedulers.owners(address, self.addresses.timeout_s)
            except RpcError as error:
                problems.append(str(error))
                continue
            for owned, (owner, _) in owners.items():
                if owned == shard or (not shard and domain_of_shard(owned) == failure_domain):
                    return owner
        raise RpcError(
            f"no scheduler of {failure_domain} knows an owner: "
            f"{'; '.join(problems) or 'try again in a few seconds'}"
        )

    @staticmethod
    def _in_domain(addresses_by_name: Mapping[str, str], failure_domain: str) -> dict[str, str]:
        return {
            name: address
            for name, address in sorted(addresses_by_name.items())
            if name.partition("/")[0] == failure_domain
        }


def open_operator_session(addresses: CellAddresses) -> OperatorSession:
    """Open a session over HTTP and RPC; call it within ``capnp.kj_loop()``."""
    http_session = open_session()
    return OperatorSession(
        addresses,
        HttpKeyValueStore(http_session, addresses.store_url, addresses.timeout_s),
        HttpVmList(http_session, addresses.vms_url, addresses.timeout_s),
        PeerConnections(),
        http_session,
    )
