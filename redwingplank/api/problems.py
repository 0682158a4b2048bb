"""Error answers to callers: problem details that state whether the work was run.

References
----------
RFC 9457, Problem Details for HTTP APIs: https://www.rfc-editor.org/rfc/rfc9457
"""

import math
from http import HTTPStatus
from typing import Any

import falcon
import falcon.asgi
import logbook
import msgspec

from redwingplank.core import log_event, make_logger
from redwingplank.platform.http.guard import FailureAnswer, RequestCutOffError, may_have_effect

__all__ = [
    "PROBLEM_MEDIA_TYPE",
    "ProblemDetails",
    "add_problem_handlers",
    "make_failure_answer",
    "report_failure",
    "send_problem",
]

PROBLEM_MEDIA_TYPE = "application/problem+json"

_logger = make_logger("api")


class ProblemDetails(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of an error answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    title : str
        The kind of problem; always the same text for one kind.
    detail : str
        What happened in this case and what the caller can do.
    ran : str
        ``"no"``, ``"yes"`` or ``"unknown"``: whether the work was run.
    type : str
        URI that identifies the kind of problem.
    """

    status: int
    title: str
    detail: str
    ran: str
    type: str = "about:blank"


def send_problem(
    resp: falcon.asgi.Response, problem: ProblemDetails, retry_after_s: float = 0.0
) -> None:
    """Write a problem into a response.

    Parameters
    ----------
    resp : falcon.asgi.Response
        The response to fill.
    problem : ProblemDetails
        The problem to send as the body.
    retry_after_s : float
        Seconds for ``Retry-After``, rounded up; 0 leaves the header out.
    """
    resp.status = problem.status
    resp.content_type = PROBLEM_MEDIA_TYPE
    resp.data = msgspec.json.encode(problem)
    if retry_after_s > 0:
        resp.set_header("Retry-After", str(math.ceil(retry_after_s)))


def add_problem_handlers(app: falcon.asgi.App) -> None:
    """Answer every exception with problem details.

    An HTTP error of the framework means that the work was not run, unless the request may have had
    an effect before. Any other exception leaves that unknown and is logged.
    """
    app.add_error_handler(RequestCutOffError, _pass_on)
    app.add_error_handler(Exception, _answer_unexpected_error)
    app.add_error_handler(falcon.HTTPError, _answer_http_error)


def make_failure_answer(has_effect: bool) -> FailureAnswer:
    """Return the answer to a request that is cancelled because the entry stops."""
    if has_effect:
        detail = "the entry stopped before the outcome was known"
        problem = ProblemDetails(HTTPStatus.GATEWAY_TIMEOUT, "outcome unknown", detail, "unknown")
        headers = {"X-Redwing-Ran": problem.ran}
    else:
        detail = "this entry is stopping; open a new connection"
        problem = ProblemDetails(HTTPStatus.SERVICE_UNAVAILABLE, "stopping", detail, "no")
        headers = {"X-Redwing-Ran": problem.ran, "Retry-After": "1"}
    body = msgspec.json.encode(problem)
    headers["Content-Type"] = PROBLEM_MEDIA_TYPE
    return FailureAnswer(HTTPStatus(problem.status), body, headers)


def report_failure(path: str, has_effect: bool, error: BaseException) -> None:
    """Log a request that was answered in place of its handler."""
    kind = type(error).__name__
    log_event(
        _logger, "request_failed", level=logbook.ERROR, path=path, kind=kind, effect=has_effect
    )


async def _pass_on(
    req: falcon.asgi.Request, resp: falcon.asgi.Response, error: Exception, params: dict[str, Any]
) -> None:
    raise error


async def _answer_http_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    resp.set_headers(error.headers or {})
    title = error.title or "error"
    detail = error.description or title
    ran = "unknown" if may_have_effect(req.scope) else "no"
    send_problem(resp, ProblemDetails(error.status_code, title, detail, ran))


async def _answer_unexpected_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    error: Exception,
    params: dict[str, Any],
) -> None:
    kind = type(error).__name__
    log_event(
        _logger, "unexpected", level=logbook.ERROR, path=req.path, kind=kind, error=str(error)
    )
    problem = ProblemDetails(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        "internal error",
        f"{kind}: report it with the time of the request",
        "unknown",
    )
    send_problem(resp, problem)
