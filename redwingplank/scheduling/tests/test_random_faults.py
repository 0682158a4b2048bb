"""Tests with random faults in random order.

No VM is overbooked, no task runs in two places, and every job reaches a final state.
"""

import numpy as np
import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from redwingplank.config import DeadlineClass, PlacementPolicyName, WorkloadKind
from redwingplank.core import make_resources, sum_resources
from redwingplank.scheduling import SchedulerSettings
from redwingplank.scheduling.messages import DrainVm, SubmitOutcome
from redwingplank.scheduling.tests.shard import Shard, make_declarations, make_service, payload

STANDING_COUNT = 3
FAULTS = ["", "", "", "", "", "lost_request", "refused_connection", "lost_answer"]
DECLARATIONS = make_declarations(
    make_service("work"),
    make_service("once", is_idempotent=False),
    make_service("gang", kind=WorkloadKind.GANG),
    make_service("wait", policy=PlacementPolicyName.WAITING),
    make_service("urgent", deadline_class=DeadlineClass.URGENT, start_within_s=3.0),
    make_service("bulk", deadline_class=DeadlineClass.BULK, is_checkpointable=True),
    make_service("wide", resources=make_resources(7000, 1024)),
    make_service("standing", kind=WorkloadKind.SERVICE, count=STANDING_COUNT),
)
SERVICES = ["work", "once", "gang", "wait", "urgent", "bulk", "wide"]
FINAL = {"succeeded", "failed", "cancelled", "unknown"}


def check_places(shard: Shard) -> None:
    """Check that no VM is overbooked and no task runs in two places."""
    for places in shard.running_on().values():
        assert len(places) == 1
    for worker in shard.workers_by_name.values():
        reserved = [attempt.start.reserved for attempt in worker.attempts_by_task.values()]
        assert sum_resources(reserved).fits_in(worker.capacity)


class Storm:
    """Drives a shard with random faults, submissions and takeovers from a seed."""

    def __init__(self, number: int) -> None:
        self.rng = np.random.default_rng(number)
        self.shard = Shard(DECLARATIONS, SchedulerSettings("s", seed=number, max_losses=10**6))
        self.shard.fault = self.fault
        self.shard.add_workers(4)
        self.is_calm = False
        self.jobs: list[str] = []

    def fault(self, worker, request) -> str:
        return "" if self.is_calm else str(self.rng.choice(FAULTS))

    def step(self) -> None:
        shard, rng = self.shard, self.rng
        worker = shard.workers_by_name[f"w{rng.integers(4)}"]
        event_draw = rng.random()
        if event_draw < 0.15:
            self.submit()
        elif event_draw < 0.17:
            worker.restart()
        elif event_draw < 0.20:
            worker.switches.is_paused = not worker.switches.is_paused
        elif event_draw < 0.23 and self.jobs:
            shard.cancel(str(rng.choice(self.jobs)))
        elif event_draw < 0.24:
            self.take_over()
        elif event_draw < 0.26:
            shard.inbox.append(DrainVm(worker.name, bool(rng.random() < 0.5)))
        elif event_draw < 0.27:
            worker.switches.is_failing = not worker.switches.is_failing
        shard.tick(float(rng.choice([0.02, 0.1, 0.5])))
        check_places(shard)

    def submit(self) -> None:
        job_id = f"job-{len(self.jobs)}"
        self.jobs.append(job_id)
        service = str(self.rng.choice(SERVICES))
        task_payload = payload(
            run_s=float(self.rng.random() * 8),
            is_failing=bool(self.rng.random() < 0.05),
            used_memory_mib=int(self.rng.choice([500, 1024, 3000])),
        )
        self.shard.submit(
            job_id, service, task_count=int(self.rng.integers(1, 6)), payload=task_payload
        )

    def take_over(self) -> None:
        old = self.shard
        accepted = [a.job_id for a in old.answers() if a.outcome is SubmitOutcome.ACCEPTED]
        self.jobs = sorted(set(accepted))
        self.shard = old.take_over(fence_after_s=old.settings.task_lease_s + 0.5)
        self.shard.messages = old.messages
        self.shard.fault = self.fault
        self.shard.list_vms()
        self.adopt_missing()

    def adopt_missing(self) -> None:
        for name, worker in self.shard.workers_by_name.items():
            if not worker.switches.is_paused:
                self.shard.adopt(name)

    def calm(self) -> None:
        self.is_calm = True
        for worker in self.shard.workers_by_name.values():
            worker.switches.is_paused = worker.switches.is_failing = False
            self.shard.inbox.append(DrainVm(worker.name, is_draining=False))
        self.adopt_missing()
        for _ in range(1500):
            self.shard.tick(0.2)
            check_places(self.shard)


class TestRandomFaults:
    @pytest.mark.parametrize("number", range(16))
    def test_storm_then_calm(self, number):
        self.check(number, 300)

    @seed(69)
    @settings(max_examples=8, deadline=None, suppress_health_check=list(HealthCheck))
    @given(st.integers(0, 10**6), st.integers(20, 200))
    def test_generated_storms(self, number, steps):
        self.check(number, steps)

    def check(self, number: int, steps: int) -> None:
        storm = Storm(number)
        for _ in range(steps):
            storm.step()
        storm.calm()
        shard = storm.shard
        states = {job_id: shard.state_of(job_id) for job_id in storm.jobs}
        assert {job for job, state in states.items() if state not in FINAL} == set()
        for task_id, starts in shard.starts_by_task().items():
            job = shard.scheduler.job_status(task_id.rpartition("/")[0], 0.0)
            if job is not None and job.service == "once":
                assert starts <= 1, task_id
        standing = [task for task in shard.running_on() if ".service:" in task]
        assert len(standing) == len(shard.running_on()) == STANDING_COUNT
        summary = shard.scheduler.summary(0.0)
        workers = shard.workers_by_name.values()
        assert summary.running_count == STANDING_COUNT
        assert summary.capacity == sum_resources(worker.capacity for worker in workers)
        assert summary.waiting_by_class == (0, 0, 0)
