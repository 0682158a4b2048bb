"""Exchange of slot credits between the entries of a failure domain."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from redwingplank.core import Clock, log_event, make_logger
from redwingplank.platform import KeyValueStore, ListedVm, PlatformError, VmRole
from redwingplank.routing import Router
from redwingplank.routing.credit_grantor import CreditGrantor
from redwingplank.routing.credit_holder import CreditHolder
from redwingplank.routing.credit_messages import (
    CreditGrant,
    CreditReport,
    CreditSettings,
    ServiceUse,
)
from redwingplank.rpc import PeerConnections, RpcError, is_refused, load_schema
from redwingplank.rpc.credit_messages import read_grant, read_report, write_grant, write_report
from redwingplank.runtime.credit_authority import CreditAuthority, GrantorPlace

__all__ = [
    "CREDITS_SERVICE",
    "CreditClient",
    "CreditExchange",
    "CreditService",
    "EntryPlace",
    "RpcCreditClient",
]

CREDITS_SERVICE = "credits"
LONG_POLL_S = 2.0
"""Longest time that the grantor delays its answer to a report whose grant has not changed."""
MIN_WAIT_S = 0.001
MIN_INTERVAL_S = 0.01
"""Pause between the answer to a report and the next report."""
CHECK_INTERVAL_S = 0.02
"""Interval of checks for recalled credits that became free and for an expired lease."""
CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.5
"""Pause before a grantor that was not found is searched for again."""
REPEAT_WHILE_WAITING_S = 0.04
"""Shortest interval of reports that repeat a demand while requests wait."""
PROBE_INTERVAL_S = 0.5
"""Interval of checks whether the process of an unreachable entry has stopped."""

_schema: Any = load_schema("credits")


@dataclass(frozen=True, slots=True)
class EntryPlace:
    """Identity, address and failure domain of this entry process.

    Parameters
    ----------
    entry, address, failure_domain : str
        Name of the entry, ``"IP:PORT"`` at which it listens, and its failure domain.
    incarnation : int
        Number that grows with each start of a process of this name, such as the start time in
        nanoseconds since 1970.
    settings : CreditSettings
        Lease times and shares of the credits.
    addresses_by_entry : mapping of str to str
        Addresses of the entries of the failure domain that are known from the settings.
    """

    entry: str
    address: str
    failure_domain: str
    incarnation: int
    settings: CreditSettings = field(default_factory=CreditSettings)
    addresses_by_entry: Mapping[str, str] = field(default_factory=dict)


class CreditClient(ABC):
    """Sends credit reports to the grantor."""

    @abstractmethod
    async def exchange(self, address: str, report: CreditReport) -> CreditGrant | None:
        """Return the grant, None if the process is not the grantor; raises `RpcError`."""

    @abstractmethod
    async def is_refused(self, address: str) -> bool:
        """Return whether the VM answers but no process listens at the address any more."""


class RpcCreditClient(CreditClient):
    """Sends credit reports over RPC."""

    def __init__(self, peers: PeerConnections) -> None:
        self._peers = peers

    async def exchange(self, address: str, report: CreditReport) -> CreditGrant | None:
        message = write_report(report)
        response = await self._peers.call(
            address,
            CREDITS_SERVICE,
            _schema.Credits,
            lambda peer: peer.exchange(message),
            CALL_TIMEOUT_S,
        )
        return read_grant(response.grant) if response.isAnswered else None

    async def is_refused(self, address: str) -> bool:
        return await is_refused(address)


class CreditService(_schema.Credits.Server):
    """RPC service that answers the credit reports of other entries."""

    def __init__(self, exchange: "CreditExchange") -> None:
        self._exchange = exchange

    async def exchange(self, report: Any, _context: Any, **_: Any) -> Any:
        grant = await self._exchange.answer(read_report(report))
        return (False, _schema.Grant.new_message()) if grant is None else (True, write_grant(grant))


class CreditExchange:
    """Keeps a router supplied with credits, and grants them when this process is the grantor.

    Parameters
    ----------
    place : EntryPlace
        Identity and address of this process.
    router : Router
        Router that spends the credits; its settings have ``uses_credits`` set.
    on_credits : callable
        Called after the router's credits changed, so that waiting requests are considered again.
    store : KeyValueStore
        Store that holds the grantor's lease.
    client : CreditClient
        Sends reports to a grantor in another process.
    clock : Clock
        The router's clock.
    """

    def __init__(
        self,
        place: EntryPlace,
        router: Router,
        on_credits: Callable[[], None],
        store: KeyValueStore,
        client: CreditClient,
        clock: Clock,
    ) -> None:
        self._place = place
        self._router = router
        self._on_credits = on_credits
        self._client = client
        self._clock = clock
        self._holder = CreditHolder(place.settings, place.entry, place.incarnation)
        self._grantor = CreditGrantor(place.settings)
        self._authority = CreditAuthority(
            store,
            place.failure_domain,
            GrantorPlace(place.entry, place.address, place.incarnation),
            self._grantor,
            clock,
            self._notify_grants_changed,
        )
        self._grantor_place: GrantorPlace | None = None
        self._grants_event = asyncio.Event()
        self._report_event = asyncio.Event()
        self._is_leaving = False
        self._last_total_by_entry: dict[str, int] = {}
        self._router_credits: Mapping[str, int] = {}
        self._logger = make_logger("credits")

    async def run(self) -> None:
        """Exchange reports and grants until cancelled."""
        await asyncio.gather(
            self._authority.run(),
            self._exchange_forever(),
            self._check_forever(),
            self._probe_forever(),
        )

    def set_listed(self, vms: Iterable[ListedVm]) -> None:
        """Apply the platform's VM list: upstreams to divide, and entries that still exist."""
        own = [vm for vm in vms if vm.failure_domain == self._place.failure_domain]
        upstreams = [vm for vm in own if vm.role is VmRole.UPSTREAM]
        entries = [vm.name for vm in own if vm.role is VmRole.ENTRY]
        self._grantor.set_upstreams(upstreams)
        self._grantor.set_listed_entries(self._clock.now_s(), entries)
        self._notify_grants_changed()

    def held(self) -> Mapping[str, int]:
        """Return the credits that this entry holds at present, by upstream."""
        return self._holder.held(self._clock.now_s())

    async def answer(self, report: CreditReport) -> CreditGrant | None:
        """Return the grant for an entry's report, None if the report cannot be answered.

        The answer is delayed until the grant differs from what the entry holds, for at most
        `LONG_POLL_S`. None means that this process is not the grantor, that the entry
        sent a later report, or that this was the entry's last report.
        """
        if not self._grantor.handle_report(self._clock.now_s(), report):
            return None
        if self._grantor.unrecorded_members() is not None:
            await self._authority.record_members()
        if report.is_last or self._is_urgent(report):
            self._notify_grants_changed()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + LONG_POLL_S
        while self._grantor.is_latest(report):
            remaining_s = deadline_s - loop.time()
            changes = self._grantor.would_change(self._clock.now_s(), report.entry)
            if changes or remaining_s <= MIN_WAIT_S:
                return self._grantor.grant(self._clock.now_s(), report.entry)
            await _wait_for_event(self._grants_event, remaining_s)
        return None

    async def leave(self) -> None:
        """Return all credits because the process stops; call it once no request is in flight."""
        self._is_leaving = True
        self._update_router_credits({})
        report = self._holder.make_report(self._clock.now_s(), {}, {}, is_last=True)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._send(report)
        except (RpcError, TimeoutError) as error:
            log_event(self._logger, "credits_not_returned", reason=str(error))
        await self._authority.release()

    async def _exchange_forever(self) -> None:
        while not self._is_leaving:
            self._report_event.clear()
            if self._grantor_place is None and not await self._find_grantor():
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if not await self._exchange_once():
                self._grantor_place = None
                await asyncio.sleep(MIN_INTERVAL_S)
            await asyncio.sleep(MIN_INTERVAL_S)

    async def _find_grantor(self) -> bool:
        try:
            self._grantor_place = await self._authority.find_or_acquire()
        except PlatformError as error:
            log_event(self._logger, "grantor_not_found", reason=str(error))
        return self._grantor_place is not None

    async def _exchange_once(self) -> bool:
        """Send a report; return False if the grantor has to be found again."""
        now_s = self._clock.now_s()
        demand = self._router.demand_by_service(now_s)
        report = self._holder.make_report(
            now_s,
            {name: ServiceUse(each.in_flight, each.waiting) for name, each in demand.items()},
            {name: each.idle for name, each in demand.items()},
        )
        call = asyncio.ensure_future(self._send(report))
        interrupt = asyncio.ensure_future(self._report_event.wait())
        try:
            await asyncio.wait({call, interrupt}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done() or self._is_leaving:
                return True
            return self._handle_grant(call)
        finally:
            call.cancel()
            interrupt.cancel()

    async def _send(self, report: CreditReport) -> CreditGrant | None:
        place = self._grantor_place
        if place is None:
            return None
        if place.entry == self._place.entry and place.incarnation == self._place.incarnation:
            return await self.answer(report)
        return await self._client.exchange(place.address, report)

    def _handle_grant(self, call: "asyncio.Future[CreditGrant | None]") -> bool:
        error = call.exception()
        if isinstance(error, RpcError):
            log_event(self._logger, "credits_not_exchanged", reason=str(error))
            return False
        grant = call.result()
        if grant is None:
            return False
        now_s = self._clock.now_s()
        self._holder.apply_grant(now_s, grant, self._router.in_flight_by_upstream())
        self._router.set_peers(now_s, grant.peers)
        self._update_router_credits(self._holder.usable(now_s))
        return True

    async def _check_forever(self) -> None:
        """Return recalled credits once they are free, request more, and detect an expired lease."""
        last_report_s = 0.0
        while not self._is_leaving:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = self._clock.now_s()
            returned = self._holder.release_recalled_credits(
                now_s, self._router.in_flight_by_upstream()
            )
            is_due = now_s - last_report_s >= REPEAT_WHILE_WAITING_S
            if returned or (self._router.waiting_count and is_due):
                last_report_s = now_s
                self._report_event.set()
            self._update_router_credits(self._holder.usable(now_s))

    async def _probe_forever(self) -> None:
        """Free the credits of members of earlier epochs whose process has certainly stopped."""
        while not self._is_leaving:
            await asyncio.sleep(PROBE_INTERVAL_S)
            for entry, incarnation in self._grantor.unreachable_members(
                self._clock.now_s()
            ).items():
                address = self._place.addresses_by_entry.get(entry, "")
                if address and await self._client.is_refused(address):
                    log_event(self._logger, "member_gone", entry=entry, address=address)
                    self._grantor.remove_stopped_member(entry, incarnation)
                    self._notify_grants_changed()

    def _update_router_credits(self, credits_by_upstream: Mapping[str, int]) -> None:
        if credits_by_upstream == self._router_credits:
            return
        self._router_credits = dict(credits_by_upstream)
        self._router.set_credits(self._clock.now_s(), self._router_credits)
        self._on_credits()

    def _is_urgent(self, report: CreditReport) -> bool:
        """Return whether a report may change the grants of other entries.

        That is so if the entry has waiting requests or holds fewer credits than it reported last.
        """
        has_waiting = any(use.waiting for use in report.use_by_service.values())
        has_fewer = sum(report.held_by_upstream.values()) < self._last_total_by_entry.get(
            report.entry, 0
        )
        self._last_total_by_entry[report.entry] = sum(report.held_by_upstream.values())
        return has_waiting or has_fewer

    def _notify_grants_changed(self) -> None:
        event, self._grants_event = self._grants_event, asyncio.Event()
        event.set()


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
