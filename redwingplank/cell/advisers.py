"""Spreads calls for advice over the nodes: the service answers one at a time for each."""

import asyncio
from collections.abc import Callable

from redwingplank.batch.commands import AskAdvice
from redwingplank.batch.lanes import AdviceBalancer
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.platform.site.advice import AdviceBusyError
from redwingplank.platform.site.http import SiteError
from redwingplank.rpc.errors import RpcError

__all__ = ["Advisers"]

CALL_SLACK_S = 1.2
"""Beyond the work that the service has for this node's calls."""
WAIT_FOR_NODE_S = 0.02
"""Before the step is asked for again, through another node."""
ALL_FAILED_PAUSE_S = 0.1
"""Before a call while every node has failed: the service is out of reach for all."""


class Advisers:
    """Sends each call through the node that is likely to answer first.

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
        self._lanes = AdviceBalancer()

    async def ask(self, call: AskAdvice) -> None:
        """Ask for one step and hand on the answer."""
        name = self._lanes.choose(self._nodes(), call.work_s, now_s())
        if self._lanes.is_left_out(name, now_s()):
            await asyncio.sleep(ALL_FAILED_PAUSE_S)
        until_answer_s = self._lanes.record_call_start(name, call.work_s)
        tickets = None
        try:
            tickets = await self._ask_through(name, call, until_answer_s + CALL_SLACK_S)
            if tickets is None:
                await self._failed(name, call, "advice_failed", "the service did not answer it")
        except AdviceBusyError as error:
            await self._failed(name, call, "advice_busy", error)
        except (SiteError, RpcError, TimeoutError) as error:
            await self._failed(name, call, "advice_failed", error)
        finally:
            self._lanes.record_call_end(name, call.work_s)
            self._on_answer(call, tickets)

    async def _failed(self, name: str, call: AskAdvice, event: str, error: Exception | str) -> None:
        """Leave a node out for a while."""
        self._context.log(event, through=name, job=call.step.key.job_id, error=error)
        self._lanes.failed(name, now_s())
        await asyncio.sleep(WAIT_FOR_NODE_S)

    def _nodes(self) -> list[str]:
        """Return this node, then those of its failure domain, then the others."""
        settings = self._context.settings
        entries = self._membership.nodes_by_name
        others = sorted(
            entries.keys() - {settings.name},
            key=lambda name: (entries[name].failure_domain != settings.failure_domain, name),
        )
        return [settings.name, *others]

    async def _ask_through(
        self, name: str, call: AskAdvice, timeout_s: float
    ) -> dict[str, str] | None:
        entry = self._membership.nodes_by_name.get(name)
        if name == self._context.settings.name or entry is None:
            return await self._context.advice.ask(call.step.key, call.workers, timeout_s)
        return await self._context.calls.advise(
            entry.address, call.step.key, call.workers, timeout_s
        )
