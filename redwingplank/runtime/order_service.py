"""Order registries over RPC: the service of a scheduler process and its client in an entry.

The registry of an order runs in the process that owns the order's shard.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from typing import Any

from redwingplank.core import choose_by_rendezvous, log_event, make_logger
from redwingplank.platform import PlatformError
from redwingplank.routing.orders import ClaimAnswer, OrderClaim, OrderReport
from redwingplank.rpc import PeerConnections, RpcError, load_schema
from redwingplank.rpc.order_messages import (
    read_claim,
    read_claim_answer,
    read_report,
    write_claim,
    write_claim_answer,
    write_report,
)
from redwingplank.runtime.orders import (
    OrderRegistry,
    OrderRegistryUnreachableError,
    ShardOrderRegistry,
)

__all__ = ["ORDERS_SERVICE", "OrderService", "OwnedOrderRegistries", "RpcOrderRegistry"]

ORDERS_SERVICE = "orders"
FOLLOW_INTERVAL_S = 0.2
EXPIRE_INTERVAL_S = 60.0
CALL_TIMEOUT_S = 2.0

_schema: Any = load_schema("orders")


class OwnedOrderRegistries:
    """The order registries of the shards that this process owns.

    Parameters
    ----------
    make_registry : callable
        Returns a new order registry for a shard, given by name.
    owned_shards : callable
        Returns the names of the shards that this process owns at present.
    """

    def __init__(
        self,
        make_registry: Callable[[str], ShardOrderRegistry],
        owned_shards: Callable[[], Collection[str]],
    ) -> None:
        self._make_registry = make_registry
        self._owned_shards = owned_shards
        self.registries_by_shard: dict[str, ShardOrderRegistry] = {}
        self._logger = make_logger("orders")

    async def run(self) -> None:
        """Follow the ownership of shards and delete expired records, until cancelled."""
        loop = asyncio.get_running_loop()
        expire_at_s = loop.time() + EXPIRE_INTERVAL_S
        while True:
            await self.follow()
            if loop.time() >= expire_at_s:
                expire_at_s = loop.time() + EXPIRE_INTERVAL_S
                await self._expire()
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    async def follow(self) -> None:
        """Start the registries of acquired shards, and stop those of shards that were lost."""
        owned = set(self._owned_shards())
        for shard in set(self.registries_by_shard) - owned:
            self.registries_by_shard.pop(shard).stop()
        for shard in owned - set(self.registries_by_shard):
            registry = self._make_registry(shard)
            try:
                await registry.start()
            except PlatformError as error:
                log_event(self._logger, "order_home_not_opened", shard=shard, reason=str(error))
                continue
            self.registries_by_shard[shard] = registry

    async def _expire(self) -> None:
        for shard, registry in list(self.registries_by_shard.items()):
            try:
                await registry.expire()
            except PlatformError as error:
                log_event(self._logger, "orders_not_expired", shard=shard, reason=str(error))


class OrderService(_schema.Orders.Server):
    """Answers entries on behalf of the order registries in this process.

    Parameters
    ----------
    registries_by_shard : mapping of str to ShardOrderRegistry
        The registries by shard; the mapping changes while the service runs.
    """

    def __init__(self, registries_by_shard: Mapping[str, ShardOrderRegistry]) -> None:
        self._registries_by_shard = registries_by_shard

    # The names of the following methods are those of the RPC schema; `look` queries an order.

    async def look(self, shard: str, claim: Any, _context: Any, **_: Any) -> Any:
        read = read_claim(claim)
        return write_claim_answer(
            await self._call_registry(shard, lambda registry: registry.query_order(read))
        )

    async def claim(self, shard: str, claim: Any, _context: Any, **_: Any) -> Any:
        read = read_claim(claim)
        return write_claim_answer(
            await self._call_registry(shard, lambda registry: registry.claim(read))
        )

    async def report(self, shard: str, report: Any, _context: Any, **_: Any) -> bool:
        read = read_report(report)

        async def handle_report(registry: ShardOrderRegistry) -> bool:
            await registry.report(read)
            return True

        return bool(await self._call_registry(shard, handle_report))

    async def _call_registry(
        self, shard: str, method: Callable[[ShardOrderRegistry], Awaitable[Any]]
    ) -> Any:
        registry = self._registries_by_shard.get(shard)
        if registry is None:
            return None
        try:
            return await method(registry)
        except OrderRegistryUnreachableError:
            return None


class RpcOrderRegistry(OrderRegistry):
    """Calls the registry of each order over RPC.

    Parameters
    ----------
    peers : PeerConnections
        Connections to the scheduler processes.
    shards : sequence of str
        All shards of the cell; must be the same in every entry, so that all choose the same shard
        for an order.
    find_owner : callable
        Returns the address of a shard's owner, None if it is not known.
    """

    def __init__(
        self,
        peers: PeerConnections,
        shards: Sequence[str],
        find_owner: Callable[[str], str | None],
    ) -> None:
        self._peers = peers
        self._shards = tuple(shards)
        self._find_owner = find_owner

    async def query_order(self, claim: OrderClaim) -> ClaimAnswer:
        shard, message = self._shard_of(claim.key.digest()), write_claim(claim)
        timeout_s = claim.timeout_s + CALL_TIMEOUT_S
        response = await self._call(
            shard, timeout_s, lambda registry: registry.look(shard, message)
        )
        return _read_answer(response, shard)

    async def claim(self, claim: OrderClaim) -> ClaimAnswer:
        shard, message = self._shard_of(claim.key.digest()), write_claim(claim)
        timeout_s = claim.timeout_s + CALL_TIMEOUT_S
        response = await self._call(
            shard, timeout_s, lambda registry: registry.claim(shard, message)
        )
        return _read_answer(response, shard)

    async def report(self, report: OrderReport) -> None:
        shard, message = self._shard_of(report.key.digest()), write_report(report)
        response = await self._call(
            shard, CALL_TIMEOUT_S, lambda registry: registry.report(shard, message)
        )
        if not response.isTaken:
            raise OrderRegistryUnreachableError(
                f"the owner of shard {shard} did not take the report"
            )

    def _shard_of(self, digest: str) -> str:
        shard = choose_by_rendezvous(digest, self._shards)
        if shard is None:
            raise OrderRegistryUnreachableError(
                "there is no shard; name the failure domains in the settings"
            )
        return shard

    async def _call(
        self, shard: str, timeout_s: float, method: Callable[[Any], Awaitable[Any]]
    ) -> Any:
        address = self._find_owner(shard)
        if address is None:
            raise OrderRegistryUnreachableError(f"shard {shard} has no owner now; try again")
        try:
            return await self._peers.call(
                address, ORDERS_SERVICE, _schema.Orders, method, timeout_s
            )
        except RpcError as error:
            raise OrderRegistryUnreachableError(
                f"the owner of shard {shard} failed: {error}"
            ) from error


def _read_answer(response: Any, shard: str) -> ClaimAnswer:
    answer = read_claim_answer(response.answer)
    if answer is None:
        raise OrderRegistryUnreachableError(
            f"the process is not the home of shard {shard}; try again"
        )
    return answer
