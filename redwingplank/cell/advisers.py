"""Spreads calls of the advice service over the nodes: it handles one call per node at a time."""

import asyncio
from collections.abc import Callable

from redwingplank.batch.advice_balancer import AdviceBalancer
from redwingplank.batch.commands import AskAdvice
from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.membership import Membership
from redwingplank.platform.site.advice import AdviceBusyError
from redwingplank.platform.site.http import SiteError
from redwingplank.rpc.errors import RpcError

__all__ = ["Advisers"]

CALL_SLACK_S = 1.2
"""Added to the expected time until the answer, which includes the calls queued for the node."""
WAIT_FOR_NODE_S = 0.02
"""Pause after a failed call, before the step is asked for again through another node."""
ALL_FAILED_PAUSE_S = 0.1
"""Pause before a call when the last call through every node failed: no node reaches the service."""


class Advisers:
    """Sends each call through the node that is expected to answer first.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    membership : Membership
        Provides the live nodes.
    on_answer : callable
        Called with the call and its tickets by worker, or with None in place of the tickets if
        there was no answer.
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
        self._balancer = AdviceBalancer()

    async def ask(self, call: AskAdvice) -> None:
        """Ask for the tickets of one step and pass the answer to `on_answer`."""
        name = self._balancer.choose(self._list_nodes(), call.work_s, now_s())
        if self._balancer.is_backing_off(name, now_s()):
            await asyncio.sleep(ALL_FAILED_PAUSE_S)
        until_answer_s = self._balancer.record_call_start(name, call.work_s)
        tickets = None
        try:
            tickets = await self._ask_through(name, call, until_answer_s + CALL_SLACK_S)
            if tickets is None:
                await self._handle_failure(
                    name, call, "advice_failed", "the service did not answer it"
                )
        except AdviceBusyError as error:
            await self._handle_failure(name, call, "advice_busy", error)
        except (SiteError, RpcError, TimeoutError) as error:
            await self._handle_failure(name, call, "advice_failed", error)
        finally:
            self._balancer.record_call_end(name, call.work_s)
            self._on_answer(call, tickets)

    async def _handle_failure(
        self, name: str, call: AskAdvice, event: str, error: Exception | str
    ) -> None:
        """Log a failed call, exclude the node for a while, and pause."""
        self._context.log(event, through=name, job=call.step.key.job_id, error=error)
        self._balancer.record_failure(name, now_s())
        await asyncio.sleep(WAIT_FOR_NODE_S)

    def _list_nodes(self) -> list[str]:
        """Return this node's name, then those of its failure domain, then the others."""
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
