"""HTTP calls for tests: set faults of the stand-ins and read the history of events."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import falcon
import falcon.asgi
import msgspec

from redwingplank.standin.faults import Faults
from redwingplank.standin.history import History, event_to_dict
from redwingplank.standin.upstreams import UpstreamBehaviour
from redwingplank.standin.vms import MemoryVmList
from redwingplank.standin.workers import StandinWorker

__all__ = ["add_admin_routes", "add_vm_list_routes"]

UPSTREAM_SWITCHES = frozenset(
    {"service_time_s", "answer_bytes", "is_leaving", "is_run_to_end", "standing_fault", "faults"}
)


def add_vm_list_routes(app: falcon.asgi.App, vm_list: MemoryVmList) -> None:
    """Add ``GET /vms``, which returns the list of VMs."""
    app.add_route("/vms", _Vms(vm_list))


def add_admin_routes(
    app: falcon.asgi.App,
    history: History,
    faults_by_target: Mapping[str, Faults],
    workers_by_name: Mapping[str, StandinWorker],
    upstreams_by_name: Mapping[str, UpstreamBehaviour],
    store_calls: Mapping[str, int],
) -> None:
    """Add the calls that tests use to control the stand-ins.

    Parameters
    ----------
    app : falcon.asgi.App
        Application that the routes are added to.
    history : History
        Events returned by ``GET /history``.
    faults_by_target : mapping of str to Faults
        Faults set by ``POST /faults/{target}`` with a JSON object of switches.
    workers_by_name : mapping of str to StandinWorker
        Workers whose switches are set by ``POST /workers/{name}``, and which are restarted by
        ``POST /workers/{name}/restart``.
    upstreams_by_name : mapping of str to UpstreamBehaviour
        Upstreams whose switches are set by ``POST /upstreams/{name}``.
    store_calls : mapping of str to int
        Numbers of store calls by method, returned by ``GET /calls``.
    """
    app.add_route("/history", _History(history, workers_by_name))
    app.add_route("/calls", _Calls(store_calls))
    app.add_route("/faults/{target}", _Switches(faults_by_target))
    switches = {name: worker.switches for name, worker in workers_by_name.items()}
    app.add_route("/workers/{target}", _Switches(switches))
    app.add_route("/upstreams/{target}", _Switches(upstreams_by_name, UPSTREAM_SWITCHES))
    app.add_route("/workers/{target}/restart", _Restart(workers_by_name))


class _Vms:
    def __init__(self, vm_list: MemoryVmList) -> None:
        self._vm_list = vm_list

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        listing = await self._vm_list.read(req.get_param("failure_domain", default=""))
        resp.data = msgspec.json.encode(listing)
        resp.content_type = falcon.MEDIA_JSON


class _History:
    def __init__(self, history: History, workers_by_name: Mapping[str, StandinWorker]) -> None:
        self._history = history
        self._workers_by_name = workers_by_name

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        for worker in self._workers_by_name.values():
            worker.advance()
        resp.media = [event_to_dict(event) for event in self._history.events]


class _Calls:
    def __init__(self, store_calls: Mapping[str, int]) -> None:
        self._store_calls = store_calls

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.media = dict(self._store_calls)


class _Switches:
    def __init__(
        self, switches_by_target: Mapping[str, Any], allowed: frozenset[str] | None = None
    ) -> None:
        self._switches_by_target = switches_by_target
        self._allowed = allowed

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, target: str
    ) -> None:
        switches = self._switches_by_target.get(target)
        if switches is None:
            raise falcon.HTTPNotFound(description=f"there is no {target!r} here")
        names = self._allowed or {field.name for field in dataclasses.fields(switches)}
        values = await req.get_media()
        unknown = sorted(set(values) - names)
        if unknown:
            raise falcon.HTTPBadRequest(description=f"{unknown} are no switches, use {names}")
        for name, value in values.items():
            setattr(switches, name, value)
        resp.media = {name: getattr(switches, name) for name in sorted(names)}


class _Restart:
    def __init__(self, workers_by_name: Mapping[str, StandinWorker]) -> None:
        self._workers_by_name = workers_by_name

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, target: str
    ) -> None:
        worker = self._workers_by_name.get(target)
        if worker is None:
            raise falcon.HTTPNotFound(description=f"there is no worker {target!r}")
        worker.restart()
        resp.media = {"incarnation": worker.incarnation}
