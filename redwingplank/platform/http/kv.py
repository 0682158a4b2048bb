"""Client of the key-value service, over the JSON gateway of etcd version 3.

References
----------
gRPC gateway: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

import json
import math
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import aiohttp

from redwingplank.platform import (
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    OutcomeUnknownError,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
    WatchEvent,
)
from redwingplank.platform.http.calls import open_call, raise_for_status, reading, request_bytes

__all__ = [
    "HttpKeyValueStore",
    "decode_entry",
    "encode_entry",
    "encode_text",
    "prefix_end",
]

Result = TypeVar("Result")

# Size of the read buffer for a watch, whose batches are one line of JSON each.
MAX_WATCH_LINE_BYTES = 16 * 1024 * 1024


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys with `prefix`: the ``range_end`` of etcd."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return "\0"
    raw[-1] += 1
    return raw.decode("latin-1")


def encode_text(text: str) -> str:
    """Encode a key in base64."""
    return b64encode(text.encode()).decode()


def encode_entry(entry: KeyValue) -> dict[str, Any]:
    """Encode an entry as the gateway does."""
    return {
        "key": encode_text(entry.key),
        "value": b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "lease": str(entry.lease_id),
    }


def decode_entry(values: dict[str, Any]) -> KeyValue:
    """Decode an entry that the gateway returned."""
    return KeyValue(
        key=b64decode(values["key"]).decode(),
        value=b64decode(values.get("value", "")),
        create_revision=int(values.get("create_revision", 0)),
        mod_revision=int(values.get("mod_revision", 0)),
        lease_id=int(values.get("lease", 0)),
    )


class HttpKeyValueStore(KeyValueStore):
    """Key-value store that calls the etcd JSON gateway.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session returned by `open_session`.
    base_url : str
        URL of the gateway, such as ``"http://127.0.0.1:2379"``.
    timeout_s : float
        Time-out in seconds as for `request_bytes`; for a watch, only of connecting.
    """

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, timeout_s: float = 1.0
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s

    async def range(self, prefix: str, *, is_prefix: bool = True) -> RangeResult:
        return await self._call("/v3/kv/range", _key_range(prefix, is_prefix), _decode_range)

    async def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        request = {
            "compare": [_encode_compare(compare) for compare in compares],
            "success": [_encode_operation(operation) for operation in operations],
        }
        return await self._call("/v3/kv/txn", request, _decode_transaction)

    async def grant_lease(self, ttl_s: float) -> int:
        request = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        return await self._call("/v3/lease/grant", request, lambda answer: int(answer["ID"]))

    async def keep_alive(self, lease_id: int) -> float:
        return await self._call("/v3/lease/keepalive", {"ID": str(lease_id)}, _decode_remaining_s)

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, lambda _: None)

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchBatch]:
        url = f"{self._base_url}/v3/watch"
        create = {**_key_range(prefix, True), "start_revision": str(after_revision + 1)}
        body = json.dumps({"create_request": create}).encode()
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout_s)
        async with open_call(
            self._session,
            "POST",
            url,
            timeout,
            data=body,
            headers={"Content-Type": "application/json"},
            read_bufsize=MAX_WATCH_LINE_BYTES,
        ) as response:
            raise_for_status(response.status, b"", url)
            async for line in response.content:
                if line.strip():
                    with reading(url):
                        batch = _decode_watch(json.loads(line), url)
                    yield batch

    async def _call(
        self, path: str, request: dict[str, Any], decode: Callable[[dict[str, Any]], Result]
    ) -> Result:
        url = f"{self._base_url}{path}"
        body = json.dumps(request).encode()
        answer = await request_bytes(self._session, "POST", url, self._timeout_s, body)
        with reading(url):
            return decode(json.loads(answer))


def _key_range(key: str, is_prefix: bool) -> dict[str, str]:
    if not is_prefix:
        return {"key": encode_text(key)}
    end = b64encode(prefix_end(key).encode("latin-1")).decode()
    return {"key": encode_text(key), "range_end": end}


def _encode_compare(compare: Compare) -> dict[str, str]:
    return {
        "key": encode_text(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _encode_operation(operation: Put | Delete) -> dict[str, Any]:
    if isinstance(operation, Delete):
        return {"request_delete_range": _key_range(operation.key, operation.is_prefix)}
    return {
        "request_put": {
            "key": encode_text(operation.key),
            "value": b64encode(operation.value).decode(),
            "lease": str(operation.lease_id),
        }
    }


def _decode_range(answer: dict[str, Any]) -> RangeResult:
    entries = tuple(decode_entry(values) for values in answer.get("kvs", ()))
    return RangeResult(entries, _revision(answer))


def _decode_transaction(answer: dict[str, Any]) -> TransactionResult:
    return TransactionResult(bool(answer.get("succeeded", False)), _revision(answer))


def _decode_remaining_s(answer: dict[str, Any]) -> float:
    return float(answer.get("result", {}).get("TTL", 0))


def _decode_watch(answer: dict[str, Any], url: str) -> WatchBatch:
    result = answer.get("result", {})
    if "error" in answer or result.get("canceled", False):
        raise OutcomeUnknownError(f"{url} ended the watch: {str(answer)[:200]}")
    events = tuple(_decode_event(values) for values in result.get("events", ()))
    return WatchBatch(events, _revision(result))


def _decode_event(values: dict[str, Any]) -> WatchEvent:
    entry = decode_entry(values["kv"])
    if values.get("type", "PUT") == "DELETE":
        return WatchEvent(entry.key, None)
    return WatchEvent(entry.key, entry)


def _revision(answer: dict[str, Any]) -> int:
    return int(answer.get("header", {}).get("revision", 0))
