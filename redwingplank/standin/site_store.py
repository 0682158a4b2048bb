"""A stand-in for the users' store: items, leases, watches and transactions over HTTP."""

import asyncio
import base64
import bisect
import operator
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import falcon.asgi
import msgspec

__all__ = ["SiteStoreModel", "make_site_store_app"]

MAX_ENTRIES = 32
VALUE_BYTES = 1_048_576
"""Largest size of a value by default."""
PAGE_ITEMS = 500
"""Largest number of items in one answer, about as many as the real store lists."""
FOREIGN_PREFIXES = ("op/", "servers/")
"""Prefixes of keys that nodes may not write."""


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0


class SiteStoreModel:
    """State of the store; methods that depend on the time get it as an argument.

    Attributes
    ----------
    is_down : bool
        Whether calls are refused with status 503.
    page_items : int
        Largest number of items in one page of a range.
    value_bytes : int
        Largest size of a value; a transaction with a longer one is refused as invalid.
    is_silent : bool
        Whether calls get no answer and have no effect.
    writes_seen : int
        Number of transactions received, including those without effect.
    refusal_status : int
        Status of refused calls.
    lose_answers : int
        Number of further successful transactions that take effect but get no answer.
    lost_prefix : str
        Only transactions that write or remove a key with this prefix lose their answers.
    is_down_after_loss : bool
        Whether the store is down from the next lost answer on.
    held_prefix : str
        Transactions that write a key with this prefix get no answer, and are carried out when they
        are released; empty for none.
    held : list of dict
        Bodies of these transactions.
    """

    def __init__(self) -> None:
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.forgotten = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.page_items = PAGE_ITEMS
        self.value_bytes = VALUE_BYTES
        self.is_down = False
        self.is_silent = False
        self.refusal_status = 503
        self.writes_seen = 0
        self.lose_answers = 0
        self.lost_prefix = ""
        self.is_down_after_loss = False
        self.held_prefix = ""
        self.held: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as an operator or a worker does; return the new revision."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)
        self._notify()

    def forget_history(self) -> None:
        """Discard all events; a watch from an earlier revision gets status 410 at its next call."""
        self.events.clear()
        self.forgotten = self.revision

    def expire(self, now_s: float) -> None:
        """End the leases that have expired."""
        for lease, (_, until_s) in list(self.leases.items()):
            if now_s >= until_s:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether the lease existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return True

    def open_lease(self, ttl_s: float, now_s: float) -> int:
        """Create a lease and return its id."""
        self.revision += 1
        self.leases[self.revision] = (ttl_s, now_s + ttl_s)
        return self.revision

    def renew(self, lease: int, now_s: float) -> bool:
        """Renew a lease; return whether it exists."""
        found = self.leases.get(lease)
        if found is None:
            return False
        self.leases[lease] = (found[0], now_s + found[0])
        return True

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction and return the status and the body of the answer."""
        entries = [*body.get("expect", ()), *body.get("puts", ()), *body.get("remove", ())]
        if len(entries) > MAX_ENTRIES:
            return 400, {}
        puts = body.get("puts", ())
        if any(len(base64.b64decode(row["value"])) > self.value_bytes for row in puts):
            return 400, {}
        written = [row["key"] for row in body.get("puts", ())] + body.get("remove", [])
        if any(key.startswith(FOREIGN_PREFIXES) for key in written):
            return 403, {}
        for row in body.get("expect", ()):
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                keys = [row["key"] for row in body["expect"]]
                return 412, {"items": [self.show(key) for key in keys if key in self.items]}
        for row in body.get("puts", ()):
            if row.get("lease_id") and row["lease_id"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("puts", ()):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
        for key in body.get("remove", ()):
            if key in self.items:
                self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def loses_answer(self, body: dict[str, Any]) -> bool:
        """Return whether the answer to a transaction that took effect is lost, and count it."""
        keys = [row["key"] for row in body.get("puts", ())] + body.get("remove", [])
        if not self.lose_answers or not any(key.startswith(self.lost_prefix) for key in keys):
            return False
        self.lose_answers -= 1
        self.is_down = self.is_down or self.is_down_after_loss
        return True

    def holds(self, body: dict[str, Any]) -> bool:
        """Return whether a transaction is carried out later, and keep it until then."""
        keys = [row["key"] for row in body.get("puts", ())]
        if not self.held_prefix or not any(key.startswith(self.held_prefix) for key in keys):
            return False
        self.held.append(body)
        return True

    def release(self) -> list[int]:
        """Carry out the transactions that were held, and hold no more; return their statuses."""
        self.held_prefix = ""
        bodies, self.held = self.held, []
        return [self.transact(body)[0] for body in bodies]

    def show(self, key: str) -> dict[str, Any]:
        """Return the JSON value of an item."""
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease_id": item.lease,
        }

    def show_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return the page of the keys with a prefix that begins behind a key, empty for none."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.show(key) for key in keys[: self.page_items]]
        has_more = len(keys) > self.page_items
        return {"items": items, "has_more": has_more, "at_rev": self.revision}

    def events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the events of keys with a prefix after a revision."""
        first = bisect.bisect_right(self.events, after, key=operator.itemgetter(0))
        return [event for _, event in self.events[first:] if event["key"].startswith(prefix)]

    def _put(self, key: str, value: bytes, lease: int) -> None:
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self.events.append((self.revision, self.show(key)))

    def _remove(self, key: str) -> None:
        del self.items[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.events.append((self.revision, event))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _StoreResource:
    def __init__(self, model: SiteStoreModel, now_s: Callable[[], float]) -> None:
        self._model = model
        self._now_s = now_s

    async def handle(self, req: falcon.asgi.Request, resp: Any, **_: Any) -> None:
        model = self._model
        model.expire(self._now_s())
        model.writes_seen += req.path.endswith("kv-txn")
        if model.is_silent:
            await asyncio.Event().wait()
        if model.is_down:
            resp.status = model.refusal_status
            return
        name = req.path.removeprefix("/-/")
        if name == "kv-key":
            key = req.get_param("key")
            resp.status = 200 if key in model.items else 404
            resp.media = {**model.show(key), "at_rev": model.revision} if key in model.items else {}
        elif name == "kv-range":
            resp.media = model.show_page(
                req.get_param("prefix") or "", req.get_param("after") or ""
            )
        elif name == "kv-watch":
            await self._watch(req, resp)
        else:
            await self._write(req, resp, name)

    async def _watch(self, req: falcon.asgi.Request, resp: Any) -> None:
        model = self._model
        prefix, after = req.get_param("prefix") or "", req.get_param_as_int("after") or 0
        until_s = self._now_s() + (req.get_param_as_int("wait_ms") or 0) / 1000
        while True:
            if after < model.forgotten:
                resp.status = 410
                return
            events = model.events_after(prefix, after)
            remaining_s = until_s - self._now_s()
            if events or remaining_s <= 0:
                resp.media = {"events": events, "at_rev": model.revision}
                return
            try:
                async with asyncio.timeout(min(remaining_s, 0.1)):
                    await model.changed.wait()
            except TimeoutError:
                model.expire(self._now_s())

    async def _write(self, req: falcon.asgi.Request, resp: Any, name: str) -> None:
        model, now_s = self._model, self._now_s()
        if name == "kv-txn":
            body = msgspec.json.decode(await req.stream.read())
            if model.holds(body):
                await asyncio.Event().wait()
            status, media = model.transact(body)
            if status == 200 and model.loses_answer(body):
                await asyncio.Event().wait()
            resp.status, resp.media = status, media
        elif name == "kv-lease":
            ttl_ms = msgspec.json.decode(await req.stream.read())["ttl_ms"]
            resp.media = {"lease_id": model.open_lease(ttl_ms / 1000, now_s), "ttl_ms": ttl_ms}
        elif name.startswith("kv-keep/"):
            is_kept = model.renew(int(name.split("/")[1]), now_s)
            resp.status, resp.media = (200 if is_kept else 404), {}
        elif name.startswith("kv-lease-end/"):
            is_ended = model.end_lease(int(name.split("/")[1]))
            resp.status, resp.media = (200 if is_ended else 404), {}
        else:
            resp.status = 404


def make_site_store_app(model: SiteStoreModel, now_s: Callable[[], float]) -> falcon.asgi.App:
    """Return the HTTP application of the store.

    Parameters
    ----------
    model : SiteStoreModel
        State of the store.
    now_s : callable
        Function that returns the time for leases and watches, in seconds.
    """
    app = falcon.asgi.App()
    app.add_sink(_StoreResource(model, now_s).handle, prefix="/")
    return app
