"""What all parts of a node share."""

from typing import Any

from redwingplank.cell.clocks import now_s
from redwingplank.cell.eventlog import EventLog
from redwingplank.cell.metrics import NodeMetrics
from redwingplank.platform.site.advice import SiteAdvice
from redwingplank.platform.site.http import NoAnswerError, NotSentError, SiteClient
from redwingplank.platform.site.settings import SiteSettings
from redwingplank.platform.site.store import SiteStore, StoreRefusedError
from redwingplank.platform.site.workers import SiteWorkers
from redwingplank.rpc.cell_calls import CellCalls
from redwingplank.rpc.peers import PeerConnections

__all__ = ["STORE_ERRORS", "NodeContext", "StoreHealth"]

STORE_ERRORS = (NotSentError, NoAnswerError, StoreRefusedError)


class StoreHealth:
    """Whether the store answered lately, as this node sees it.

    Parameters
    ----------
    context : NodeContext
        For the log.
    """

    def __init__(self, context: "NodeContext") -> None:
        self._context = context
        self.answered_s = now_s()
        self.is_away = False

    def record_success(self) -> None:
        """Take note of an answer."""
        self.answered_s = now_s()
        if self.is_away:
            self.is_away = False
            self._context.log("store_regained")

    def record_failure(self, error: Exception) -> None:
        """Take note of a call that failed."""
        if not self.is_away:
            self.is_away = True
            age_s = now_s() - self.answered_s
            self._context.log("store_lost", error=error, last_answer_age_s=age_s)


class NodeContext:
    """Settings, clients, log and counters of a node.

    Parameters
    ----------
    settings : SiteSettings
        Of this process.
    log : EventLog
        Where decisions are written.
    """

    def __init__(self, settings: SiteSettings, log: EventLog) -> None:
        self.settings = settings
        self.events = log
        self.metrics = NodeMetrics()
        self.client = SiteClient()
        self.store = SiteStore(self.client, settings.store_address, self.metrics.note_store_call)
        self.workers = SiteWorkers(self.client)
        self.advice = SiteAdvice(self.client, settings.advice_address)
        self.peers = PeerConnections()
        self.calls = CellCalls(self.peers)
        self.health = StoreHealth(self)
        self.is_stopping = False

    def log(self, event: str, **fields: Any) -> None:
        """Write an event and count it."""
        self.metrics.record_event(event, fields)
        self.events.write(now_s(), event, fields)

    async def close(self) -> None:
        """Close all connections."""
        self.peers.close()
        await self.client.close()
