"""Requests of callers over HTTP, passed on to upstreams."""

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
from redwingplank.runtime.requests import CallerAnswer, CallerRequest, RequestProxy

__all__ = ["RequestsResource"]

RAN_HEADER = "X-Redwing-Ran"
REQUEST_ID_HEADER = "X-Request-Id"


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
        call = _read_call(req, organisation, service, uuid.uuid4().hex)
        body = await read_body(req)
        answer = await self._proxy.handle(call, body)
        _send_answer(resp, call, answer)


def _read_call(
    req: falcon.asgi.Request, organisation: str, service: str, request_id: str
) -> CallerRequest:
    headers = {}
    content_type = req.get_header("Content-Type")
    if content_type:
        headers["Content-Type"] = content_type
    return CallerRequest(
        organisation=organisation,
        service=service,
        request_id=request_id,
        idempotency_key=read_idempotency_key(req),
        deadline_ms=read_deadline_ms(req),
        headers=headers,
        hops=read_hops(req),
    )


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
