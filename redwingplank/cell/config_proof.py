"""Proves again and again that the configuration in force is the newest one in the store."""

import asyncio

from redwingplank.cell.clocks import now_s
from redwingplank.cell.config import ConfigFollower
from redwingplank.cell.context import STORE_ERRORS, NodeContext
from redwingplank.cell.tasks import TaskSet
from redwingplank.platform.site.config import CONFIG_KEY
from redwingplank.platform.site.store import (
    Item,
    StoreInvalidCallError,
    TransactionOutcome,
    TransactionResult,
)

__all__ = ["ConfigProver"]

PROOF_PERIOD_S = 1.0
TIMEOUT_SHARE = 0.6
"""Part of the revocation limit after which a proof is no longer waited for: a later answer would be
of use for a short time only."""
MAX_TIMEOUT_S = 3.0
"""Bounds how many proofs are under way while the store is slow."""
NO_ITEM_REVISION = 0


class ConfigProver:
    """Proves the age of the configuration, if calls need keys and removed keys have a time limit.

    A watch may miss changes and proves nothing; a transaction that only compares the revision of
    the configuration does.

    Parameters
    ----------
    context : NodeContext
        Settings, clients, log and metrics of this node.
    config : ConfigFollower
        Provides the revision to prove, and takes newer items and the times of proofs.
    tasks : TaskSet
        Runs the proofs. A slow store does not delay the next proof.
    """

    def __init__(self, context: NodeContext, config: ConfigFollower, tasks: TaskSet) -> None:
        self._context = context
        self._config = config
        self._tasks = tasks
        self._wakeup = asyncio.Event()

    def wake(self) -> None:
        """Send a proof now if the configuration has not been proven yet."""
        if self._config.proven_s == float("-inf"):
            self._wakeup.set()

    async def run(self) -> None:
        """Send a proof every `PROOF_PERIOD_S` until cancelled."""
        while True:
            limit_s = self._context.settings.revocation_limit_s
            current = self._config.current
            if limit_s is not None and current is not None and current.requires_keys:
                timeout_s = min(MAX_TIMEOUT_S, TIMEOUT_SHARE * limit_s)
                self._tasks.start(self.prove(timeout_s))
            self._wakeup.clear()
            try:
                async with asyncio.timeout(PROOF_PERIOD_S):
                    await self._wakeup.wait()
            except TimeoutError:
                pass

    async def prove(self, timeout_s: float) -> None:
        """Prove that the known revision is the newest one, or apply the newer item.

        The proof holds for the time before it was sent: the store may have compared the revisions
        at any time between then and its answer.
        """
        sent_s = now_s()
        revision = self._config.newest_revision
        try:
            result = await self._compare(revision, timeout_s)
            if result.outcome is TransactionOutcome.DONE:
                self._config.record_proof(revision, sent_s)
            else:
                self._take(result.found, sent_s)
        except STORE_ERRORS as error:
            self._context.health.record_failure(error)
            took_s = now_s() - sent_s
            self._context.log("proof_failed", revision=revision, took_s=took_s, error=repr(error))
            return
        self._context.health.record_success()

    async def _compare(self, revision: int, timeout_s: float) -> TransactionResult:
        """Compare the revision of the configuration in the store with `revision`.

        A store that accepts no transaction without writes is read instead.
        """
        store = self._context.store
        try:
            result = await store.transact({CONFIG_KEY: revision}, [], [], timeout_s)
            if result.outcome is not TransactionOutcome.LEASE_GONE:
                return result
        except StoreInvalidCallError:
            pass
        item = await store.get(CONFIG_KEY, timeout_s)
        found = (item,) if item is not None else ()
        return TransactionResult(TransactionOutcome.CONFLICT, NO_ITEM_REVISION, found)

    def _take(self, found: tuple[Item, ...], sent_s: float) -> None:
        for item in found:
            if item.key == CONFIG_KEY and item.value is not None:
                self._config.apply(item.value, item.revision)
                self._config.record_proof(item.revision, sent_s)
