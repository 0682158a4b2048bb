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

from redwingplank.cell.context import NodeContext

__all__ = ["RequestLog", "log_failed_request", "note_submitted"]

Handle = Callable[..., Awaitable[None]]

_match_job_id = re.compile(r".*/([0-9A-Za-z_-]{1,64})").fullmatch


class RequestLog:
    """Handles requests with a given function, and logs submissions rejected before they began.

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
        await self._handle(req, resp, **values)
        if resp is not None and req.method == "POST" and not _is_submitted(req):
            status = falcon.http_status_to_code(resp.status)
            if status >= HTTPStatus.BAD_REQUEST:
                self._context.log("submit_rejected", job=_job_id(req.path), status=status)


def log_failed_request(
    context: NodeContext, path: str, may_have_effect: bool, error: BaseException
) -> None:
    """Log a request whose handler failed or was cancelled, and whether it may have had an effect.

    The error is named by its type and place: its text might hold a part of the request.
    """
    context.log_refusal(
        "request_failed",
        job=_job_id(path),
        may_have_effect=may_have_effect,
        cause="cancelled" if isinstance(error, asyncio.CancelledError) else "error",
        error=type(error).__name__,
        place=_place(error),
    )


def note_submitted(req: falcon.asgi.Request) -> None:
    """Note that the submission of a request is handled, which writes its own line."""
    req.context.is_submitted = True


def _is_submitted(req: falcon.asgi.Request) -> bool:
    return getattr(req.context, "is_submitted", False)


def _job_id(path: str) -> str | None:
    match = _match_job_id(path)
    return match[1] if match else None


def _place(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
