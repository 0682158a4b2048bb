"""State that all parts of a node share: settings, clients, log and metrics."""

from typing import Any

from redwingplank.cell.clocks import now_s
from redwingplank.cell.eventlog import JOBS, REFUSALS, EventLog
from redwingplank.cell.hedged_store import HedgedStore
from redwingplank.cell.metrics import NodeMetrics
from redwingplank.cell.worker_slots import CONNECTIONS_PER_OWNER
from redwingplank.platform.site.advice import SiteAdvice
from redwingplank.platform.site.http import NoAnswerError, NotSentError, SiteClient
from redwingplank.platform.site.settings import SiteSettings
from redwingplank.platform.site.store import SiteStore, StoreRefusedError
from redwingplank.platform.site.workers import SiteWorkers
from redwingplank.rpc.cell_calls import CellCalls
from redwingplank.rpc.peers import PeerConnections

__all__ = ["STORE_ERRORS", "NodeContext", "StoreHealth"]

STORE_ERRORS = (NotSentError, NoAnswerError, StoreRefusedError)
"""Errors of a store call that was not sent, not answered, or refused by the store."""
WORKER_ANSWER_BYTES = 4 * 1024 * 1024
"""Far more than a worker's lists of runs and of 500 completions."""
RECENT_ANSWER_S = 0.5
"""A failure within this time after an answer is taken for a single lost call, not for an outage."""


class StoreHealth:
    """Whether this node reaches the store, and when a store call last succeeded.

    Parameters
    ----------
    context : NodeContext
        Used for logging only.
    """

    def __init__(self, context: "NodeContext") -> None:
        self._context = context
        self.last_answer_s = now_s()
        self.is_unreachable = False

    def record_success(self) -> None:
        """Record a successful store call; the first one after a failure is logged."""
        self.last_answer_s = now_s()
        if self.is_unreachable:
            self.is_unreachable = False
            self._context.log("store_regained")

    def record_failure(self, error: Exception) -> None:
        """Record a failed store call; only the first failure in a row is logged."""
        age_s = now_s() - self.last_answer_s
        if not self.is_unreachable and age_s >= RECENT_ANSWER_S:
            self.is_unreachable = True
            self._context.log("store_lost", error=error, last_answer_age_s=age_s)


class NodeContext:
    """Settings, clients, log and metrics of a node.

    Parameters
    ----------
    settings : SiteSettings
        Settings of this process.
    log : EventLog
        Log that events are written to.
    """

    def __init__(self, settings: SiteSettings, log: EventLog) -> None:
        self.settings = settings
        self.events = log
        self.metrics = NodeMetrics()
        self.client = SiteClient()
        self.store = HedgedStore(
            SiteStore(self.client, settings.store_address, self.metrics.record_store_call)
        )
        self.worker_client = SiteClient(CONNECTIONS_PER_OWNER, WORKER_ANSWER_BYTES)
        self.workers = SiteWorkers(self.worker_client)
        self.advice = SiteAdvice(self.client, settings.advice_address)
        self.peers = PeerConnections()
        self.calls = CellCalls(self.peers)
        self.health = StoreHealth(self)
        self.is_stopping = False

    def log(self, event: str, **fields: Any) -> None:
        """Write an event to the log and count it in the metrics."""
        self.metrics.record_event(event, fields)
        self.events.write(now_s(), event, fields)

    def log_refusal(self, event: str, **fields: Any) -> None:
        """Log an event of a request that was not accepted; it keeps its place beside others."""
        self.metrics.record_event(event, fields)
        self.events.write(now_s(), event, fields, REFUSALS)

    def log_job(self, event: str, **fields: Any) -> None:
        """Log an event that tells the course of a job; it keeps its place beside others."""
        self.metrics.record_event(event, fields)
        self.events.write(now_s(), event, fields, JOBS)

    async def close(self) -> None:
        """Close all connections to peers and to the platform."""
        self.peers.close()
        await self.worker_client.close()
        await self.client.close()
