"""One node of a cell: starts its parts, and stops them without cutting off answers."""

import asyncio

from redwingplank.batch.model import CellConfig
from redwingplank.cell.access import AccessControl
from redwingplank.cell.app import make_app
from redwingplank.cell.callers import Callers
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.config_proof import ConfigProver
from redwingplank.cell.config_reader import ConfigReader
from redwingplank.cell.config_watch import ConfigWatch
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.cell.memory_watch import MemoryWatch
from redwingplank.cell.metrics import make_metrics_app
from redwingplank.cell.owner import OwnerRuntime
from redwingplank.cell.owner_watch import OwnerWatch
from redwingplank.cell.request_log import log_failed_request
from redwingplank.cell.service import CellService
from redwingplank.cell.system_entries import Ownership
from redwingplank.cell.tasks import TaskSet
from redwingplank.platform.http.limits import HttpLimits, make_limits
from redwingplank.platform.http.server import HttpServer, serve_http
from redwingplank.rpc.cell_calls import CELL_SERVICE
from redwingplank.rpc.server import NodeServer

__all__ = ["Node"]

DRAIN_SHARE = 0.4
"""Share of the time from SIGTERM to SIGKILL in which new requests are still served: the balancer
stops sending requests only after two failed readiness checks."""
FINISH_S = 3
"""Longest time in seconds that a submission takes, including attempts through peers."""

METRICS_LIMITS = HttpLimits(connections=16, buffered_bytes=1 << 20, body_bytes=1 << 20)
"""Limits of the server of the metrics, which few clients read and which takes no bodies."""


class Node:
    """Serves callers, and runs the owner of the cell's jobs while it holds the ownership.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._tasks = TaskSet(context)
        self._config = ActiveConfig(context)
        self._config.listeners.append(self._apply_config)
        reader = ConfigReader(context, self._config)
        self._config_watch = ConfigWatch(context, self._config, reader)
        self._config_prover = ConfigProver(context, self._config, reader, self._config_watch)
        self._membership = Membership(
            context, self._handle_ownership_won, self._handle_ownership_lost
        )
        self._owner_watch = OwnerWatch(context, self._membership)
        self._owner: OwnerRuntime | None = None
        self._peer_server: NodeServer | None = None
        self._http: HttpServer | None = None
        self._metrics_server: HttpServer | None = None
        access = AccessControl(context, self._config)
        self.callers = Callers(
            context,
            self._membership,
            self._find_owner,
            lambda: self._config.current,
            access,
            self._tasks,
        )

    async def start(self) -> None:
        """Start all parts, and return once callers are served."""
        settings = self._context.settings
        service = CellService(
            self._context,
            self._find_owner,
            self.callers.store_here,
            self.callers.note_unresolved,
        )
        self._peer_server = NodeServer({CELL_SERVICE: service}, settings.descriptors)
        await self._peer_server.start(settings.peer_address)
        app = make_app(self.callers, self._find_obstacle, self._context, self._report_failure)
        addresses = list(dict.fromkeys([settings.callers_address, settings.readiness_address]))
        limits = make_limits(settings.memory_mb, settings.descriptors)
        self._http = await serve_http(
            app, addresses, FINISH_S, limits, self._context.metrics.record_client_refusal
        )
        if settings.metrics_address:
            metrics_app = make_metrics_app(self._context.metrics)
            self._metrics_server = await serve_http(
                metrics_app, [settings.metrics_address], limits=METRICS_LIMITS
            )
        self._tasks.start_loop(MemoryWatch(self._context).run)
        self._tasks.start_loop(self._config_watch.run)
        self._tasks.start_loop(self._config_prover.run)
        self._tasks.start_loop(self._membership.keep_lease)
        self._tasks.start_loop(self._membership.prove_ownership)
        self._tasks.start_loop(self._membership.follow)
        self._tasks.start_loop(self._membership.contend_for_ownership)
        self._tasks.start_loop(self._owner_watch.run)

    async def stop(self) -> None:
        """Give up the ownership, serve until the balancer sends no more callers, and close."""
        self._context.is_stopping = True
        self._context.log("stopping", is_owner=self._owner is not None)
        resigning = self._tasks.start(self._resign())
        await asyncio.sleep(self._context.settings.grace_s * DRAIN_SHARE)
        await resigning
        if self._http is not None:
            await self._http.stop()
        await asyncio.gather(self._leave(), self.callers.finish_reports())
        if self._metrics_server is not None:
            await self._metrics_server.stop()
        if self._owner is not None:
            await self._owner.stop()
        if self._peer_server is not None:
            await self._peer_server.stop()
        await self._tasks.stop()
        await self._context.close()
        self._context.log("stopped")

    async def _resign(self) -> None:
        try:
            await self._membership.resign("stopping")
        except STORE_ERRORS as error:
            self._context.log("resign_failed", error=error)

    async def _leave(self) -> None:
        try:
            await self._membership.leave()
        except STORE_ERRORS as error:
            self._context.log("leave_failed", error=error)

    def _report_failure(self, path: str, may_have_effect: bool, error: BaseException) -> None:
        log_failed_request(self._context, path, may_have_effect, error)

    @property
    def owns_jobs(self) -> bool:
        """Whether this node has won the ownership and read the stored jobs."""
        return self._find_owner() is not None

    def _find_obstacle(self) -> str:
        if self._context.is_stopping:
            return "the node is about to stop"
        if self._config.current is None:
            return "no configuration has arrived yet"
        if self._context.health.is_unreachable:
            # Nodes of other failure domains may still reach it.
            return "the store cannot be reached"
        return ""

    def _find_owner(self) -> OwnerRuntime | None:
        return self._owner if self._owner is not None and self._owner.is_loaded else None

    def _apply_config(self, config: CellConfig) -> None:
        self._config_prover.wake()
        self._membership.may_own = True
        self._membership.wake()
        if self._owner is not None:
            self._owner.set_config(config)

    def _handle_ownership_won(self, ownership: Ownership) -> None:
        config = self._config.current
        assert config is not None
        self._owner = OwnerRuntime(self._context, self._membership, ownership, config)
        self._owner.start()
        self._context.metrics.is_owner.set(1)

    def _handle_ownership_lost(self, reason: str) -> None:
        owner, self._owner = self._owner, None
        self._context.metrics.is_owner.set(0)
        if owner is not None:
            self._tasks.start(owner.stop())
        self._membership.wake()
