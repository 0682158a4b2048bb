"""Jobs of callers whose shard owner fails, without a network."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from redwingplank.rpc import (
    CallFailedError,
    CallOutcomeUnknownError,
    NotOwnerError,
    PeerUnreachableError,
)
from redwingplank.runtime.jobs import JobGateway, JobRefusedError, JobRequest, JobUnsettledError
from redwingplank.runtime.shards import ShardDirectory
from redwingplank.scheduling.messages import (
    CancelAnswer,
    JobState,
    SubmitAnswer,
    SubmitOutcome,
)

SHARDS = ["ankara-1", "ankara-2"]


class Owners:
    """Owners of two shards: the first fails with an error, the second takes all calls."""

    def __init__(self, error: Exception) -> None:
        self._error = error
        self.submitted: list[str] = []

    async def submit(self, address, shard, spec, timeout_s):
        self.submitted.append(spec.job_id)
        if shard == SHARDS[0]:
            raise self._error
        return SubmitAnswer(0, spec.job_id, SubmitOutcome.ACCEPTED, "")

    async def status(self, address, shard, job_id, version, wait_s, timeout_s):
        return SimpleNamespace(organisation="choir"), 1

    async def cancel(self, address, shard, job_id, timeout_s):
        raise self._error


def make_gateway(
    owners: Any, find_owner: Callable[[str], str | None] = "{}:1".format
) -> JobGateway:
    directory: Any = SimpleNamespace(
        shards_by_preference=lambda: SHARDS,
        all_shards=lambda: SHARDS,
        find_owner=find_owner,
        discard_owner=lambda shard: None,
    )
    return JobGateway(owners, directory)


class TestOwnerThatFails:
    # Guards against a job that runs twice: the owner failed after it had accepted the job, and
    # another shard was asked to run it under another id.
    @pytest.mark.parametrize("error", [CallFailedError("broken"), CallOutcomeUnknownError("cut")])
    def test_a_job_that_may_be_accepted_goes_to_no_other_shard(self, error):
        owners = Owners(error)
        with pytest.raises(JobUnsettledError) as raised:
            asyncio.run(make_gateway(owners).submit(JobRequest("choir", "render")))
        assert owners.submitted == [raised.value.job_id]

    # Guards against an unknown outcome, with which callers have to wait, for a certain refusal.
    @pytest.mark.parametrize("error", [NotOwnerError("ankara-1"), PeerUnreachableError("refused")])
    def test_a_job_that_was_not_sent_goes_to_the_next_shard(self, error):
        owners = Owners(error)
        job_id = asyncio.run(make_gateway(owners).submit(JobRequest("choir", "render")))
        assert owners.submitted[1:] == [job_id]

    # Guards against telling a caller that a job was not cancelled which may have been.
    def test_a_cancellation_that_may_have_taken_effect_is_not_refused(self):
        gateway = make_gateway(Owners(CallFailedError("broken")))
        with pytest.raises(JobUnsettledError):
            asyncio.run(gateway.cancel("choir", "ankara-1.0f3c"))

    def test_a_cancellation_that_was_not_sent_is_refused(self):
        gateway = make_gateway(Owners(PeerUnreachableError("refused")))
        with pytest.raises(JobRefusedError):
            asyncio.run(gateway.cancel("choir", "ankara-1.0f3c"))


class OwnerThatAcceptedBefore:
    """Owner that accepts the first call for each job, whose answer is lost, and refuses repeats."""

    def __init__(self, repeat: Exception | SubmitOutcome | None) -> None:
        self._repeat = repeat
        self._accepted: set[str] = set()

    def find_owner(self, shard: str) -> str | None:
        is_lost = self._repeat is None and bool(self._accepted)
        return None if is_lost else f"{shard}:1"

    async def submit(self, address, shard, spec, timeout_s):
        if spec.job_id not in self._accepted:
            self._accepted.add(spec.job_id)
            raise CallOutcomeUnknownError("cut")
        if isinstance(self._repeat, Exception):
            raise self._repeat
        assert self._repeat is not None
        retry_after_s = 1.0 if self._repeat is SubmitOutcome.NOT_NOW else 0.0
        return SubmitAnswer(0, spec.job_id, self._repeat, "", retry_after_s)


class TestRepeatWithKey:
    REQUEST = JobRequest("choir", "render", idempotency_key="k")

    # Guards against "not run" for a job that runs: an earlier call with its key, through this entry
    # or another one, was accepted without an answer, and the repeat reached no owner that knows it.
    @pytest.mark.parametrize(
        "repeat",
        [
            None,
            NotOwnerError("ankara-1"),
            PeerUnreachableError("refused"),
            SubmitOutcome.NOT_NOW,
        ],
    )
    @pytest.mark.parametrize("is_other_entry", [False, True])
    def test_is_not_refused_while_an_earlier_call_may_be_accepted(self, repeat, is_other_entry):
        owner = OwnerThatAcceptedBefore(repeat)
        entries = [make_gateway(owner, owner.find_owner) for _ in range(2)]
        with pytest.raises(JobUnsettledError) as first:
            asyncio.run(entries[0].submit(self.REQUEST))
        with pytest.raises(JobUnsettledError) as second:
            asyncio.run(entries[is_other_entry].submit(self.REQUEST))
        assert second.value.job_id == first.value.job_id
        assert second.value.retry_after_s > 0

    # Guards against a job that is said to be unknown when its owner decided that it cannot run.
    def test_is_refused_where_the_owner_rejects_the_job(self):
        gateway = make_gateway(OwnerThatAcceptedBefore(SubmitOutcome.REJECTED))
        with pytest.raises(JobUnsettledError):
            asyncio.run(gateway.submit(self.REQUEST))
        with pytest.raises(JobRefusedError) as raised:
            asyncio.run(gateway.submit(self.REQUEST))
        assert raised.value.retry_after_s == 0.0


class OwnerOfAnEndingJob:
    """Owner of a job whose state after its cancellation is `state`, None if it cannot be read."""

    def __init__(self, state: JobState | None) -> None:
        self._state: JobState | None = JobState.RUNNING
        self._state_after = state

    async def status(self, address, shard, job_id, version, wait_s, timeout_s):
        if self._state is None:
            raise PeerUnreachableError("gone")
        return SimpleNamespace(organisation="choir", state=self._state), 1

    async def cancel(self, address, shard, job_id, timeout_s):
        self._state = self._state_after
        return CancelAnswer(0, job_id, is_known=True)


class TestStateAfterCancellation:
    # Guards against "cancelled" for a job that had ended otherwise before it was cancelled, such
    # as one whose end became durable together with the call.
    @pytest.mark.parametrize(
        ("state", "told"),
        [
            (JobState.SUCCEEDED, JobState.SUCCEEDED),
            (JobState.FAILED, JobState.FAILED),
            (JobState.UNKNOWN, JobState.UNKNOWN),
            (JobState.CANCELLED, JobState.CANCELLED),
            (JobState.RUNNING, JobState.CANCELLED),
            (None, None),
        ],
    )
    def test_is_the_one_in_which_the_job_ended(self, state, told):
        gateway = make_gateway(OwnerOfAnEndingJob(state))
        assert asyncio.run(gateway.cancel("choir", "ankara-1.0f3c")) is told


class TwoCandidates:
    """Candidates of one shard: the first was replaced and still calls itself the owner."""

    async def owners(self, address, timeout_s):
        epochs_by_address = {"a:1": 1, "b:1": 2}
        return {"ankara-1": (address, epochs_by_address[address])}

    async def status(self, address, shard, job_id, version, wait_s, timeout_s):
        if address == "a:1":
            raise NotOwnerError(shard)
        return SimpleNamespace(organisation="choir"), 1


class TestReplacedOwner:
    # Guards against an entry that asks a replaced owner again and again, and finds no other.
    def test_is_left_for_the_present_one_by_the_next_refresh(self):
        async def scenario():
            calls: Any = TwoCandidates()
            addresses = {"ankara-1/a": "a:1", "ankara-1/b": "b:1"}
            directory = ShardDirectory(calls, ["ankara-1"], addresses, "ankara-1")
            gateway = JobGateway(calls, directory)
            await directory.refresh()
            with pytest.raises(JobRefusedError):
                await gateway.status("choir", "ankara-1.0f3c", 0, 0.0)
            await directory.refresh()
            _, version = await gateway.status("choir", "ankara-1.0f3c", 0, 0.0)
            assert version == 1

        asyncio.run(scenario())
