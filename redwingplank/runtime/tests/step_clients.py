"""Store and worker clients of which chosen calls fail."""

import asyncio
from enum import StrEnum

from redwingplank.platform import KeyValueStore, OutcomeUnknownError, UnavailableError, WorkerClient

__all__ = ["CallFault", "StepStore", "StepWorkers"]

NEVER_S = 3600.0


class CallFault(StrEnum):
    """How one call fails.

    The call of a process that dies never returns; DIES_AFTER lets the call have its effect first.
    """

    REFUSED = "refused"
    REQUEST_LOST = "request_lost"
    ANSWER_LOST = "answer_lost"
    LATE = "late"
    DIES_BEFORE = "dies_before"
    DIES_AFTER = "dies_after"


class _Steps:
    """Counts calls and makes the chosen ones fail.

    Parameters
    ----------
    faults_by_call : dict of int to CallFault
        Fault of each failing call, by its number counted from 0.
    on_death : callable
        Called when the calling process dies.
    late_s : float
        Seconds after which a LATE call has its effect; its caller receives no answer.
    """

    def __init__(self, faults_by_call=None, on_death=None, late_s=0.6):
        self.faults_by_call = faults_by_call or {}
        self.on_death = on_death
        self.late_s = late_s
        self.names = []
        self.late = []
        self.is_dead = False

    async def call(self, name, effect):
        number = len(self.names)
        self.names.append(name)
        fault = self.faults_by_call.get(number)
        if self.is_dead:
            await asyncio.sleep(NEVER_S)
        if fault is None:
            return await effect()
        return await self._fail(fault, effect)

    async def _fail(self, fault, effect):
        if fault is CallFault.REFUSED:
            raise UnavailableError("refused")
        if fault is CallFault.REQUEST_LOST:
            raise OutcomeUnknownError("lost")
        if fault is CallFault.LATE:
            self.late.append(asyncio.create_task(self._apply_late(effect)))
            raise OutcomeUnknownError("late")
        if fault is not CallFault.DIES_BEFORE:
            await effect()
        if fault is CallFault.ANSWER_LOST:
            raise OutcomeUnknownError("answer lost")
        self.is_dead = True
        self.on_death()
        await asyncio.sleep(NEVER_S)

    async def _apply_late(self, effect):
        await asyncio.sleep(self.late_s)
        try:
            await effect()
        except Exception as error:
            return error


class StepStore(KeyValueStore):
    """A store client of which chosen calls fail; watches never do."""

    def __init__(self, inner, steps):
        self.inner = inner
        self.steps = steps

    async def range(self, prefix, *, is_prefix=True):
        return await self.steps.call(
            f"range {prefix}", lambda: self.inner.range(prefix, is_prefix=is_prefix)
        )

    async def transact(self, compares, operations):
        return await self.steps.call("transact", lambda: self.inner.transact(compares, operations))

    async def grant_lease(self, ttl_s):
        return await self.steps.call("grant", lambda: self.inner.grant_lease(ttl_s))

    async def keep_alive(self, lease_id):
        return await self.steps.call("keep_alive", lambda: self.inner.keep_alive(lease_id))

    async def revoke_lease(self, lease_id):
        return await self.steps.call("revoke", lambda: self.inner.revoke_lease(lease_id))

    def watch(self, prefix, after_revision):
        return self.inner.watch(prefix, after_revision)


class StepWorkers(WorkerClient):
    """A worker client of which chosen calls fail."""

    def __init__(self, inner, steps):
        self.inner = inner
        self.steps = steps

    async def adopt(self, address, epoch, lease_s):
        return await self.steps.call("adopt", lambda: self.inner.adopt(address, epoch, lease_s))

    async def exchange(self, address, request):
        return await self.steps.call("exchange", lambda: self.inner.exchange(address, request))


def make_steps(faults_by_call=None, on_death=None, late_s=0.6):
    return _Steps(faults_by_call, on_death, late_s)
