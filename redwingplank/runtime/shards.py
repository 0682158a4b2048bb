"""Names of shards, and a directory of the schedulers that own them."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from redwingplank.core import log_event, make_logger
from redwingplank.rpc import RpcError
from redwingplank.rpc.scheduler_calls import SchedulerCalls

__all__ = ["ShardDirectory", "domain_of_shard", "shard_names"]

REFRESH_EVERY_S = 1.0
CALL_TIMEOUT_S = 1.0

_logger = make_logger("shards")


def shard_names(failure_domains: Sequence[str], shards_per_domain: int) -> tuple[str, ...]:
    """Return the names of all shards, in the order of the failure domains.

    Examples
    --------
    >>> shard_names(["ankara-1"], 1)
    ('ankara-1',)
    >>> shard_names(["ankara-1"], 2)
    ('ankara-1#0', 'ankara-1#1')
    """
    if shards_per_domain == 1:
        return tuple(failure_domains)
    return tuple(
        f"{domain}#{index}" for domain in failure_domains for index in range(shards_per_domain)
    )


def domain_of_shard(shard: str) -> str:
    """Return the failure domain of a shard."""
    return shard.partition("#")[0]


@dataclass(frozen=True, slots=True)
class _Owner:
    address: str
    epoch: int


class ShardDirectory:
    """Keeps the owner of each shard, as reported by the schedulers of its failure domain.

    Parameters
    ----------
    calls : SchedulerCalls
        Client for calls to schedulers.
    shards : sequence of str
        Names of all shards of the cell.
    schedulers_by_name : mapping of str to str
        Addresses of the candidates, by ``"FAILURE_DOMAIN/NAME"``.
    own_domain : str
        Failure domain whose shards are preferred.
    """

    def __init__(
        self,
        calls: SchedulerCalls,
        shards: Sequence[str],
        schedulers_by_name: Mapping[str, str],
        own_domain: str,
    ) -> None:
        self._calls = calls
        self._shards = tuple(shards)
        self._schedulers_by_name = dict(schedulers_by_name)
        self._own_domain = own_domain
        self._owners_by_shard: dict[str, _Owner] = {}
        self._next_candidate_by_domain: dict[str, int] = {}
        self._rotation_count = 0

    def all_shards(self) -> tuple[str, ...]:
        """Return every shard of the cell, owned or not."""
        return self._shards

    def find_owner(self, shard: str) -> str | None:
        """Return the last known address of a shard's owner, None if no owner is known."""
        owner = self._owners_by_shard.get(shard)
        return owner.address if owner else None

    def discard_owner(self, shard: str) -> None:
        """Discard an owner that failed; a later refresh finds the new one.

        The refresh asks another candidate, because the one asked last may have been replaced and
        still name itself.
        """
        if self._owners_by_shard.pop(shard, None) is not None:
            self._ask_next_candidate(domain_of_shard(shard))

    def shards_by_preference(self) -> list[str]:
        """Return the shards with a known owner, those of the own domain first.

        Both groups are rotated with each call, which spreads submissions over the shards.
        """
        known = [shard for shard in self._shards if shard in self._owners_by_shard]
        own = [shard for shard in known if domain_of_shard(shard) == self._own_domain]
        others = [shard for shard in known if domain_of_shard(shard) != self._own_domain]
        self._rotation_count += 1
        return _rotate(own, self._rotation_count) + _rotate(others, self._rotation_count)

    async def refresh(self) -> None:
        """Ask one candidate of each failure domain for the owners of its shards."""
        domains = sorted({domain_of_shard(shard) for shard in self._shards})
        await asyncio.gather(*(self._refresh_domain(domain) for domain in domains))

    async def refresh_forever(self) -> None:
        """Refresh every `REFRESH_EVERY_S` seconds until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(REFRESH_EVERY_S)

    async def _refresh_domain(self, domain: str) -> None:
        addresses = [
            address
            for name, address in sorted(self._schedulers_by_name.items())
            if name.partition("/")[0] == domain
        ]
        if not addresses:
            return
        index = self._next_candidate_by_domain.get(domain, 0)
        address = addresses[index % len(addresses)]
        try:
            owners = await self._calls.owners(address, CALL_TIMEOUT_S)
        except RpcError:
            self._ask_next_candidate(domain)
            return
        for shard, (owner_address, epoch) in owners.items():
            self._record_owner(shard, owner_address, epoch)

    def _ask_next_candidate(self, domain: str) -> None:
        self._next_candidate_by_domain[domain] = self._next_candidate_by_domain.get(domain, 0) + 1

    def _record_owner(self, shard: str, address: str, epoch: int) -> None:
        known = self._owners_by_shard.get(shard)
        if known is not None and known.epoch > epoch:
            return
        if known is None or known.address != address:
            log_event(_logger, "shard_owner", shard=shard, address=address, epoch=epoch)
        self._owners_by_shard[shard] = _Owner(address, epoch)


def _rotate(items: list[str], by: int) -> list[str]:
    if not items:
        return items
    start = by % len(items)
    return items[start:] + items[:start]
