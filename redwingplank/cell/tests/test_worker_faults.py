"""Commands to workers over real sockets, with every fault: a certain outcome has to be true."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from redwingplank.batch.model import Amounts, StartOutcome, TaskId, WorkerEntry
from redwingplank.platform.site.http import NoAnswerError, NotSentError, SiteClient
from redwingplank.platform.site.workers import FencedError, SiteWorkers, StartCommand
from redwingplank.standin.exchange_script import Exchange, Step
from redwingplank.standin.fault_rows import FAULTS_BY_NAME, WAIT_S, make_refusal
from redwingplank.standin.scripted_site import make_scripted_worker
from redwingplank.standin.site_workers import SiteWorkerModel

TASK = TaskId("job", 0, 0, 0)
MINUTE_S = 60.0
REASONS = ("fence", "old", "late", "room", "ticket", "?")
STEPS_BY_NAME: dict[str, Step] = {
    **{name: fault.step for name, fault in FAULTS_BY_NAME.items()},
    **{f"409 {name}": make_refusal(409, b'{"reason":"%s"}' % name.encode()) for name in REASONS},
    "409 unreadable": make_refusal(409, b"{nothing"),
    "421": make_refusal(421),
}
EXPECTED_BY_NAME = {
    "connect refused": StartOutcome.NOT_SENT,
    "answered": StartOutcome.STARTED,
    "400": StartOutcome.INVALID,
    "421": StartOutcome.OTHER_INCARNATION,
    "429": StartOutcome.UNHEALTHY,
    "503": StartOutcome.UNHEALTHY,
    "500": StartOutcome.UNKNOWN,
    "409 fence": StartOutcome.FENCED,
    "409 old": StartOutcome.OLD_ATTEMPT,
    "409 late": StartOutcome.TOO_LATE,
    "409 room": StartOutcome.NO_ROOM,
    "409 ticket": StartOutcome.BAD_TICKET,
    "409 ?": StartOutcome.UNKNOWN,
    "409 unreadable": StartOutcome.UNKNOWN,
}
LONG_S = 30.0
"""Longer than a busy machine takes for a call."""
POSSIBLY_STARTED = {StartOutcome.STARTED, StartOutcome.UNKNOWN}


@dataclass(frozen=True)
class Verdict:
    """Outcome of a command, whether it says that there is no effect, and whether there was one."""

    outcome: str
    is_certain: bool
    has_effect: bool


Send = Callable[[SiteWorkers, WorkerEntry, float], Awaitable[tuple[str, bool]]]


async def send_start(workers: SiteWorkers, worker: WorkerEntry, wait_s: float) -> tuple[str, bool]:
    lease_until_ms = round((time.time() + MINUTE_S) * 1000)
    command = StartCommand(TASK, 1, "p" * 400, lease_until_ms, 1, "", "")
    answer = await workers.start(worker, command, wait_s)
    return answer.outcome.name, answer.outcome not in POSSIBLY_STARTED


async def send_stop(workers: SiteWorkers, worker: WorkerEntry, wait_s: float) -> tuple[str, bool]:
    try:
        is_accepted = await workers.stop(worker, TASK, 1, 1, wait_s)
    except (FencedError, NotSentError) as error:
        return type(error).__name__, True
    except NoAnswerError as error:
        return type(error).__name__, False
    return f"accepted: {is_accepted}", False


async def play(step: Step, is_kept: bool, send: Send, wait_s: float = WAIT_S) -> Verdict:
    script = [Exchange(), step] if is_kept else [step]
    site = make_scripted_worker(SiteWorkerModel(), script, Exchange())
    site.start()
    client = SiteClient()
    worker = WorkerEntry("worker", site.address, "zone", "service", Amounts(1, 1, 0))
    if is_kept:
        await client.call("POST", site.address, "/-/hold", LONG_S, b"{}")
    outcome, is_certain = await send(SiteWorkers(client), worker, wait_s)
    await client.close()
    await site.settle()
    return Verdict(outcome, is_certain, site.has_effect)


async def play_all(send: Send) -> dict[tuple[str, bool], Verdict]:
    """Return the verdicts by the name of the step and whether the connection was kept."""
    keys = [(name, is_kept) for name in STEPS_BY_NAME for is_kept in (False, True)]
    verdicts = await asyncio.gather(
        *(play(STEPS_BY_NAME[name], is_kept, send) for name, is_kept in keys)
    )
    return dict(zip(keys, verdicts, strict=True))


class TestCommands:
    # Guards against a task that is started elsewhere although its worker runs it, and against a
    # stop that is thought to have never arrived.
    @pytest.mark.parametrize("send", [send_start, send_stop])
    def test_are_said_to_be_without_effect_only_if_that_is_true(self, send):
        verdicts = asyncio.run(play_all(send))
        wrong = {
            key: verdict
            for key, verdict in verdicts.items()
            if verdict.is_certain and verdict.has_effect
        }
        assert wrong == {}

    # Guards against refusals of workers that are taken for unanswered starts.
    @pytest.mark.parametrize(("name", "expected"), list(EXPECTED_BY_NAME.items()))
    def test_that_are_refused_are_certain(self, name, expected):
        verdict = asyncio.run(play(STEPS_BY_NAME[name], False, send_start, LONG_S))
        assert verdict.outcome == expected.name

    # Guards against a stop that is not repeated because it counts as sent.
    def test_that_find_nobody_were_not_sent(self):
        verdict = asyncio.run(play(STEPS_BY_NAME["connect refused"], False, send_stop, LONG_S))
        assert (verdict.outcome, verdict.is_certain) == ("NotSentError", True)
