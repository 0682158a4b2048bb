"""The callers' HTTP application of an entry."""

import json
from pathlib import Path
from typing import Any

import falcon.asgi

from redwingplank.api.health import HealthResource, ReadinessResource
from redwingplank.api.jobs import JobResource, JobsResource
from redwingplank.api.problems import add_problem_handlers
from redwingplank.api.requests import RequestsResource
from redwingplank.runtime.entry import EntryRuntime
from redwingplank.runtime.jobs import JobGateway
from redwingplank.runtime.requests import RequestProxy

__all__ = ["make_entry_app", "read_openapi"]


class _CloseWhenLeaving:
    """Tells callers to close their connections while the entry is about to stop."""

    def __init__(self, entry: EntryRuntime) -> None:
        self._entry = entry

    async def process_response(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        if self._entry.is_leaving:
            resp.set_header("Connection", "close")


class _OpenApiResource:
    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.media = read_openapi()


def read_openapi() -> dict[str, Any]:
    """Return the OpenAPI description of the application."""
    return json.loads(Path(__file__).with_name("openapi.json").read_text(encoding="utf-8"))


def make_entry_app(
    proxy: RequestProxy,
    gateway: JobGateway,
    entry: EntryRuntime,
) -> falcon.asgi.App:
    """Return the application.

    Parameters
    ----------
    proxy : RequestProxy
        Serves requests.
    gateway : JobGateway
        Takes jobs.
    entry : EntryRuntime
        Knows whether new work is wanted.
    """
    app = falcon.asgi.App(middleware=[_CloseWhenLeaving(entry)])
    add_problem_handlers(app)
    organisation = "/v1/organisations/{organisation}"
    app.add_route(f"{organisation}/services/{{service}}/requests", RequestsResource(proxy))
    app.add_route(f"{organisation}/jobs", JobsResource(gateway))
    app.add_route(f"{organisation}/jobs/{{job_id}}", JobResource(gateway))
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadinessResource(entry.find_obstacles))
    app.add_route("/openapi.json", _OpenApiResource())
    return app
