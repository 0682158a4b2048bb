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

__all__ = ["PROBLEM_MEDIA_TYPE", "ProblemDetails", "add_problem_handlers", "send_problem"]

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

    An HTTP error of the framework means that the work was not run. Any other exception leaves
    that unknown and is logged.
    """
    app.add_error_handler(Exception, _answer_unexpected_error)
    app.add_error_handler(falcon.HTTPError, _answer_http_error)


async def _answer_http_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    resp.set_headers(error.headers or {})
    title = error.title or "error"
    detail = error.description or title
    send_problem(resp, ProblemDetails(error.status_code, title, detail, "no"))


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
