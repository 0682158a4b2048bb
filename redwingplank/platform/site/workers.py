"""Client of the workers: commands, polls, and the entries that workers publish in the store."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Annotated

import msgspec

from redwingplank.batch.job_limits import MAX_NUMBER
from redwingplank.batch.model import (
    Amounts,
    CompletionKind,
    PollReport,
    RunCompletion,
    RunReport,
    StartAnswer,
    StartOutcome,
    TaskId,
    WorkerEntry,
)
from redwingplank.core import InvalidValueError, UndecodableError, check_address, decode_json
from redwingplank.platform.site.http import (
    NoAnswerError,
    NotSentError,
    Reply,
    SiteClient,
    SiteError,
)

__all__ = [
    "WORKER_ENTRIES_PREFIX",
    "FencedError",
    "SiteWorkers",
    "StartCommand",
    "decode_worker",
    "format_task",
    "parse_task",
]

WORKER_ENTRIES_PREFIX = "servers/"
POLL_SLACK_S = 0.5
"""Added to the wait of a poll for the time-out of its call."""
MAX_CACHED_TASKS = 8192
"""Parsed names of tasks that are kept: each poll lists all tasks that run on a worker again."""

MAX_TIME_MS = 2**53
"""Largest time in milliseconds since 1970 that is believed; it is exact as a float."""

_COMPLETION_KINDS = {
    "done": CompletionKind.DONE,
    "failed": CompletionKind.FAILED,
    "stopped": CompletionKind.STOPPED,
    "lapsed": CompletionKind.LAPSED,
    "broken": CompletionKind.BROKEN,
    "alone": CompletionKind.ALONE,
}
_REFUSALS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD_ATTEMPT,
    "late": StartOutcome.TOO_LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.BAD_TICKET,
}
_REFUSALS_BY_STATUS = {
    400: StartOutcome.INVALID,
    421: StartOutcome.OTHER_INCARNATION,
    429: StartOutcome.UNHEALTHY,
    503: StartOutcome.UNHEALTHY,
}


class FencedError(Exception):
    """The worker has received a higher fencing token."""


@dataclass(frozen=True, slots=True)
class StartCommand:
    """The command to start a task, with all that the worker needs.

    `lease_until_ms` is on the worker's clock; `saved` is a checkpoint and `ticket` that of the
    advice service, each empty for none.
    """

    task: TaskId
    attempt: int
    payload: str
    lease_until_ms: int
    token: int
    saved: str
    ticket: str


_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]


class _WireCapacity(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _WireEntry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    capacity: _WireCapacity = msgspec.field(default_factory=_WireCapacity)
    labels: list[str] = []
    # Unix time in ms of the start of the worker's process, which identifies its incarnation.
    born: _TimeMs = 0
    remaining_ms: _Amount = 0


class _WirePoll(msgspec.Struct):
    # Answer to a poll, which the platform calls "hold".
    clock_ms: float = 0
    born: int = 0
    # Rows of task, attempt ("run"), checkpoint, percent of progress, and load: the tail of the
    # response times or the processors in use.
    running: list[list[str | float | int | None]] = []
    # Rows of completion number, task, attempt, kind of completion, checkpoint.
    finished: list[list[str | float | int | None]] = []


class _WireStart(msgspec.Struct):
    clock_ms: float | None = None


class _WireRefusal(msgspec.Struct):
    reason: str = ""


class SiteWorkers:
    """Sends commands and polls to workers.

    Parameters
    ----------
    client : SiteClient
        HTTP client that sends the calls.
    """

    def __init__(self, client: SiteClient) -> None:
        self._client = client
        self.poll_count = 0
        self.broken_by_worker: Counter[str] = Counter()
        """Number of commands whose connection the worker refused or broke, by its id."""

    async def start(
        self, worker: WorkerEntry, command: StartCommand, timeout_s: float
    ) -> StartAnswer:
        """Send the command to start a task.

        Returns
        -------
        StartAnswer
            Its outcome is `UNKNOWN` if the command may have been received but got no usable answer.
        """
        body: dict[str, object] = {
            "task": format_task(command.task),
            "attempt": command.attempt,
            "spec": command.payload,
            "deadline_ms": command.lease_until_ms,
            "fencing_token": command.token,
        }
        if command.saved:
            body["checkpoint"] = command.saved
        if command.ticket:
            body["ticket"] = command.ticket
        headers = {"X-Redwingplank-Expect-Instance": worker.worker_id}
        try:
            reply = await self._command(worker, "/-/run-start", timeout_s, body, headers)
        except NotSentError:
            return StartAnswer(StartOutcome.NOT_SENT)
        except NoAnswerError:
            return StartAnswer(StartOutcome.UNKNOWN)
        if reply.is_ok:
            return StartAnswer(StartOutcome.STARTED, _read_clock(reply.body))
        if reply.status == 409:
            return StartAnswer(_REFUSALS.get(_read_reason(reply.body), StartOutcome.UNKNOWN))
        return StartAnswer(_REFUSALS_BY_STATUS.get(reply.status, StartOutcome.UNKNOWN))

    async def stop(
        self, worker: WorkerEntry, task: TaskId, attempt: int, token: int, timeout_s: float
    ) -> bool:
        """Send the command to stop a run; return whether the worker accepted it.

        Raises
        ------
        FencedError, NotSentError, NoAnswerError
        """
        body = {"task": format_task(task), "attempt": attempt, "fencing_token": token}
        headers = {"X-Redwingplank-Expect-Instance": worker.worker_id}
        reply = await self._command(worker, "/-/run-stop", timeout_s, body, headers)
        if reply.status == 409 and _read_reason(reply.body) == "fence":
            raise FencedError(worker.worker_id)
        return reply.is_ok

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskId,
        attempt: int,
        percent: int,
        token: int,
        timeout_s: float,
    ) -> bool:
        """Send the command to run at `percent` of full speed; return whether it was accepted.

        Raises
        ------
        NotSentError, NoAnswerError
        """
        body = {
            "task": format_task(task),
            "attempt": attempt,
            "percent": percent,
            "fencing_token": token,
        }
        reply = await self._command(worker, "/-/pace", timeout_s, body)
        return reply.is_ok

    async def _command(
        self,
        worker: WorkerEntry,
        target: str,
        timeout_s: float,
        body: Mapping[str, object],
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        content = msgspec.json.encode(body)
        try:
            return await self._client.call(
                "POST", worker.address, target, timeout_s, content, headers
            )
        except SiteError as error:
            self.broken_by_worker[worker.worker_id] += error.is_broken
            raise

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        noted: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollReport:
        """Poll a worker: renew its lease and return its runs and completions.

        Parameters
        ----------
        worker : WorkerEntry
            The worker to poll.
        token : int
            Fencing token, the epoch of the owner.
        noted : int
            Acknowledges completions up to this number; the worker discards them.
        lease_until_ms : int or None
            End of the renewed lease in ms on the worker's clock; None polls without renewing.
        wait_ms : int
            Longest time in milliseconds for which the worker delays its answer until a run
            completes; 0 requests an immediate answer.

        Raises
        ------
        FencedError
            The worker has received a higher token from another owner.
        NotSentError, NoAnswerError
        """
        body: dict[str, object] = {"fencing_token": token, "last_seen": noted}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        self.poll_count += 1
        headers = {"X-Redwingplank-Expect-Instance": worker.worker_id}
        reply = await self._client.call(
            "POST",
            worker.address,
            "/-/hold",
            wait_ms / 1000 + POLL_SLACK_S,
            msgspec.json.encode(body),
            headers,
        )
        if reply.status == 409 and _read_reason(reply.body) == "fence":
            raise FencedError(worker.worker_id)
        if not reply.is_ok:
            raise NoAnswerError(f"worker {worker.worker_id} answered {reply.status}")
        return _read_report(reply.body)


def decode_worker(key: str, value: bytes) -> WorkerEntry | None:
    """Decode a worker's entry in the store.

    Returns
    -------
    WorkerEntry or None
        None if the entry cannot be read, has no valid address, or is neither ready nor draining.
    """
    try:
        wire = decode_json(value, _WireEntry)
        check_address(wire.address)
    except InvalidValueError:
        return None
    if wire.state not in ("ready", "draining"):
        return None
    capacity = wire.capacity
    return WorkerEntry(
        worker_id=key.removeprefix(WORKER_ENTRIES_PREFIX),
        address=wire.address,
        failure_domain=wire.zone,
        service=wire.service,
        capacity=Amounts(int(capacity.cpu), int(capacity.mem_mb), int(capacity.gpu)),
        kind=wire.labels[0] if wire.labels else "",
        rack=wire.labels[1] if len(wire.labels) > 1 else "",
        labels=tuple(wire.labels),
        born_ms=wire.born,
        is_draining=wire.state == "draining",
        remaining_s=wire.remaining_ms / 1000,
    )


def format_task(task: TaskId) -> str:
    """Return the name of a task on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


@lru_cache(MAX_CACHED_TASKS)
def parse_task(name: str) -> TaskId | None:
    """Return the task with a name from the wire, None if the name is not valid."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def _read_clock(body: bytes) -> int | None:
    """Return the clock in an answer, None if it tells none."""
    try:
        clock_ms = decode_json(body, _WireStart).clock_ms
        return None if clock_ms is None else int(clock_ms)
    except (InvalidValueError, ValueError, OverflowError):
        return None


def _read_reason(body: bytes) -> str:
    try:
        return decode_json(body, _WireRefusal).reason
    except UndecodableError:
        return ""


def _read_report(body: bytes) -> PollReport:
    try:
        wire = decode_json(body, _WirePoll)
        running = tuple(_read_run(row) for row in wire.running)
        completions = tuple(_read_completion(row) for row in wire.finished)
    except (TypeError, ValueError, OverflowError, IndexError, KeyError) as error:
        raise NoAnswerError(f"unreadable report of a worker: {error!r}") from error
    return PollReport(int(wire.clock_ms), wire.born, running, completions)


def _read_run(row: list) -> RunReport:
    load = row[4] if len(row) > 4 and row[4] is not None else 0.0
    return RunReport(
        _require_task(row[0]), int(row[1]), row[2] or "", float(row[3] or 0), float(load)
    )


def _read_completion(row: list) -> RunCompletion:
    return RunCompletion(
        int(row[0]), _require_task(row[1]), int(row[2]), _COMPLETION_KINDS[row[3]], row[4] or ""
    )


def _require_task(name: str | float | None) -> TaskId:
    task = parse_task(name) if isinstance(name, str) else None
    if task is None:
        raise ValueError(f"{name!r} is not the name of a task")
    return task
