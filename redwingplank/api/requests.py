"""HTTP resource that forwards callers' requests to upstreams."""

import uuid

import falcon
import falcon.asgi

from redwingplank.api.headers import (
    read_body,
    read_deadline_ms,
    read_hops,
    read_idempotency_key,
)
from redwingplank.api.problems import ProblemDetails, send_problem
from redwingplank.platform.http.guard import note_effect
from redwingplank.runtime.requests import CallerAnswer, CallerRequest, RequestProxy

__all__ = ["RequestsResource"]

RAN_HEADER = "X-Redwing-Ran"
REQUEST_ID_HEADER = "X-Request-Id"
MAX_REQUEST_ID_CHARACTERS = 64


class RequestsResource:
    """``POST /v1/organisations/{organisation}/services/{service}/requests``."""

    def __init__(self, proxy: RequestProxy) -> None:
        self._proxy = proxy

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        organisation: str,
        service: str,
    ) -> None:
        call = _read_call(req, organisation, service)
        body = await read_body(req)
        note_effect(req.scope)
        answer = await self._proxy.handle(call, body)
        _send_answer(resp, call, answer)


def _read_call(req: falcon.asgi.Request, organisation: str, service: str) -> CallerRequest:
    headers = {}
    hops = read_hops(req)
    content_type = req.get_header("Content-Type")
    if content_type:
        headers["Content-Type"] = content_type
    return CallerRequest(
        organisation=organisation,
        service=service,
        request_id=_read_forwarded_id(req) if hops else uuid.uuid4().hex,
        idempotency_key=read_idempotency_key(req),
        deadline_ms=read_deadline_ms(req),
        headers=headers,
        hops=hops,
    )


def _read_forwarded_id(req: falcon.asgi.Request) -> str:
    """Return the request id that another entry assigned before it forwarded the request."""
    request_id = req.get_header(REQUEST_ID_HEADER, default="")
    if not request_id.isalnum() or len(request_id) > MAX_REQUEST_ID_CHARACTERS:
        raise falcon.HTTPInvalidHeader("give the other entry's request id", REQUEST_ID_HEADER)
    return request_id


def _send_answer(resp: falcon.asgi.Response, call: CallerRequest, answer: CallerAnswer) -> None:
    if answer.problem is not None:
        details = ProblemDetails(
            answer.status, answer.problem.code, answer.problem.detail, str(answer.ran)
        )
        send_problem(resp, details, answer.retry_after_s or 0.0)
    else:
        resp.status = answer.status
        for name, value in answer.headers.items():
            resp.set_header(name, value)
        if isinstance(answer.body, bytes):
            resp.data = answer.body
        else:
            resp.stream = answer.body
    resp.set_header(REQUEST_ID_HEADER, call.request_id)
    resp.set_header(RAN_HEADER, str(answer.ran))
