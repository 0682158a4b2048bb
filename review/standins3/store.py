"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import time
from typing import Any

from wire import Request

ANSWER_S = 0.004
PAGE_ITEMS = 500
MAX_ENTRIES = 32
VALUE_BYTES = 1_048_576
FOREIGN = ("op/", "servers/")
SILENCE_S = 4.5
"""An entry of a worker goes after three check-in intervals of silence."""


class Store:
    """Items, leases, transactions and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.seen_s: dict[str, float] = {}
        self.refused: list[str] = []
        self._changed = asyncio.Event()

    # What the operator and the workers write.

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key, if there is one."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def check_in(self, key: str, value: bytes) -> None:
        """Write a worker's entry."""
        self.seen_s[key] = time.monotonic()
        self.put(key, value)

    async def expire(self) -> None:
        """End leases and forget silent workers, until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (_, until_s) in list(self.leases.items()):
                if now >= until_s:
                    self._end_lease(lease)
            for key, seen_s in list(self.seen_s.items()):
                if now - seen_s > SILENCE_S:
                    del self.seen_s[key]
                    self.remove(key)
            await asyncio.sleep(0.02)

    # Calls.

    async def handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Handle one call."""
        await asyncio.sleep(ANSWER_S)
        name = request.path.removeprefix("/-/")
        if name == "kv-key":
            item = self.items.get(request.query["key"])
            return (200, {**item, "at_rev": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(request.query.get("prefix", ""), request.query.get("after", ""))
        if name == "kv-watch":
            return await self._watch(request.query)
        if name == "kv-txn":
            return self._transact(request.body)
        if name == "kv-lease":
            self.revision += 1
            ttl_s = max(1.0, request.body["ttl_ms"] / 1000)
            self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease_id": self.revision, "ttl_ms": round(ttl_s * 1000)}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": round(ttl_s * 1000)}
        if name.startswith("kv-lease-end/"):
            return (200 if self._end_lease(int(name.split("/")[1])) else 404), {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "has_more": len(keys) > PAGE_ITEMS, "at_rev": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until_s = time.monotonic() + min(30_000, int(query.get("wait_ms", "0"))) / 1000
        first = len(self.events)
        while first > 0 and self.events[first - 1]["revision"] > after:
            first -= 1
        while True:
            found = [event for event in self.events[first:] if event["key"].startswith(prefix)]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at_rev": self.revision}
            first = len(self.events)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expect, puts = body.get("expect", []), body.get("puts", [])
        removes = body.get("remove", [])
        if len(expect) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, {}
        if any(len(base64.b64decode(row["value"])) > VALUE_BYTES for row in puts):
            self.refused.append("a value is longer than value_bytes")
            return 400, {}
        if any(key.startswith(FOREIGN) for key in [row["key"] for row in puts] + removes):
            return 403, {}
        for row in expect:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [each["key"] for each in expect]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        if any(row.get("lease_id") and row["lease_id"] not in self.leases for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self._put(row["key"], row["value"], row.get("lease_id", 0))
        for key in removes:
            if key in self.items:
                self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        earlier = self.items.get(key)
        created = earlier["created"] if earlier else self.revision
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease_id": lease,
        }
        self.events.append(self.items[key])

    def _remove(self, key: str) -> None:
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def _end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease_id"] == lease]:
            self.remove(key)
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
