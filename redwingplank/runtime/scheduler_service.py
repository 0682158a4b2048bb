"""RPC service that answers calls to the shards of this process."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError, RpcError, load_schema
from redwingplank.rpc.scheduler_messages import (
    read_spec,
    write_job_status,
    write_submit_answer,
    write_summary,
)
from redwingplank.runtime.shard_runner import ShardRunner
from redwingplank.scheduling.sharding import shard_of_worker

__all__ = ["SchedulerService"]

_schema: Any = load_schema("scheduler")


class SchedulerService(_schema.Scheduler.Server):
    """Server side of ``scheduler.capnp``.

    Parameters
    ----------
    runners_by_shard : mapping of str to ShardRunner
        Runners of the shards that this process is a candidate for, by shard name.
    """

    def __init__(self, runners_by_shard: Mapping[str, ShardRunner]) -> None:
        self._runners_by_shard = runners_by_shard

    async def submit(self, shard: str, spec: Any, _context: Any, **_: Any) -> Any:
        job = read_spec(spec)

        async def handle_call(runner: ShardRunner) -> dict[str, Any]:
            return {"submit": write_submit_answer(await runner.submit(job))}

        return await self._call_shard(shard, handle_call)

    async def cancel(self, shard: str, jobId: str, _context: Any, **_: Any) -> Any:  # noqa: N803
        async def handle_call(runner: ShardRunner) -> dict[str, Any]:
            return {"isKnown": (await runner.cancel(jobId)).is_known}

        return await self._call_shard(shard, handle_call)

    async def status(
        self,
        shard: str,
        jobId: str,  # noqa: N803
        knownVersion: int,  # noqa: N803
        waitS: float,  # noqa: N803
        _context: Any,
        **_: Any,
    ) -> Any:
        async def handle_call(runner: ShardRunner) -> dict[str, Any]:
            status, version = await runner.status(jobId, knownVersion, waitS)
            answer = _schema.StatusAnswer.new_message(isKnown=status is not None, version=version)
            if status is not None:
                answer.status = write_job_status(status)
            return {"status": answer}

        return await self._call_shard(shard, handle_call)

    async def explain(self, shard: str, id: str, _context: Any, **_: Any) -> Any:
        async def handle_call(runner: ShardRunner) -> dict[str, Any]:
            return {"lines": list(runner.explain(id))}

        return await self._call_shard(shard, handle_call)

    async def summary(self, shard: str, _context: Any, **_: Any) -> Any:
        async def handle_call(runner: ShardRunner) -> dict[str, Any]:
            return {"summary": write_summary(runner.summary())}

        return await self._call_shard(shard, handle_call)

    async def drain(self, vm: str, isDraining: bool, _context: Any, **_: Any) -> Any:  # noqa: N803
        async def handle_call(runner: ShardRunner) -> dict[str, Any]:
            await runner.drain_vm(vm, isDraining)
            return {"done": None}

        shard = shard_of_worker(vm, sorted(self._runners_by_shard))
        return await self._call_shard(shard, handle_call)

    async def owners(self, _context: Any, **_: Any) -> Any:
        owners = []
        for shard, runner in self._runners_by_shard.items():
            owner = runner.known_owner()
            if owner is not None:
                owners.append({"shard": shard, "address": owner.address, "epoch": owner.epoch})
        return owners

    async def _call_shard(
        self, shard: str, handle_call: Callable[[ShardRunner], Awaitable[dict[str, Any]]]
    ) -> Any:
        runner = self._runners_by_shard.get(shard)
        try:
            if runner is None:
                raise NotOwnerError(shard)
            fields = await handle_call(runner)
        except NotOwnerError as error:
            owner = {"shard": shard, "address": error.owner_address, "epoch": error.epoch}
            fields = {"notOwner": owner}
        except CallOutcomeUnknownError as error:
            fields = {"outcomeUnknown": str(error)}
        except RpcError as error:
            raise RpcError(f"{shard}: {error}") from error
        return _schema.Answer.new_message(**fields)
