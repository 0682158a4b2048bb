"""The ASGI application that an entry serves to callers."""

import json
from pathlib import Path
from typing import Any

import falcon.asgi

from redwingplank.api.health import HealthResource, ReadinessResource
from redwingplank.api.jobs import JobResource, JobsResource
from redwingplank.api.problems import add_problem_handlers, make_failure_answer, report_failure
from redwingplank.api.requests import RequestsResource
from redwingplank.platform.http.guard import AnswerGuard
from redwingplank.runtime.entry import EntryRuntime
from redwingplank.runtime.jobs import JobGateway
from redwingplank.runtime.requests import RequestProxy

__all__ = ["guard_entry_app", "make_entry_app", "read_openapi"]


class _CloseWhenLeaving:
    """Middleware that asks callers to close their connections when the entry is leaving."""

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


def guard_entry_app(app: falcon.asgi.App) -> AnswerGuard:
    """Wrap the application of an entry, so that it answers what is cancelled when it stops."""
    return AnswerGuard(app, make_failure_answer, report_failure)


def make_entry_app(
    proxy: RequestProxy,
    gateway: JobGateway,
    entry: EntryRuntime,
) -> falcon.asgi.App:
    """Build the ASGI application of an entry.

    Parameters
    ----------
    proxy : RequestProxy
        Sends callers' requests to upstreams.
    gateway : JobGateway
        Submits, reads and cancels callers' jobs.
    entry : EntryRuntime
        Reports whether the entry is ready for new work and whether it is leaving.
    """
    app = falcon.asgi.App(middleware=[_CloseWhenLeaving(entry)])
    add_problem_handlers(app)
    organisation_path = "/v1/organisations/{organisation}"
    app.add_route(f"{organisation_path}/services/{{service}}/requests", RequestsResource(proxy))
    app.add_route(f"{organisation_path}/jobs", JobsResource(gateway))
    app.add_route(f"{organisation_path}/jobs/{{job_id}}", JobResource(gateway))
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadinessResource(entry.find_obstacles))
    app.add_route("/openapi.json", _OpenApiResource())
    return app
