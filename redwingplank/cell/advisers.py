"""Spreads calls for advice over the nodes: the service answers one at a time for each."""

import asyncio
from collections.abc import Callable

from redwingplank.batch.commands import AskAdvice
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.platform.site.advice import AdviceBusyError
from redwingplank.platform.site.http import SiteError
from redwingplank.rpc.errors import RpcError

__all__ = ["Advisers"]

CALL_SLACK_S = 1.2
"""Beyond the work that the service has for this node's calls."""
PAUSE_AFTER_FAILURE_S = 1.0
"""A node that got no answer is not asked for this long."""
WAIT_FOR_NODE_S = 0.02
"""Before the step is asked for again, through another node."""


class Advisers:
    """Sends each call through the node that has the least advice work under way.

    Parameters
    ----------
    context : NodeContext
        Of this node.
    membership : Membership
        Tells which nodes live.
    on_answer : callable
        Called with the call and its tickets, or with None.
    """

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        on_answer: Callable[[AskAdvice, dict[str, str] | None], None],
    ) -> None:
        self._context = context
        self._membership = membership
        self._on_answer = on_answer
        self._work_s_by_node: dict[str, float] = {}
        self._shunned_until_s: dict[str, float] = {}

    async def ask(self, call: AskAdvice) -> None:
        """Ask for one step and hand on the answer."""
        name = self._choose(now_s())
        work_s = self._work_s_by_node
        waiting_s = work_s.get(name, 0.0)
        work_s[name] = waiting_s + call.work_s
        tickets = None
        try:
            tickets = await self._ask_through(name, call, waiting_s + call.work_s + CALL_SLACK_S)
        except AdviceBusyError:
            self._context.log("advice_busy", through=name, job=call.step.key.job_id)
            self._shun(name)
            await asyncio.sleep(WAIT_FOR_NODE_S)
        except (SiteError, RpcError, TimeoutError) as error:
            self._context.log("advice_failed", through=name, job=call.step.key.job_id, error=error)
            self._shun(name)
            await asyncio.sleep(WAIT_FOR_NODE_S)
        finally:
            work_s[name] = max(0.0, work_s[name] - call.work_s)
            self._on_answer(call, tickets)

    def _shun(self, name: str) -> None:
        self._shunned_until_s[name] = now_s() + PAUSE_AFTER_FAILURE_S

    def _choose(self, now: float) -> str:
        own = self._context.settings.name
        names = set(self._membership.nodes_by_name) | {own}
        fit = [name for name in names if self._shunned_until_s.get(name, 0.0) <= now] or [own]
        own_domain = self._context.settings.failure_domain

        def order(name: str) -> tuple[float, bool, bool, str]:
            entry = self._membership.nodes_by_name.get(name)
            is_far = entry is not None and entry.failure_domain != own_domain
            return self._work_s_by_node.get(name, 0.0), name != own, is_far, name

        return min(fit, key=order)

    async def _ask_through(
        self, name: str, call: AskAdvice, timeout_s: float
    ) -> dict[str, str] | None:
        entry = self._membership.nodes_by_name.get(name)
        if name == self._context.settings.name or entry is None:
            return await self._context.advice.ask(call.step.key, call.workers, timeout_s)
        return await self._context.calls.advise(
            entry.address, call.step.key, call.workers, timeout_s
        )
