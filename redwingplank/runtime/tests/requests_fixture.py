"""Entries with stand-in upstreams in one process, for the tests of requests."""

import asyncio
from dataclasses import dataclass, field

from redwingplank.config import DeadlineClass, Declarations, Organisation, Service, WorkloadKind
from redwingplank.core import FakeClock, MonotonicClock
from redwingplank.platform import ListedVm, VmRole
from redwingplank.routing import CallerAnswer, CallerRequest, RouterSettings, make_router
from redwingplank.routing.orders import OrderBook
from redwingplank.runtime.order_log import KeyValueOrderLog
from redwingplank.runtime.orders import ShardOrderRegistry
from redwingplank.runtime.requests import ProxySettings, RequestProxy, make_request_proxy
from redwingplank.standin.faults import Faults
from redwingplank.standin.history import History, HistoryEventKind
from redwingplank.standin.store import MemoryStore, MemoryStoreClient
from redwingplank.standin.upstreams import MemoryUpstreamClient, UpstreamBehaviour

DOMAIN = "ankara-1"


def service(name="proof", **parameters) -> Service:
    return Service(name, "copyist", WorkloadKind.REQUEST, upstream_service="notahane", **parameters)


DEFAULT_SERVICES = (
    service("proof", deadline_class=DeadlineClass.URGENT, request_timeout_s=2.0),
    service("quick", request_timeout_s=0.1),
    service("order", is_idempotent=False, request_timeout_s=2.0),
    service("hedged", is_hedged=True, request_timeout_s=2.0),
)


def declare(*services: Service, revision=1, organisations=("bureau",)) -> Declarations:
    by_name = {each.name: each for each in services or DEFAULT_SERVICES}
    return Declarations(
        revision, {name: Organisation(name, 100, None, by_name) for name in organisations}
    )


def upstream_vm(name: str, domain=DOMAIN, **values) -> ListedVm:
    return ListedVm(
        name, VmRole.UPSTREAM, domain, "rack-1", f"{name}:80", service="notahane", **values
    )


@dataclass
class Cell:
    """Upstreams, a store and the order registry, which the entries of a test share."""

    upstream_count: int = 1
    history: History = field(default_factory=History)
    store_faults: Faults = field(default_factory=Faults)

    def __post_init__(self):
        self.clock = MonotonicClock()
        self.upstreams = [
            UpstreamBehaviour(f"u{number}", self.clock, self.history)
            for number in range(self.upstream_count)
        ]
        self.by_address = {f"{each.name}:80": each for each in self.upstreams}
        self.store = MemoryStore(FakeClock())
        self.home = self.make_home()

    def make_home(self, is_only_owner=lambda: True) -> ShardOrderRegistry:
        log = KeyValueOrderLog(MemoryStoreClient(self.store, self.store_faults), "a", 1000.0)
        return ShardOrderRegistry(OrderBook(), log, self.clock, is_only_owner)

    def make_entry(self, name="entry-1", orders=None, entries=None, proxy=None, **settings):
        router = make_router(
            RouterSettings(entry=name, failure_domain=DOMAIN, **settings), self.clock.now_s()
        )
        router.set_declarations(declare())
        vms = tuple(upstream_vm(each.name, slots=each.slots) for each in self.upstreams)
        router.set_upstreams(self.clock.now_s(), vms)
        return Entry(
            router,
            make_request_proxy(
                router,
                MemoryUpstreamClient(self.by_address),
                orders or self.home,
                self.clock,
                entries=entries,
                settings=proxy or ProxySettings(entry=name),
            ),
        )

    def started(self) -> list[str]:
        """Return the ids of the requests that upstreams started, once for each run."""
        return [
            event.subject
            for event in self.history.events
            if event.kind is HistoryEventKind.REQUEST_STARTED
        ]


@dataclass
class Entry:
    """One entry with its router and its proxy."""

    router: object
    proxy: RequestProxy
    count: int = 0

    async def ask(self, name="proof", body=b"bar 1", key=None, **values) -> CallerAnswer:
        self.count += 1
        call = CallerRequest("bureau", name, f"call-{self.count}", key, **values)
        return await self.proxy.handle(call, body)


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20.0))


async def until(condition, attempts=5000):
    """Wait until a condition holds, polling it every millisecond."""
    for _ in range(attempts):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not hold in time")
