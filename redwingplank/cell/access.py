"""Authenticates the requests of callers at a node, and reports those that are refused."""

from collections.abc import Callable

from redwingplank.batch.model import CellConfig
from redwingplank.cell.authentication import AccessDecision, Credentials, decide_access
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
    find_config : callable
        Returns the configuration in force, or None before one has been received.
    find_age_s : callable
        Returns the seconds since that configuration was last proven to be the newest one, for the
        present time in seconds.
    """

    def __init__(
        self,
        context: NodeContext,
        find_config: Callable[[], CellConfig | None],
        find_age_s: Callable[[float], float],
    ) -> None:
        self._context = context
        self._find_config = find_config
        self._find_age_s = find_age_s
        self._second = 0
        self._line_count = 0
        self._unlogged_count = 0

    def check(self, credentials: Credentials, now_s: float) -> AccessDecision:
        """Authenticate a request at the time `now_s`; a refusal is counted and logged."""
        config = self._find_config()
        if config is None:
            return AccessDecision()
        limit_s = self._context.settings.revocation_limit_s
        decision = decide_access(config, credentials, self._find_age_s(now_s), limit_s)
        if decision.refusal is not None:
            self._report(decision, credentials, config, now_s)
        return decision

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
