"""Proves again and again that the configuration in force is the newest one in the store."""

import asyncio

from redwingplank.cell.clocks import now_s
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.config_reader import ConfigReader
from redwingplank.cell.config_watch import ConfigWatch
from redwingplank.cell.context import STORE_ERRORS, NodeContext

__all__ = ["ConfigProver"]

PROOF_PERIOD_S = 1.0


class ConfigProver:
    """Proves the age of the configuration, if calls need keys and removed keys have a time limit.

    A watch may miss changes and proves nothing; a comparison of the revisions does.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    config : ActiveConfig
        The configuration to prove.
    reader : ConfigReader
        Compares the revisions.
    watch : ConfigWatch
        No proof is sent while it receives a change: its answer would hold that change again.
    """

    def __init__(
        self, context: NodeContext, config: ActiveConfig, reader: ConfigReader, watch: ConfigWatch
    ) -> None:
        self._context = context
        self._config = config
        self._reader = reader
        self._watch = watch
        self._wakeup = asyncio.Event()

    def wake(self) -> None:
        """Send a proof now if the configuration has not been proven yet."""
        if self._config.proven_s == float("-inf"):
            self._wakeup.set()

    async def run(self) -> None:
        """Prove every `PROOF_PERIOD_S` until cancelled."""
        while True:
            self._wakeup.clear()
            due_s = now_s() + PROOF_PERIOD_S
            if self._is_due():
                await self.prove()
            try:
                async with asyncio.timeout(max(0.0, due_s - now_s())):
                    await self._wakeup.wait()
            except TimeoutError:
                pass

    def _is_due(self) -> bool:
        current = self._config.current
        return (
            self._context.settings.revocation_limit_s is not None
            and current is not None
            and current.requires_keys
            and not self._watch.is_receiving
        )

    async def prove(self) -> None:
        """Prove once; a failure is logged."""
        sent_s = now_s()
        try:
            await self._reader.compare()
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            self._context.log(
                "proof_failed",
                revision=self._config.newest_revision,
                took_s=now_s() - sent_s,
                error=repr(error),
            )
            return
        self._context.health.record_success()
