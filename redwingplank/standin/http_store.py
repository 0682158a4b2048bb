"""Serves the stand-in store over HTTP as the JSON gateway of etcd version 3 does."""

import json
from base64 import b64decode
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import falcon
import falcon.asgi

from redwingplank.platform import (
    Compare,
    Delete,
    OutcomeUnknownError,
    PlatformError,
    Put,
    UnavailableError,
    WatchBatch,
    WatchEvent,
)
from redwingplank.platform.http.kv import encode_entry, encode_text
from redwingplank.standin.store import MemoryStoreClient

__all__ = ["add_store_routes"]

Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


def add_store_routes(app: falcon.asgi.App, client: MemoryStoreClient) -> None:
    """Add the routes of the gateway to an application.

    Parameters
    ----------
    app : falcon.asgi.App
        Application that the routes are added to.
    client : MemoryStoreClient
        Client that executes the calls; its faults are returned as HTTP errors.
    """
    gateway = _Gateway(client)
    handlers: dict[str, Handler] = {
        "/v3/kv/range": gateway.range,
        "/v3/kv/txn": gateway.transact,
        "/v3/lease/grant": gateway.grant,
        "/v3/lease/keepalive": gateway.keep_alive,
        "/v3/lease/revoke": gateway.revoke,
    }
    for path, handler in handlers.items():
        app.add_route(path, _Call(handler))
    app.add_route("/v3/watch", _Watch(client))


class _Call:
    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        try:
            resp.media = await self._handler(await req.get_media())
        except (UnavailableError, OutcomeUnknownError) as error:
            raise falcon.HTTPServiceUnavailable(description=str(error)) from error
        except PlatformError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error


class _Watch:
    def __init__(self, client: MemoryStoreClient) -> None:
        self._client = client

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        create = (await req.get_media())["create_request"]
        prefix = _decode_key(create["key"])
        after_revision = int(create.get("start_revision", 1)) - 1
        if self._client.faults.is_down:
            raise falcon.HTTPServiceUnavailable(description="the stand-in is switched off")
        resp.content_type = "application/json"
        resp.stream = self._stream(prefix, after_revision)

    async def _stream(self, prefix: str, after_revision: int) -> AsyncIterator[bytes]:
        yield b'{"result":{"created":true}}\n'
        try:
            async for batch in self._client.watch(prefix, after_revision):
                yield json.dumps({"result": _encode_batch(batch)}).encode() + b"\n"
        except PlatformError:
            return


class _Gateway:
    def __init__(self, client: MemoryStoreClient) -> None:
        self._client = client

    async def range(self, request: dict[str, Any]) -> dict[str, Any]:
        key = _decode_key(request["key"])
        result = await self._client.range(key, is_prefix="range_end" in request)
        entries = [encode_entry(entry) for entry in result.entries]
        return {**_header(result.revision), "kvs": entries, "count": str(len(entries))}

    async def transact(self, request: dict[str, Any]) -> dict[str, Any]:
        compares = tuple(
            Compare(_decode_key(item["key"]), int(item["mod_revision"]))
            for item in request.get("compare", ())
        )
        operations = tuple(_decode_operation(item) for item in request.get("success", ()))
        result = await self._client.transact(compares, operations)
        return {**_header(result.revision), "succeeded": result.succeeded}

    async def grant(self, request: dict[str, Any]) -> dict[str, Any]:
        lease_id = await self._client.grant_lease(float(request["TTL"]))
        return {**_header(0), "ID": str(lease_id), "TTL": request["TTL"]}

    async def keep_alive(self, request: dict[str, Any]) -> dict[str, Any]:
        remaining_s = await self._client.keep_alive(int(request["ID"]))
        return {"result": {**_header(0), "ID": request["ID"], "TTL": str(int(remaining_s))}}

    async def revoke(self, request: dict[str, Any]) -> dict[str, Any]:
        await self._client.revoke_lease(int(request["ID"]))
        return _header(0)


def _decode_key(text: str) -> str:
    return b64decode(text).decode()


def _decode_operation(item: dict[str, Any]) -> Put | Delete:
    if "request_delete_range" in item:
        deletion = item["request_delete_range"]
        return Delete(_decode_key(deletion["key"]), is_prefix="range_end" in deletion)
    put = item["request_put"]
    value = b64decode(put.get("value", ""))
    return Put(_decode_key(put["key"]), value, int(put.get("lease", 0)))


def _encode_batch(batch: WatchBatch) -> dict[str, Any]:
    return {**_header(batch.revision), "events": [_encode_event(item) for item in batch.events]}


def _encode_event(event: WatchEvent) -> dict[str, Any]:
    if event.entry is None:
        return {"type": "DELETE", "kv": {"key": encode_text(event.key)}}
    return {"type": "PUT", "kv": encode_entry(event.entry)}


def _header(revision: int) -> dict[str, Any]:
    return {"header": {"revision": str(revision)}}
