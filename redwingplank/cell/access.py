"""Authenticates the requests of callers at a node, and reports those that are refused."""

from redwingplank.batch.model import CellConfig
from redwingplank.cell.authentication import AccessDecision, Credentials, ViewAge, decide_access
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.context import NodeContext

__all__ = ["AccessControl"]

MAX_LINES_PER_S = 5
"""Refusals that are logged within one second; further ones are only counted."""


class AccessControl:
    """Decides by the configuration and its proof at the time of each call.

    Parameters
    ----------
    context : NodeContext
        Settings, log and metrics of this node.
    config : ActiveConfig
        The configuration in force, and its age.
    """

    def __init__(self, context: NodeContext, config: ActiveConfig) -> None:
        self._context = context
        self._config = config
        self._second = 0
        self._line_count = 0
        self._unlogged_count = 0

    def check(self, credentials: Credentials, now_s: float) -> AccessDecision:
        """Authenticate a request at the time `now_s`; a refusal is counted and logged."""
        config = self._config.current
        if config is None:
            return AccessDecision()
        decision = decide_access(config, credentials, self._view_age(now_s))
        if decision.refusal is not None:
            self._report(decision, credentials, config, now_s)
        return decision

    def is_view_outdated(self, now_s: float) -> bool:
        """Return whether a queue that is not known may have been added by a change missed here."""
        return self._config.is_outdated(now_s, self._context.settings.config_limit_s)

    def _view_age(self, now_s: float) -> ViewAge:
        limit_s = self._context.settings.revocation_limit_s
        return ViewAge(self._config.age_s(now_s), limit_s, self.is_view_outdated(now_s))

    def _report(
        self, decision: AccessDecision, credentials: Credentials, config: CellConfig, now_s: float
    ) -> None:
        assert decision.refusal is not None
        cause = decision.refusal.value
        self._context.metrics.refused_requests.labels(cause).inc()
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._line_count = 0
        self._line_count += 1
        if self._line_count > MAX_LINES_PER_S:
            self._unlogged_count += 1
            return
        self._context.log(
            "request_refused",
            cause=cause,
            queue=credentials.queue.name,
            organisation=decision.organisation,
            config=config.version,
            unlogged=self._unlogged_count,
        )
        self._unlogged_count = 0
