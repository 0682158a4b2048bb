"""Stand-in upstreams over HTTP; each one listens at its own address."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import suppress

import falcon
import falcon.asgi

from redwingplank.platform import UpstreamRequest
from redwingplank.standin.upstreams import (
    ConnectionCutError,
    StandinAnswer,
    UpstreamBehaviour,
)

__all__ = ["make_upstreams_app"]

CHUNK_BYTES = 16_384


def make_upstreams_app(upstreams_by_address: Mapping[str, UpstreamBehaviour]) -> falcon.asgi.App:
    """Return one application for all upstreams; the listening address selects the upstream.

    Parameters
    ----------
    upstreams_by_address : mapping of str to UpstreamBehaviour
        Upstreams by ``"IP:PORT"``.
    """
    app = falcon.asgi.App()
    app.add_route("/{service}", _Upstream(upstreams_by_address))
    return app


class _Upstream:
    def __init__(self, upstreams_by_address: Mapping[str, UpstreamBehaviour]) -> None:
        self._upstreams_by_address = upstreams_by_address

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service: str
    ) -> None:
        host, port = req.scope["server"]
        upstream = self._upstreams_by_address[f"{host}:{port}"]
        request = UpstreamRequest(
            request_id=req.get_header("X-Request-Id", default=""),
            organisation=req.get_header("X-Organisation", default=""),
            service=service,
            body=await req.stream.read(),
            headers=dict(req.headers),
        )
        try:
            answer = await upstream.serve(request)
        except ConnectionCutError:
            resp.set_header("Content-Length", "1")
            resp.stream = _cut_without_body()
            return
        _fill_response(resp, answer)


def _fill_response(resp: falcon.asgi.Response, answer: StandinAnswer) -> None:
    resp.status = answer.status
    for name, value in answer.headers.items():
        resp.set_header(name, value)
    resp.set_header("Content-Length", str(answer.content_length))
    if answer.cut_after_bytes is None and len(answer.body) == answer.content_length:
        resp.data = answer.body
        return
    end = len(answer.body) if answer.cut_after_bytes is None else answer.cut_after_bytes
    resp.stream = _send_and_cut(answer.body[:end])


async def _send_and_cut(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]
    raise ConnectionResetError("the stand-in cuts its answer here")


async def _cut_without_body() -> AsyncIterator[bytes]:
    with suppress(asyncio.CancelledError):
        raise ConnectionResetError("the stand-in closes the connection without an answer")
    yield b""
