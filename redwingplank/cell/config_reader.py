"""Reads the newest configuration, and proves that none is newer."""

import asyncio

from redwingplank.cell.clocks import now_s
from redwingplank.cell.config import ActiveConfig
from redwingplank.cell.context import NodeContext
from redwingplank.platform.site.config import CONFIG_KEY
from redwingplank.platform.site.store import StoreInvalidCallError, TransactionOutcome

__all__ = ["ConfigReader"]

READ_TIMEOUT_S = 1.5
"""Time until an answer begins. A configuration has to be in force 2 s after its change; what has no
answer by then is asked again."""


class ConfigReader:
    """Calls that return the newest configuration alone, however many there were.

    The calls wait for each other, so that two never transfer the same configuration. Each proves
    the configuration as of the time that it was sent: the store may have answered for any time
    since then.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    config : ActiveConfig
        Provides the known revision, and takes newer items and the times of proofs.

    Notes
    -----
    Both methods raise `NotSentError`, `NoAnswerError` or `StoreRefusedError`.
    """

    def __init__(self, context: NodeContext, config: ActiveConfig) -> None:
        self._context = context
        self._config = config
        self._lock = asyncio.Lock()

    async def read(self) -> int:
        """Read and apply the newest configuration.

        Returns
        -------
        int
            Revision of the store at the time of the read; a watch may begin there.
        """
        async with self._lock:
            return await self._read()

    async def compare(self) -> None:
        """Compare the known revision with that of the store, and apply the newer item, if any.

        The answer is small while nothing has changed, but the store counts the call as a write. A
        store that accepts no transaction without writes is read instead.
        """
        async with self._lock:
            sent_s = now_s()
            revision = self._config.newest_revision
            try:
                result = await self._context.store.transact(
                    {CONFIG_KEY: revision}, [], [], READ_TIMEOUT_S
                )
            except StoreInvalidCallError:
                await self._read()
                return
            if result.outcome is TransactionOutcome.LEASE_GONE:
                await self._read()
            elif result.outcome is TransactionOutcome.DONE:
                self._config.record_proof(revision, sent_s)
            else:
                self._config.apply_newest(result.found)
                for item in result.found:
                    self._config.record_proof(item.revision, sent_s)

    async def _read(self) -> int:
        sent_s = now_s()
        page = await self._context.store.read_page(CONFIG_KEY, "", READ_TIMEOUT_S)
        self._config.apply_newest(page.items)
        for item in page.items:
            if item.key == CONFIG_KEY:
                self._config.record_proof(item.revision, sent_s)
        return page.revision
