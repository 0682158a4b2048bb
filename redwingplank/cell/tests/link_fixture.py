"""A store behind a link of limited bandwidth, in virtual time, and a node's view of it."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from redwingplank.cell import (
    config_proof,
    config_reader,
    config_watch,
    context,
    follower,
    hedged_call,
    hedged_store,
)
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.config_proof import ConfigProver
from redwingplank.cell.config_reader import ConfigReader
from redwingplank.cell.config_watch import ConfigWatch
from redwingplank.cell.context import StoreHealth
from redwingplank.cell.hedged_store import HedgedStore
from redwingplank.cell.metrics import NodeMetrics
from redwingplank.cell.tasks import TaskSet
from redwingplank.platform.site.http import NoAnswerError, Reply
from redwingplank.platform.site.store import SiteStore
from redwingplank.standin.site_store import SiteStoreModel

_MODULES_WITH_CLOCK = (
    config_proof,
    config_reader,
    config_watch,
    context,
    follower,
    hedged_call,
    hedged_store,
)
CONFIG_KEY = "op/config"
CHUNK_BYTES = 8192
PAGE_ITEMS = 500
WATCH_CHECK_S = 0.02


class Link:
    """A link whose transfers take turns chunk by chunk, so that they share its bandwidth.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth in bytes per second.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._turn = asyncio.Lock()
        self.bytes_sent = 0

    async def transfer(self, count: int) -> None:
        """Return when `count` bytes have been transferred."""
        left = count
        while left > 0:
            chunk = min(left, CHUNK_BYTES)
            async with self._turn:
                await asyncio.sleep(chunk / self._bytes_per_s)
            self.bytes_sent += chunk
            left -= chunk


class LinkClient:
    """Answers calls from a store's model, in the place of `SiteClient`.

    Without `on_headers`, `timeout_s` limits the whole call; with it, the time to the headers.

    Parameters
    ----------
    model : SiteStoreModel
        State of the store.
    link : Link
        Carries the bodies of the answers.
    latency_s : float
        Time from a call to the first byte of its answer.

    Attributes
    ----------
    is_silent : bool
        Whether calls get no answer.
    is_deaf : bool
        Whether watches return no changes, and the store's revision nevertheless.
    """

    def __init__(self, model: SiteStoreModel, link: Link, latency_s: float) -> None:
        self.model = model
        self.link = link
        self.latency_s = latency_s
        self.is_silent = False
        self.is_deaf = False
        self.targets: list[str] = []

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Any = None,
        on_headers: Callable[[], None] | None = None,
    ) -> Reply:
        self.targets.append(target)
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline_s):
                reply = await self._answer(target, body)
                if on_headers is None:
                    await self.link.transfer(len(reply.body))
        except TimeoutError as error:
            raise NoAnswerError(f"no answer to {target}") from error
        if on_headers is not None:
            on_headers()
            await self.link.transfer(len(reply.body))
        return reply

    async def _answer(self, target: str, body: bytes | None) -> Reply:
        await asyncio.sleep(self.latency_s)
        if self.is_silent:
            await asyncio.sleep(float("inf"))
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-txn":
            status, answer = self.model.transact(msgspec.json.decode(body or b""))
        elif url.path == "/-/kv-watch":
            status, answer = await self._watch(query)
        elif url.path == "/-/kv-range":
            status, answer = 200, self._range(query)
        elif url.path == "/-/kv-key":
            is_there = query["key"] in self.model.items
            status, answer = (200, self.model.show(query["key"])) if is_there else (404, {})
        else:
            raise AssertionError(f"the store does not know {target}")
        return Reply(status, msgspec.json.encode(answer))

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key in self.model.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items = [self.model.show(key) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return {"items": items, "has_more": has_more, "at_rev": self.model.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        checks = round(int(query["wait_ms"]) / 1000 / WATCH_CHECK_S)
        for _ in range(max(1, checks)):
            if after < self.model.forgotten:
                return 410, {}
            events = self.model.events_after(query["prefix"], after)
            if events and not self.is_deaf:
                return 200, {"events": events, "at_rev": self.model.revision}
            await asyncio.sleep(WATCH_CHECK_S)
        return 200, {"events": [], "at_rev": self.model.revision}


class LinkedNode:
    """A node's view of the configuration over a link; has to be made inside a virtual-time loop."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        bytes_per_s: float,
        latency_s: float = 0.004,
        revocation_limit_s: float | None = 5.0,
    ) -> None:
        loop = asyncio.get_running_loop()
        for module in _MODULES_WITH_CLOCK:
            monkeypatch.setattr(module, "now_s", loop.time)
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.model = SiteStoreModel()
        self.link = Link(bytes_per_s)
        self.client = LinkClient(self.model, self.link, latency_s)
        node_context: Any = SimpleNamespace(
            settings=SimpleNamespace(revocation_limit_s=revocation_limit_s),
            log=lambda event, **fields: self.events.append((event, fields)),
            metrics=NodeMetrics(),
        )
        client: Any = self.client
        site_store = SiteStore(client, "store", lambda name, took_s: None)
        node_context.store = HedgedStore(site_store)
        node_context.health = StoreHealth(node_context)
        self.tasks = TaskSet(node_context)
        self.config = ActiveConfig(node_context)
        reader = ConfigReader(node_context, self.config)
        self.watch = ConfigWatch(node_context, self.config, reader)
        self.prover = ConfigProver(node_context, self.config, reader, self.watch)
        self.context = node_context

    def start(self) -> None:
        self.tasks.start_loop(self.watch.run)
        self.tasks.start_loop(self.prover.run)

    def configure(self, version: int, routes: int = 1, keys: bool = True) -> None:
        config: dict[str, Any] = {
            "version": version,
            "routes": [
                {"name": f"queue-{version}-{number}", "host": "h", "prefix": f"/{number:0150}/"}
                for number in range(routes)
            ],
        }
        if keys:
            config["tenants"] = [{"name": "a", "api_keys": ["key-7f3a"]}]
        self.model.put(CONFIG_KEY, msgspec.json.encode(config))

    @property
    def version(self) -> int:
        return self.config.current.version if self.config.current is not None else 0

    async def until_version(self, version: int, within_s: float) -> float:
        """Return the seconds until a version is in force; fail after `within_s`."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while self.version < version:
            if loop.time() - started_s > within_s:
                raise AssertionError(
                    f"version {self.version} is in force instead of {version} after {within_s} s"
                )
            await asyncio.sleep(0.01)
        return loop.time() - started_s
