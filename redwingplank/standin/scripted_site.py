"""A service of the platform on real sockets that treats each request as a script says."""

import abc
import asyncio
import contextlib
import socket
import time
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from redwingplank.standin.exchange_script import (
    Answer,
    EffectAfter,
    Ending,
    Exchange,
    ReadPart,
    Step,
    StopListening,
)
from redwingplank.standin.raw_http import (
    Request,
    RequestReader,
    reset_when_closed,
    send_answer,
    wait_for_bytes,
)
from redwingplank.standin.site_store import SiteStoreModel
from redwingplank.standin.site_workers import SiteWorkerModel

__all__ = [
    "Result",
    "ScriptedService",
    "ScriptedSite",
    "Treated",
    "make_scripted_store",
    "make_scripted_worker",
]

BACKLOG = 64


@dataclass(frozen=True, slots=True)
class Result:
    """Result of carrying out a request."""

    answer: Answer
    has_effect: bool


class ScriptedService(abc.ABC):
    """Carries out the requests to a scripted site."""

    @abc.abstractmethod
    def carry_out(self, request: Request) -> Result:
        """Carry out a request."""


@dataclass(slots=True, eq=False)
class Treated:
    """A request that reached the site, and what became of it."""

    number: int
    step: Exchange
    request: Request | None = None
    """None unless it was read whole."""
    result: Result | None = None
    """None unless it was carried out."""

    @property
    def has_effect(self) -> bool:
        """Whether the request took effect."""
        return self.result is not None and self.result.has_effect


class ScriptedSite:
    """Listens at 127.0.0.1 and takes the next step of a script for each request that arrives.

    A request arrives with its first byte, which may stay in the buffers of the kernel.

    Parameters
    ----------
    service : ScriptedService
        Carries out the requests.
    script : sequence of Step
        Steps in the order of arrival.
    then : Exchange
        Step of all further requests.
    """

    def __init__(self, service: ScriptedService, script: Sequence[Step], then: Exchange) -> None:
        self._service = service
        self._script = list(script)
        self._then = then
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[socket.socket] = set()
        self._is_ending = asyncio.Event()
        self.address = ""
        self.requests: list[Treated] = []
        self.connection_count = 0

    @property
    def has_effect(self) -> bool:
        """Whether any request has taken effect so far; final after `settle`."""
        return any(request.has_effect for request in self.requests)

    def start(self) -> None:
        """Bind a free port, and listen unless the script begins with a refusal."""
        self._listener = socket.socket()
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        if self._script and isinstance(self._script[0], StopListening):
            self._script.pop(0)
            return
        self._listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._listener, self._accept, self._listener)

    def close_connections(self) -> None:
        """Close all connections at once, before their callers can notice."""
        for connection in self._connections:
            connection.shutdown(socket.SHUT_RDWR)

    def send_unasked(self, data: bytes) -> None:
        """Send bytes on all connections at once, without a request."""
        for connection in self._connections:
            connection.send(data)

    async def settle(self) -> None:
        """Stop, and wait until no request can take effect any more.

        The callers must have closed their connections: what they sent is still read.
        """
        self._stop_listening()
        self._is_ending.set()
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _accept(self, listener: socket.socket) -> None:
        """Serve all connections that the kernel has accepted."""
        with contextlib.suppress(BlockingIOError):
            while True:
                connection, _ = listener.accept()
                self._serve(connection)

    def _serve(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self.connection_count += 1
        self._connections.add(connection)
        self._start(self._serve_requests(connection))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _stop_listening(self) -> None:
        if self._listener is None:
            return
        if asyncio.get_running_loop().remove_reader(self._listener):
            self._accept(self._listener)
        self._listener.close()
        self._listener = None

    def _take_step(self) -> Exchange:
        step: Step = self._script.pop(0) if self._script else self._then
        if isinstance(step, StopListening):
            return self._take_step()
        if self._script and isinstance(self._script[0], StopListening):
            self._stop_listening()
        return step

    async def _serve_requests(self, connection: socket.socket) -> None:
        try:
            is_kept = True
            while is_kept and await wait_for_bytes(connection):
                is_kept = await self._treat(connection, self._take_step())
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _treat(self, connection: socket.socket, step: Exchange) -> bool:
        """Treat one request as planned; return whether the connection serves another one."""
        treated = Treated(len(self.requests), step)
        self.requests.append(treated)
        reader = RequestReader(connection)
        if isinstance(step.reading, ReadPart):
            await reader.read_part(step.reading.count)
        else:
            if step.reading.pause_s:
                await reader.read_part(step.reading.pause_at)
                await asyncio.sleep(step.reading.pause_s)
            treated.request = await reader.read_all()
            await self._carry_out_and_answer(connection, treated)
        return await self._end(connection, step.ending)

    async def _carry_out_and_answer(self, connection: socket.socket, treated: Treated) -> None:
        effect, plan = treated.step.effect, treated.step.answer
        carrying_out: asyncio.Task[None] | None = None
        if isinstance(effect, EffectAfter):
            if effect.delay_s:
                carrying_out = self._start(self._carry_out_later(treated, effect.delay_s))
            else:
                self._carry_out(treated)
        if plan is None:
            return
        await asyncio.sleep(plan.delay_s)
        answer = plan.answer
        if answer is None:
            if carrying_out is not None:
                await carrying_out
            assert treated.result is not None, "a request without effect needs a scripted answer"
            answer = treated.result.answer
        await send_answer(connection, answer, plan)

    async def _carry_out_later(self, treated: Treated, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._carry_out(treated)

    def _carry_out(self, treated: Treated) -> None:
        assert treated.request is not None
        treated.result = self._service.carry_out(treated.request)

    async def _end(self, connection: socket.socket, ending: Ending) -> bool:
        if ending is Ending.SILENT:
            await self._is_ending.wait()
        elif ending is Ending.RESET:
            reset_when_closed(connection)
        return ending is Ending.KEEP


class _StoreService(ScriptedService):
    def __init__(self, model: SiteStoreModel) -> None:
        self._model = model

    def carry_out(self, request: Request) -> Result:
        if not request.target.endswith("/kv-txn"):
            return Result(self._end_lease(request), True)
        status, body = self._model.transact(msgspec.json.decode(request.body))
        return Result(Answer(status, msgspec.json.encode(body)), status == 200)

    def _end_lease(self, request: Request) -> Answer:
        is_ended = self._model.end_lease(int(request.target.rpartition("/")[2]))
        return Answer(200 if is_ended else 404)


class _WorkerService(ScriptedService):
    def __init__(self, model: SiteWorkerModel) -> None:
        self._model = model

    def carry_out(self, request: Request) -> Result:
        model = self._model
        commands = {
            "/-/run-start": lambda body: model.start(body, time.time()),
            "/-/run-stop": model.stop,
        }
        command = commands.get(request.target)
        if command is None:
            return Result(Answer(200), False)
        status, reason = command(msgspec.json.decode(request.body))
        answer = Answer(status, msgspec.json.encode({"reason": reason}))
        return Result(answer, status == 200)


def make_scripted_store(
    model: SiteStoreModel, script: Sequence[Step], then: Exchange
) -> ScriptedSite:
    """Return the platform's store, as far as it carries out transactions and ends leases.

    Parameters
    ----------
    model : SiteStoreModel
        State of the store.
    script, then
        As for `ScriptedSite`.
    """
    return ScriptedSite(_StoreService(model), script, then)


def make_scripted_worker(
    model: SiteWorkerModel, script: Sequence[Step], then: Exchange
) -> ScriptedSite:
    """Return a worker, as far as it carries out starts and stops.

    Parameters
    ----------
    model : SiteWorkerModel
        State of the worker, whose clock is that of this machine.
    script, then
        As for `ScriptedSite`.
    """
    return ScriptedSite(_WorkerService(model), script, then)
