import asyncio
from dataclasses import replace

import capnp
import pytest

from redwingplank.core import MonotonicClock
from redwingplank.rpc import CallOutcomeUnknownError, NotOwnerError, PeerConnections, serve_node
from redwingplank.rpc.scheduler_calls import SCHEDULER_SERVICE, SchedulerCalls
from redwingplank.runtime.tests.cells import (
    DOMAIN,
    Cell,
    make_declarations,
    make_real_core,
    make_spec,
    until,
)
from redwingplank.scheduling.messages import JobState, SubmitOutcome
from redwingplank.standin.virtual_time import run_virtual


class TestSchedulerProcess:
    def test_runs_a_job_to_its_end(self):
        async def scenario():
            cell = Cell()
            candidate = cell.add_candidate("a")
            await until(lambda: candidate.is_ready)
            answer = await candidate.runner.submit(make_spec(task_count=5))
            assert answer.outcome is SubmitOutcome.ACCEPTED
            status, version = await candidate.runner.status(answer.job_id, 1, 30.0)
            assert (status.state, version) == (JobState.SUCCEEDED, 2)
            assert sorted(cell.started_tasks()) == [f"{DOMAIN}.job/{index}" for index in range(5)]
            await candidate.process.stop()

        run_virtual(scenario())

    def test_refuses_a_payload_that_no_record_can_hold(self):
        async def scenario():
            cell = Cell()
            candidate = cell.add_candidate("a")
            await until(lambda: candidate.is_ready)
            large = replace(make_spec(), payload=b"p" * 300_000)
            answer = await candidate.runner.submit(large)
            assert answer.outcome is SubmitOutcome.REJECTED
            assert "300000 bytes" in answer.detail

        run_virtual(scenario())

    def test_a_result_that_no_record_can_hold_fails_the_task(self):
        async def scenario():
            cell = Cell(worker_count=1, make_core=make_real_core, declarations=make_declarations())
            (worker,) = cell.workers.values()
            candidate = cell.add_candidate("a")
            await until(lambda: candidate.is_ready)
            await candidate.runner.submit(make_spec(run_s=2.0))
            await until(lambda: len(cell.started_tasks()) == 1)
            worker.advance()
            await asyncio.sleep(2.0)
            worker.advance()
            worker.unacknowledged = [
                replace(completion, result=b"r" * 300_000) for completion in worker.unacknowledged
            ]
            assert worker.unacknowledged
            await until(lambda: len(cell.started_tasks()) == 2)
            assert candidate.is_ready

        run_virtual(scenario())

    def test_ends_when_a_loop_of_the_term_fails(self):
        async def scenario():
            cell = Cell()
            candidate = cell.add_candidate("a")
            await until(lambda: candidate.is_ready)
            writer = candidate.runner.ownership_runner.writer
            writer.buffer.cut_flush = None
            answer = asyncio.create_task(candidate.runner.submit(make_spec()))
            with pytest.raises(TypeError):
                await candidate.process.wait()
            with pytest.raises(CallOutcomeUnknownError):
                await answer

        run_virtual(scenario())


class TestSchedulerCalls:
    def test_serves_every_call_and_names_the_owner_elsewhere(self):
        address = "127.0.0.1:17301"

        async def scenario():
            clock = MonotonicClock()
            cell = Cell(clock=clock, tick_every_s=0.01, task_lease_s=0.4)
            owner = cell.add_candidate("a")
            server = await serve_node(address, {SCHEDULER_SERVICE: owner.process.service()})
            peers = PeerConnections()
            calls = SchedulerCalls(peers)
            await until(lambda: owner.is_ready, clock=clock)
            answer = await calls.submit(address, DOMAIN, make_spec(run_s=0.05), 5.0)
            assert answer.outcome is SubmitOutcome.ACCEPTED
            status, version = await calls.status(address, DOMAIN, answer.job_id, 1, 5.0, 6.0)
            assert status is not None
            assert (status.state, version) == (JobState.SUCCEEDED, 2)
            assert await calls.status(address, DOMAIN, "x", 5, 0.0, 5.0) == (None, 0)
            assert (await calls.cancel(address, DOMAIN, answer.job_id, 5.0)).is_known
            assert await calls.explain(address, DOMAIN, "x", 5.0) == ("id=x",)
            await calls.drain(address, "w0", True, 5.0)
            assert await calls.owners(address, 5.0) == {DOMAIN: ("a:1", 1)}
            with pytest.raises(NotOwnerError):
                await calls.submit(address, "ankara-2", make_spec(), 5.0)
            await owner.process.stop()
            with pytest.raises(NotOwnerError):
                await calls.submit(address, DOMAIN, make_spec(), 5.0)
            peers.close()
            await server.stop()

        asyncio.run(capnp.run(scenario()))
