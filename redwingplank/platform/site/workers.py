"""Orders to workers, and what workers publish about themselves."""

from dataclasses import dataclass

import msgspec

from redwingplank.batch.model import (
    Amounts,
    CompletionKind,
    PollReport,
    RunCompletion,
    RunReport,
    StartOutcome,
    TaskId,
    WorkerEntry,
)
from redwingplank.platform.site.http import NoAnswerError, NotSentError, SiteClient

__all__ = [
    "WORKER_ENTRIES_PREFIX",
    "FencedError",
    "SiteWorkers",
    "StartOrder",
    "decode_worker",
    "format_task",
    "parse_task",
]

WORKER_ENTRIES_PREFIX = "servers/"
HOLD_SLACK_S = 0.5

_END_KINDS = {
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


class FencedError(Exception):
    """The worker has seen a higher fencing token."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Everything that a worker needs to start a task."""

    task: TaskId
    attempt: int
    payload: str
    lease_until_ms: int
    token: int
    saved: str
    ticket: str


class _WireEntry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    capacity: dict[str, float] = {}
    labels: list[str] = []
    born: int = 0
    remaining_ms: float = 0


class _WireHold(msgspec.Struct):
    clock_ms: float = 0
    born: int = 0
    # Rows of task, attempt ("run"), checkpoint, percent, and tail or processors in use.
    running: list[list[str | float | int | None]] = []
    # Rows of number, task, attempt, kind of end, checkpoint.
    finished: list[list[str | float | int | None]] = []


class _WireRefusal(msgspec.Struct):
    reason: str = ""


class SiteWorkers:
    """Calls to workers.

    Parameters
    ----------
    client : SiteClient
        Sends the calls.
    """

    def __init__(self, client: SiteClient) -> None:
        self._client = client
        self.poll_count = 0

    async def start(self, worker: WorkerEntry, order: StartOrder, timeout_s: float) -> StartOutcome:
        """Order a start; an answer that does not come is `StartOutcome.UNKNOWN`."""
        body: dict[str, object] = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "spec": order.payload,
            "deadline_ms": order.lease_until_ms,
            "fencing_token": order.token,
        }
        if order.saved:
            body["checkpoint"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        headers = {"X-Redwingplank-Expect-Instance": worker.worker_id}
        try:
            reply = await self._client.call(
                "POST",
                worker.address,
                "/-/run-start",
                timeout_s,
                msgspec.json.encode(body),
                headers,
            )
        except NotSentError:
            return StartOutcome.NOT_SENT
        except NoAnswerError:
            return StartOutcome.UNKNOWN
        if reply.is_ok:
            return StartOutcome.STARTED
        if reply.status == 409:
            return _REFUSALS.get(_read_reason(reply.body), StartOutcome.UNKNOWN)
        if reply.status in (429, 503):
            return StartOutcome.UNHEALTHY
        if reply.status == 421:
            return StartOutcome.OTHER_INCARNATION
        return StartOutcome.INVALID if reply.status == 400 else StartOutcome.UNKNOWN

    async def stop(
        self, worker: WorkerEntry, task: TaskId, attempt: int, token: int, timeout_s: float
    ) -> bool:
        """Return whether the worker took the order to stop a run.

        Raises
        ------
        FencedError, NotSentError, NoAnswerError
        """
        body = {"task": format_task(task), "attempt": attempt, "fencing_token": token}
        headers = {"X-Redwingplank-Expect-Instance": worker.worker_id}
        reply = await self._client.call(
            "POST", worker.address, "/-/run-stop", timeout_s, msgspec.json.encode(body), headers
        )
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
        """Return whether a run now works at `percent` of its speed.

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
        reply = await self._client.call(
            "POST", worker.address, "/-/pace", timeout_s, msgspec.json.encode(body)
        )
        return reply.is_ok

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        noted: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollReport:
        """Renew the lease and return what runs and what has ended.

        Parameters
        ----------
        worker : WorkerEntry
            Whom to ask.
        token : int
            Fencing token.
        noted : int
            Ends up to this number are forgotten.
        lease_until_ms : int or None
            On the worker's clock; None to look without renewing.
        wait_ms : int
            The answer waits this long for an end.

        Raises
        ------
        FencedError
            Another owner has a higher token.
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
            wait_ms / 1000 + HOLD_SLACK_S,
            msgspec.json.encode(body),
            headers,
        )
        if reply.status == 409 and _read_reason(reply.body) == "fence":
            raise FencedError(worker.worker_id)
        if not reply.is_ok:
            raise NoAnswerError(f"worker {worker.worker_id} answered {reply.status}")
        return _read_hold(reply.body)


def decode_worker(key: str, value: bytes) -> WorkerEntry | None:
    """Return what a worker published, None if it names no worker to use."""
    try:
        wire = msgspec.json.decode(value, type=_WireEntry)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    host, _, port = wire.address.rpartition(":")
    if wire.state not in ("ready", "draining") or not host or not port.isdecimal():
        return None
    try:
        capacity = Amounts(
            int(wire.capacity.get("cpu", 0)),
            int(wire.capacity.get("mem_mb", 0)),
            int(wire.capacity.get("gpu", 0)),
        )
    except (TypeError, ValueError):
        return None
    return WorkerEntry(
        worker_id=key.removeprefix(WORKER_ENTRIES_PREFIX),
        address=wire.address,
        failure_domain=wire.zone,
        service=wire.service,
        capacity=capacity,
        kind=wire.labels[0] if wire.labels else "",
        rack=wire.labels[1] if len(wire.labels) > 1 else "",
        labels=tuple(wire.labels),
        born_ms=wire.born,
        is_draining=wire.state == "draining",
        remaining_s=wire.remaining_ms / 1000,
    )


def format_task(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def parse_task(name: str) -> TaskId | None:
    """Return the task of a name, None if it is not one."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def _read_reason(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_WireRefusal).reason
    except msgspec.MsgspecError:
        return ""


def _read_hold(body: bytes) -> PollReport:
    try:
        wire = msgspec.json.decode(body, type=_WireHold)
        running = tuple(_read_run(row) for row in wire.running)
        ends = tuple(_read_end(row) for row in wire.finished)
    except (msgspec.MsgspecError, TypeError, ValueError, IndexError, KeyError) as error:
        raise NoAnswerError(f"unreadable report of a worker: {error!r}") from error
    return PollReport(int(wire.clock_ms), wire.born, running, ends)


def _read_run(row: list) -> RunReport:
    load = row[4] if len(row) > 4 and row[4] is not None else 0.0
    return RunReport(_task_of(row[0]), int(row[1]), row[2] or "", float(row[3] or 0), float(load))


def _read_end(row: list) -> RunCompletion:
    return RunCompletion(
        int(row[0]), _task_of(row[1]), int(row[2]), _END_KINDS[row[3]], row[4] or ""
    )


def _task_of(name: str) -> TaskId:
    task = parse_task(name)
    if task is None:
        raise ValueError(f"{name!r} is not the name of a task")
    return task
