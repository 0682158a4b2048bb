"""The HTTP application of a node: requests of callers, and the readiness check."""

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import falcon
import falcon.asgi
import msgspec

from redwingplank.batch.model import QueuePolicy
from redwingplank.cell.authentication import AccessRefusal, Credentials
from redwingplank.cell.callers import Callers
from redwingplank.cell.cancellation import cancel_status
from redwingplank.cell.clocks import now_s, now_unix_s
from redwingplank.cell.context import NodeContext
from redwingplank.cell.request_log import RequestLog, note_submitted
from redwingplank.cell.submission import SubmitOutcome
from redwingplank.core import InvalidValueError
from redwingplank.platform.http.guard import (
    AnswerGuard,
    FailureAnswer,
    ReportFailure,
    note_effect,
)
from redwingplank.platform.site.ingress import (
    READINESS_PATH,
    read_deadline_s,
    write_pending,
    write_state,
)
from redwingplank.platform.site.jobs import decode_job

__all__ = ["make_app"]

RETRY_AFTER_S = 1
"""Sent as ``Retry-After``. Callers wait about 3 s in all, which leaves time for two more attempts
after a short outage of the store."""
MAY_BE_STORED = "the job may be stored: submit it again"
JSON_HEADERS = {"Content-Type": falcon.MEDIA_JSON}
_is_job_id = re.compile(r"[0-9A-Za-z_-]{1,64}").fullmatch


class _ReadinessResource:
    """Answers readiness checks: 200, or 503 with the reason."""

    def __init__(self, find_obstacle: Callable[[], str]) -> None:
        self._find_obstacle = find_obstacle

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        obstacle = self._find_obstacle()
        if obstacle:
            resp.status = HTTPStatus.SERVICE_UNAVAILABLE
            resp.media = {"problem": obstacle}


class _CloseWhenNotReady:
    """Middleware that closes connections, so that callers go on to nodes that are ready."""

    def __init__(self, find_obstacle: Callable[[], str]) -> None:
        self._find_obstacle = find_obstacle

    async def process_response(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, resource: Any, ok: bool
    ) -> None:
        if self._find_obstacle():
            resp.set_header("Connection", "close")


class _JobsSink:
    """Handles every path but that of the readiness check; the longest matching prefix selects the
    queue, and the rest of the path is the job id."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers

    async def handle(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: Any
    ) -> None:
        """Handle one request of a caller."""
        assert resp is not None
        config = self._callers.find_config()
        if config is None:
            job_id = _guess_job_id(req.path)
            self._answer_undecided(req, resp, job_id, "no configuration has arrived yet")
            return
        queue = config.find_queue(req.host.lower(), req.path)
        if queue is None:
            self._answer_unknown_queue(req, resp)
            return
        credentials = Credentials(queue, req.get_header("Authorization"))
        job_id = req.path[len(queue.prefix) :]
        access = self._callers.access.check(credentials, now_s())
        if access.refusal is not None:
            self._answer_refused(req, resp, job_id, access.refusal)
            return
        if not job_id and req.method == "GET":
            await self._pending(queue, resp)
        elif not _is_job_id(job_id):
            _answer(resp, HTTPStatus.NOT_FOUND, "the path holds no job id")
        elif req.method == "POST":
            await self._submit(req, resp, credentials, job_id, config.max_body_bytes)
        elif req.method == "GET":
            await self._state(resp, job_id, access.visible_to)
        elif req.method == "DELETE":
            await self._cancel(req, resp, job_id, access.visible_to)
        else:
            _answer(resp, HTTPStatus.METHOD_NOT_ALLOWED, "use POST, GET or DELETE")
            resp.set_header("Allow", "POST, GET, DELETE")

    def _answer_unknown_queue(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        if self._callers.access.is_view_outdated(now_s()):
            job_id = _guess_job_id(req.path)
            problem = "this node cannot tell now which queues there are"
            self._answer_undecided(req, resp, job_id, problem)
        else:
            _answer(resp, HTTPStatus.NOT_FOUND, "no queue has this host and path")

    def _answer_refused(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        job_id: str,
        refusal: AccessRefusal,
    ) -> None:
        """Answer a request whose key does not admit it; nothing of it is carried out."""
        if refusal is not AccessRefusal.VIEW_TOO_OLD:
            _answer(resp, HTTPStatus.UNAUTHORIZED, "send a valid key: Authorization: Bearer KEY")
            resp.set_header("WWW-Authenticate", "Bearer")
        else:
            problem = "this node cannot tell now whether the key is valid"
            self._answer_undecided(req, resp, job_id, problem)

    def _answer_undecided(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, job_id: str, problem: str
    ) -> None:
        """Answer a request of which nothing is carried out; earlier attempts may have been."""
        if req.method == "POST" and not self._is_settled_by_refusal(job_id):
            _answer(resp, HTTPStatus.GATEWAY_TIMEOUT, MAY_BE_STORED)
        else:
            _answer_unavailable(resp, problem)

    def _is_settled_by_refusal(self, job_id: str) -> bool:
        return self._callers.settle_refusal(job_id) is SubmitOutcome.NOT_RUN

    async def _submit(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        credentials: Credentials,
        job_id: str,
        max_body_bytes: int,
    ) -> None:
        if self._callers.may_be_stored(job_id):
            # An earlier attempt may have an effect, whatever becomes of this one.
            note_effect(req.scope)
        deadline_s = now_s() + read_deadline_s(req.get_header)
        body = await req.stream.read(max_body_bytes + 1)
        if len(body) > max_body_bytes:
            problem = f"send at most {max_body_bytes} bytes"
            _answer(resp, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, problem)
            return
        try:
            spec = decode_job(body, job_id, credentials.queue.name, now_unix_s())
            self._callers.check_length(spec)
        except InvalidValueError as error:
            _answer(resp, HTTPStatus.BAD_REQUEST, str(error))
            return
        note_submitted(req)
        note_effect(req.scope)
        answer = await self._callers.submit(spec, credentials, deadline_s)
        if answer.refusal is not None:
            self._answer_refused(req, resp, job_id, answer.refusal)
        elif answer.outcome is SubmitOutcome.ACCEPTED:
            resp.media = {}
        elif answer.outcome is SubmitOutcome.NOT_RUN:
            _answer_unavailable(resp, "the job was not stored and does not run")
        else:
            _answer(resp, HTTPStatus.GATEWAY_TIMEOUT, MAY_BE_STORED)

    async def _state(self, resp: falcon.asgi.Response, job_id: str, visible_to: str | None) -> None:
        answer = await self._callers.state(job_id, visible_to)
        if not answer.is_determined:
            _answer_unavailable(resp, "the state cannot be told now")
        elif answer.state is None:
            _answer(resp, HTTPStatus.GONE, "no such job")
        else:
            resp.data = write_state(answer.state)
            resp.content_type = falcon.MEDIA_JSON

    async def _cancel(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        job_id: str,
        visible_to: str | None,
    ) -> None:
        note_effect(req.scope)
        status = cancel_status(await self._callers.cancel(job_id, visible_to))
        if status is HTTPStatus.OK:
            resp.media = {}
        elif status is HTTPStatus.SERVICE_UNAVAILABLE:
            _answer_unavailable(resp, "the cancellation may not be stored: try again")
        else:
            _answer(resp, status, "no such job")

    async def _pending(self, queue: QueuePolicy, resp: falcon.asgi.Response) -> None:
        count = await self._callers.pending(queue.name)
        if count is None:
            _answer_unavailable(resp, "the owner of the jobs cannot be reached")
            return
        resp.data = write_pending(count)
        resp.content_type = falcon.MEDIA_JSON


def _guess_job_id(path: str) -> str:
    """Return the last part of a path: the job id if the prefix of the queue ends with a slash."""
    return path.rpartition("/")[2]


def _answer(resp: falcon.asgi.Response, status: HTTPStatus, problem: str) -> None:
    resp.status = status
    resp.data = _encode_problem(problem)
    resp.content_type = falcon.MEDIA_JSON


def _encode_problem(problem: str) -> bytes:
    return msgspec.json.encode({"problem": problem})


def _answer_unavailable(resp: falcon.asgi.Response, problem: str) -> None:
    _answer(resp, HTTPStatus.SERVICE_UNAVAILABLE, problem)
    resp.set_header("Retry-After", str(RETRY_AFTER_S))


def _make_failure_answer(may_have_effect: bool) -> FailureAnswer:
    if may_have_effect:
        problem = "the request may have been carried out: send it again"
        return FailureAnswer(HTTPStatus.GATEWAY_TIMEOUT, _encode_problem(problem), JSON_HEADERS)
    problem = "the request was not carried out"
    headers = {**JSON_HEADERS, "Retry-After": str(RETRY_AFTER_S)}
    return FailureAnswer(HTTPStatus.SERVICE_UNAVAILABLE, _encode_problem(problem), headers)


async def _pass_on(
    req: falcon.asgi.Request, resp: falcon.asgi.Response, error: Exception, params: dict[str, Any]
) -> None:
    """Leave an unexpected error to the guard, in place of the framework's own answer."""
    raise error


def make_app(
    callers: Callers,
    find_obstacle: Callable[[], str],
    context: NodeContext,
    report_failure: ReportFailure,
) -> AnswerGuard:
    """Return the HTTP application.

    Parameters
    ----------
    callers : Callers
        Handles requests for jobs.
    find_obstacle : callable
        Returns the reason why the node is not ready, or an empty string.
    context : NodeContext
        Provides the log.
    report_failure : callable
        Told of each request whose handler failed or was cancelled.
    """
    app = falcon.asgi.App(middleware=[_CloseWhenNotReady(find_obstacle)])
    app.add_route(READINESS_PATH, _ReadinessResource(find_obstacle))
    jobs = _JobsSink(callers)
    app.add_sink(RequestLog(jobs.handle, context).handle, prefix="/")
    app.add_error_handler(Exception, _pass_on)
    return AnswerGuard(app, _make_failure_answer, report_failure)
