"""Stand-in workers over HTTP; each one listens at its own address."""

from collections.abc import Mapping

import falcon
import falcon.asgi
import msgspec

from redwingplank.platform import PlatformError, StaleEpochError, WorkerRequest
from redwingplank.platform.http import Adoption
from redwingplank.standin.workers import MemoryWorkerClient, StandinWorker

__all__ = ["make_workers_app"]


def make_workers_app(workers_by_address: Mapping[str, StandinWorker]) -> falcon.asgi.App:
    """Return one application for all workers; the listening address selects the worker.

    Parameters
    ----------
    workers_by_address : mapping of str to StandinWorker
        Workers by ``"IP:PORT"``.
    """
    client = MemoryWorkerClient(workers_by_address)
    app = falcon.asgi.App()
    app.add_route("/adopt", _Adopt(client))
    app.add_route("/exchange", _Exchange(client))
    app.add_error_handler(PlatformError, _answer_error)
    return app


class _Adopt:
    def __init__(self, client: MemoryWorkerClient) -> None:
        self._client = client

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        adoption = msgspec.json.decode(await req.stream.read(), type=Adoption)
        inventory = await self._client.adopt(
            _listening_address(req), adoption.epoch, adoption.lease_s
        )
        resp.data = msgspec.json.encode(inventory)
        resp.content_type = falcon.MEDIA_JSON


class _Exchange:
    def __init__(self, client: MemoryWorkerClient) -> None:
        self._client = client

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        request = msgspec.json.decode(await req.stream.read(), type=WorkerRequest)
        report = await self._client.exchange(_listening_address(req), request)
        resp.data = msgspec.json.encode(report)
        resp.content_type = falcon.MEDIA_JSON


def _listening_address(req: falcon.asgi.Request) -> str:
    host, port = req.scope["server"]
    return f"{host}:{port}"


async def _answer_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    error: PlatformError,
    params: dict,
) -> None:
    if isinstance(error, StaleEpochError):
        raise falcon.HTTPConflict(description=f"stale epoch: {error}")
    raise falcon.HTTPServiceUnavailable(description=str(error))
