"""Log lines of requests that end without an outcome of their own."""

import asyncio
import re
import traceback
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import falcon
import falcon.asgi

from redwingplank.cell.clocks import now_s
from redwingplank.cell.context import NodeContext

__all__ = ["RequestLog", "note_submitted"]

Handle = Callable[..., Awaitable[None]]

_match_job_id = re.compile(r".*/([0-9A-Za-z_-]{1,64})").fullmatch


class RequestLog:
    """Handles requests with a given function, and logs those that it fails to answer.

    The frameworks answer a request whose handler fails, or is cancelled when a stop takes too long.
    What the handler had begun may have taken effect.

    Parameters
    ----------
    handle : callable
        Handles one request.
    context : NodeContext
        Provides the log.
    """

    def __init__(self, handle: Handle, context: NodeContext) -> None:
        self._handle = handle
        self._context = context

    async def handle(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **values: Any
    ) -> None:
        """Handle one request."""
        started_s = now_s()
        try:
            await self._handle(req, resp, **values)
        except BaseException as error:
            self._log_failed(req, error, now_s() - started_s)
            raise
        if resp is not None and req.method == "POST" and not _is_submitted(req):
            status = falcon.http_status_to_code(resp.status)
            if status >= HTTPStatus.BAD_REQUEST:
                self._context.log("submit_rejected", job=_job_id(req), status=status)

    def _log_failed(self, req: falcon.asgi.Request, error: BaseException, age_s: float) -> None:
        """Log a failure by its type and place: its text might hold a part of the request."""
        is_cancelled = isinstance(error, asyncio.CancelledError)
        self._context.log_refusal(
            "request_failed",
            job=_job_id(req),
            method=req.method,
            cause="cancelled" if is_cancelled else "error",
            error=type(error).__name__,
            place=_place(error),
            age_s=age_s,
        )


def note_submitted(req: falcon.asgi.Request) -> None:
    """Note that the submission of a request is handled, which writes its own line."""
    req.context.is_submitted = True


def _is_submitted(req: falcon.asgi.Request) -> bool:
    return getattr(req.context, "is_submitted", False)


def _job_id(req: falcon.asgi.Request) -> str | None:
    match = _match_job_id(req.path)
    return match[1] if match else None


def _place(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
