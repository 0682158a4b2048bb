"""Runs one call of the store against a scripted one, and compares its outcome with the effects."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, TypeVar

import pytest

from redwingplank.cell import hedged_store
from redwingplank.cell.callers import Callers
from redwingplank.cell.context import StoreHealth
from redwingplank.cell.hedged_store import HedgedStore
from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.platform.site.http import NoAnswerError, NotSentError, SiteClient
from redwingplank.platform.site.store import Put, SiteStore, StoreRefusedError
from redwingplank.standin.exchange_script import AnswerPlan, Exchange, Step, StopListening
from redwingplank.standin.fault_rows import FAULTS_BY_NAME, WAIT_S
from redwingplank.standin.scripted_site import ScriptedSite, make_scripted_store
from redwingplank.standin.site_store import SiteStoreModel

HEDGE_DELAY_S = 0.05
"""A sixth of the time that a call waits, so that all copies are sent."""
CASES_AT_ONCE = 48
WARM_UP_TIMEOUT_S = 60.0
VALUE = b"v" * 400
_WARM_UP = Exchange(answer=AnswerPlan(delay_s=0.1))

_Result = TypeVar("_Result")


@dataclass(frozen=True)
class Case:
    """Calls whose copies meet the steps of a script.

    `kept` is the number of idle connections that are open before the calls, and `then` the step of
    the copies beyond the script. Each call writes a job of its own.
    """

    name: str
    script: tuple[Step, ...]
    then: Exchange
    kept: int = 0
    calls: int = 1
    is_concurrent: bool = False
    wait_s: float = WAIT_S


@dataclass(frozen=True)
class Outcome:
    """Outcome of a call; `is_certain` if it says that no copy has or will have an effect."""

    text: str
    is_certain: bool


@dataclass(frozen=True)
class Verdict:
    """Outcomes of the calls of a case, and which took effect until the store had settled."""

    case: Case
    outcomes: tuple[Outcome, ...]
    effects: tuple[bool, ...]
    trace: str

    @property
    def first(self) -> Outcome:
        return self.outcomes[0]

    @property
    def is_wrong(self) -> bool:
        return any(
            outcome.is_certain and has_effect
            for outcome, has_effect in zip(self.outcomes, self.effects, strict=True)
        )


def shorten_hedge_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hedged_store, "MIN_HEDGE_DELAY_S", HEDGE_DELAY_S)
    monkeypatch.setattr(hedged_store, "MAX_HEDGE_DELAY_S", HEDGE_DELAY_S)


def make_case(first: str, later: str, kept: int) -> Case:
    """Return the case of a fault of the first copy and another one of all further copies."""
    first_step, later_step = FAULTS_BY_NAME[first].step, FAULTS_BY_NAME[later].step
    name = f"{first} / then {later} / {kept} kept"
    if isinstance(later_step, StopListening):
        return Case(name, (first_step, later_step), Exchange(), kept)
    return Case(name, (first_step,), later_step, kept)


class Caller:
    """A node's clients of a scripted store.

    Parameters
    ----------
    site : ScriptedSite
        The store, which has been started.
    """

    def __init__(self, site: ScriptedSite) -> None:
        self.client = SiteClient()
        self.site_store = SiteStore(self.client, site.address, lambda name, took_s: None)
        self.store = HedgedStore(self.site_store)
        self.callers = self._make_callers()

    async def open_connections(self, count: int) -> None:
        """Leave `count` connections idle."""
        await asyncio.gather(*(self._warm_up(f"warm/{number}") for number in range(count)))

    async def _warm_up(self, key: str) -> None:
        """Write a key; a connect that timed out on a busy machine is made again."""
        while True:
            with contextlib.suppress(NotSentError):
                await self.site_store.transact({}, [Put(key, b"")], [], WARM_UP_TIMEOUT_S)
                return

    def _make_callers(self) -> Callers:
        """Return the part of a node that stores jobs."""
        context: Any = SimpleNamespace(store=self.store, log=lambda event, **fields: None)
        context.health = StoreHealth(context)
        unused: Any = None
        return Callers(context, unused, unused, unused, unused, unused)


Send = Callable[[Caller, str, float], Awaitable[Outcome]]
"""Makes a call that stores the job with an id, and waits some seconds for its outcome."""


async def send_single(caller: Caller, job_id: str, wait_s: float) -> Outcome:
    return await _transact(caller.site_store.transact, job_id, wait_s)


async def send_hedged(caller: Caller, job_id: str, wait_s: float) -> Outcome:
    return await _transact(caller.store.transact, job_id, wait_s)


async def send_submission(caller: Caller, job_id: str, wait_s: float) -> Outcome:
    outcome, reason = await caller.callers.store_here(job_id, VALUE, wait_s)
    return Outcome(f"{outcome.name} {reason}", outcome is SubmitOutcome.NOT_RUN)


async def _transact(transact: Callable[..., Awaitable[Any]], job_id: str, wait_s: float) -> Outcome:
    key = JOBS_PREFIX + job_id
    try:
        result = await transact({key: 0}, [Put(key, VALUE)], [], wait_s)
    except (NotSentError, StoreRefusedError) as error:
        return Outcome(f"{type(error).__name__}: {error}", True)
    except NoAnswerError as error:
        return Outcome(f"NoAnswerError: {error}", False)
    return Outcome(result.outcome.name, False)


async def play(case: Case, send: Send) -> Verdict:
    """Make the calls of a case, and wait until their copies can have no further effect."""
    model = SiteStoreModel()
    script = [*[_WARM_UP] * case.kept, *case.script]
    site = make_scripted_store(model, script, case.then)
    site.start()
    caller = Caller(site)
    await caller.open_connections(case.kept)
    outcomes = await _make_calls(case, caller, send)
    await caller.client.close()
    await site.settle()
    effects = tuple(f"{JOBS_PREFIX}{number}" in model.items for number in range(case.calls))
    has_effect = any(request.has_effect for request in site.requests[case.kept :])
    assert has_effect == any(effects)
    return Verdict(case, tuple(outcomes), effects, describe(site, case.kept))


async def _make_calls(case: Case, caller: Caller, send: Send) -> list[Outcome]:
    calls = [send(caller, str(number), case.wait_s) for number in range(case.calls)]
    if case.is_concurrent:
        return await asyncio.gather(*calls)
    return [await call for call in calls]


def describe(site: ScriptedSite, skipped: int = 0) -> str:
    """Return what became of each request to a site."""
    lines = []
    for treated in site.requests[skipped:]:
        is_whole = "read whole" if treated.request is not None else "not read whole"
        status = treated.result.answer.status if treated.result is not None else "not carried out"
        lines.append(f"copy {treated.number - skipped}: {is_whole}, {status}, {treated.step}")
    return "\n    ".join(lines)


async def play_all(cases: Sequence[Case], send: Send) -> list[Verdict]:
    """Play cases concurrently; return the verdicts in their order."""
    turn = asyncio.Semaphore(CASES_AT_ONCE)

    async def play_in_turn(case: Case) -> Verdict:
        async with turn:
            return await play(case, send)

    return await asyncio.gather(*(play_in_turn(case) for case in cases))


def report_wrong(verdicts: Sequence[Verdict]) -> str:
    """Return the cases whose outcome says more than is true, empty if there are none."""
    return "\n".join(
        f"{verdict.case.name}: {verdict.outcomes}, {verdict.effects}\n    {verdict.trace}"
        for verdict in verdicts
        if verdict.is_wrong
    )
