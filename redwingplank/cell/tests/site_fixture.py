"""The platform's stand-in on the loopback interface, and nodes that run against it."""

import asyncio
import os
import time
from collections.abc import Callable

import aiohttp
import capnp
import msgspec

from redwingplank.cell.context import NodeContext
from redwingplank.cell.eventlog import EventLog
from redwingplank.cell.node import Node
from redwingplank.platform.http.server import HttpServer, serve_http
from redwingplank.platform.site.settings import SiteSettings
from redwingplank.standin.loopback import find_free_address
from redwingplank.standin.site_store import SiteStoreModel, make_site_store_app
from redwingplank.standin.site_workers import SiteWorkerModel, make_site_worker_app

HOST = "queue.example"
PAGE_ITEMS = 3
"""Items in one page of the store; so few that tests read more than one."""


class Site:
    """A store, workers and nodes of a cell in one process."""

    def __init__(self, store_lease_s: float = 1.0, revocation_limit_s: float | None = None) -> None:
        self.store = SiteStoreModel()
        self.store.page_items = PAGE_ITEMS
        self.store_lease_s = store_lease_s
        self.revocation_limit_s = revocation_limit_s
        self.workers: list[SiteWorkerModel] = []
        self._worker_addresses: list[str] = []
        self.nodes: list[Node] = []
        self.contexts: list[NodeContext] = []
        self.lines: list[str] = []
        self.store_address = find_free_address()
        self._servers: list[HttpServer] = []
        self._log_read, self._log_write = os.pipe()
        os.set_blocking(self._log_read, False)

    async def start(self, workers: int = 2, nodes: int = 1) -> None:
        store_app = make_site_store_app(self.store, time.monotonic)
        self._servers.append(await serve_http(store_app, [self.store_address], 0))
        for number in range(workers):
            await self.add_worker(number)
        self.configure(1)
        for number in range(nodes):
            await self.add_node(number)
        await self.until(lambda: self.owner_node() is not None)

    async def add_worker(self, number: int) -> None:
        """Start a worker and list it in the store."""
        model, address = SiteWorkerModel(), find_free_address()
        self.workers.append(model)
        self._worker_addresses.append(address)
        app = make_site_worker_app(model, time.monotonic)
        self._servers.append(await serve_http(app, [address], 0))
        self._list_worker(number)

    def _list_worker(self, number: int) -> None:
        entry = {
            "service": "render",
            "address": self._worker_addresses[number],
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 16000},
            "labels": ["k", f"r{number}"],
            "born": self.workers[number].born_ms,
        }
        self.store.put(f"servers/w{number}", msgspec.json.encode(entry))

    def crash_workers(self) -> None:
        """Restart the processes of all workers, which lose all that no owner has acknowledged."""
        for number, worker in enumerate(self.workers):
            worker.crash(worker.born_ms + 1)
            self._list_worker(number)

    def configure(
        self, version: int, tenants: list[dict[str, object]] | None = None, **route: object
    ) -> None:
        values = {
            "name": "proof",
            "host": HOST,
            "prefix": "/proof/",
            "service": "render",
            "max_attempts": 3,
            "stretch_factor": 1.5,
            "target_duration_ms": 250,
            **route,
        }
        public = {**values, "name": "open", "prefix": "/open/", "public": True}
        config = {"version": version, "routes": [values], "limits": {"max_body_bytes": 20_000}}
        if tenants is not None:
            config |= {"tenants": tenants, "routes": [values, public]}
        self.store.put("op/config", msgspec.json.encode(config))

    async def add_node(self, number: int, core_share: float = 1.0) -> Node:
        callers, peer = find_free_address(), find_free_address()
        settings = SiteSettings(
            name=f"n{number}",
            failure_domain="a",
            ip="127.0.0.1",
            core_share=core_share,
            callers_address=callers,
            readiness_address=callers,
            peer_port=int(peer.rpartition(":")[2]),
            metrics_address=find_free_address(),
            store_address=self.store_address,
            advice_address="",
            lease_limit_s=6.0,
            remote_factor=2.0,
            grace_s=0.2,
            state_kept_s=120.0,
            store_lease_s=self.store_lease_s,
            revocation_limit_s=self.revocation_limit_s,
        )
        context = NodeContext(settings, EventLog(settings.name, self._log_write))
        node = Node(context)
        self.nodes.append(node)
        self.contexts.append(context)
        await node.start()
        return node

    async def crash(self, node: Node) -> None:
        """End a node as SIGKILL would: its keys and ownership stay until its lease expires."""
        self.nodes.remove(node)
        await node._tasks.stop()
        if node._owner is not None:
            await node._owner.stop()
        assert node._peer_server is not None and node._http is not None
        await node._peer_server.stop()
        node._http.abort()
        await node._http.stop()
        await node._context.close()

    async def hand_over(self) -> None:
        """Stop the owner as planned, and wait for the next one."""
        owner = self.owner_node()
        assert owner is not None
        await owner.stop()
        self.nodes.remove(owner)
        await self.until(lambda: self.owner_node() is not None)

    def owner_node(self) -> Node | None:
        for node in self.nodes:
            if node.owns_jobs:
                return node
        return None

    def hide_jobs_of_owner(self) -> None:
        """Let the owner know no state of any job, as one that the store does not tell of them."""
        owner = self.owner_node()
        assert owner is not None and owner._owner is not None
        setattr(owner._owner, "job_state", lambda *_: None)  # noqa: B010

    async def until(self, condition: Callable[[], object], attempts: int = 1500) -> None:
        """Wait until a condition holds; fail after `attempts` checks at intervals of 10 ms."""
        for _ in range(attempts):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true")

    async def call(
        self, method: str, path: str, body: object = None, node: int = 0, key: str | None = None
    ):
        """Send a caller's request to a node; return status, decoded body and headers."""
        data = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        url = f"http://{self.contexts[node].settings.callers_address}{path}"
        headers = {"Host": HOST} | ({"Authorization": f"Bearer {key}"} if key else {})
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=data, headers=headers) as response,
        ):
            raw = await response.read()
            return response.status, msgspec.json.decode(raw) if raw else None, response.headers

    async def state_of(self, job_id: str, node: int = 0) -> str:
        _, body, _ = await self.call("GET", f"/proof/{job_id}", node=node)
        return (body or {}).get("state", "")

    async def until_state(self, job_id: str, state: str, node: int = 0) -> None:
        for _ in range(1000):
            if await self.state_of(job_id, node) == state:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"{job_id} did not reach the state {state}")

    def events(self) -> list[str]:
        """Return all log lines that the nodes have written so far."""
        try:
            while chunk := os.read(self._log_read, 1 << 16):
                self.lines.extend(chunk.decode().splitlines())
        except BlockingIOError:
            pass
        return self.lines

    async def stop(self) -> None:
        for node in self.nodes:
            await node.stop()
        for server in self._servers:
            server.abort()
            await server.stop()


def run_site(
    scenario,
    store_lease_s: float = 1.0,
    revocation_limit_s: float | None = None,
    **values,
) -> None:
    """Start a site, run a scenario against it within 40 s in all, and stop it."""

    async def start_run_stop() -> None:
        site = Site(store_lease_s, revocation_limit_s)
        try:
            await site.start(**values)
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(capnp.run(asyncio.wait_for(start_run_stop(), 40.0)))
