"""HTTP resources through which callers submit, read and cancel jobs."""

from typing import Any

import falcon
import falcon.asgi
import msgspec

from redwingplank.api.headers import read_body, read_idempotency_key
from redwingplank.api.problems import ProblemDetails, send_problem
from redwingplank.core import InvalidValueError, decode_json, make_resources
from redwingplank.platform.http.guard import note_effect
from redwingplank.runtime.jobs import (
    JobGateway,
    JobRefusedError,
    JobRequest,
    JobUnknownError,
    JobUnsettledError,
)
from redwingplank.scheduling.messages import JobStatus

__all__ = ["JobResource", "JobsResource", "job_to_dict"]

MAX_JOB_BYTES = 256 * 1024
MAX_TASKS = 100_000
MAX_RUN_TIME_S = 30 * 24 * 3600.0  # 30 days
MAX_WAIT_S = 30.0


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of a job submission.

    Parameters
    ----------
    service : str
        A declared service of the organisation.
    tasks : int
        Number of tasks.
    millicores, memory_mib : int or None
        Resources that each task needs; give both or neither.
    accelerators : dict of str to int
        Number of accelerators that each task needs, by kind.
    run_time_s : float or None
        Declared run time of each task in seconds.
    payload : Any
        Any JSON value, passed to each task as JSON text.
    """

    service: str
    tasks: int = 1
    millicores: int | None = None
    memory_mib: int | None = None
    accelerators: dict[str, int] = {}
    run_time_s: float | None = None
    payload: Any = None


class JobsResource:
    """``POST /v1/organisations/{organisation}/jobs``: submit a job."""

    def __init__(self, gateway: JobGateway) -> None:
        self._gateway = gateway

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, organisation: str
    ) -> None:
        request = await _read_job(req, organisation)
        note_effect(req.scope)
        try:
            job_id = await self._gateway.submit(request)
        except JobRefusedError as error:
            status = 503 if error.retry_after_s else 422
            problem = ProblemDetails(status, "job not accepted", str(error), "no")
            send_problem(resp, problem, error.retry_after_s)
            return
        except JobUnsettledError as error:
            resp.set_header("Location", _job_path(organisation, error.job_id))
            status = 503 if error.retry_after_s else 504
            problem = ProblemDetails(status, "outcome unknown", str(error), "unknown")
            send_problem(resp, problem, error.retry_after_s)
            return
        resp.status = falcon.HTTP_202
        resp.set_header("Location", _job_path(organisation, job_id))
        resp.media = {"job_id": job_id}


class JobResource:
    """``GET`` and ``DELETE /v1/organisations/{organisation}/jobs/{job_id}``."""

    def __init__(self, gateway: JobGateway) -> None:
        self._gateway = gateway

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, organisation: str, job_id: str
    ) -> None:
        """Answer with the job's state, at once or as soon as it is newer than ``version``.

        ``wait_s`` limits the wait for a newer state, in seconds.
        """
        wait_s = req.get_param_as_float("wait_s", min_value=0, max_value=MAX_WAIT_S, default=0.0)
        version = req.get_param_as_int("version", min_value=0, default=0)
        try:
            status, current_version = await self._gateway.status(
                organisation, job_id, version or 0, wait_s or 0.0
            )
        except JobUnknownError as error:
            send_problem(resp, ProblemDetails(404, "no such job", str(error), "no"))
            return
        except JobRefusedError as error:
            problem = ProblemDetails(503, "state not at hand", str(error), "unknown")
            send_problem(resp, problem, error.retry_after_s)
            return
        resp.media = job_to_dict(status, current_version)

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, organisation: str, job_id: str
    ) -> None:
        """Cancel the job; answer once the cancellation, or the end of the job, is durable."""
        note_effect(req.scope)
        try:
            state = await self._gateway.cancel(organisation, job_id)
        except JobUnknownError as error:
            send_problem(resp, ProblemDetails(404, "no such job", str(error), "no"))
            return
        except JobRefusedError as error:
            problem = ProblemDetails(503, "not cancelled", str(error), "no")
            send_problem(resp, problem, error.retry_after_s)
            return
        except JobUnsettledError as error:
            send_problem(resp, ProblemDetails(504, "outcome unknown", str(error), "unknown"))
            return
        resp.status = falcon.HTTP_202
        resp.media = {"job_id": job_id, **({"state": str(state)} if state else {})}


def job_to_dict(status: JobStatus, version: int) -> dict[str, Any]:
    """Convert the status of a job to a JSON value."""
    return {
        "job_id": status.job_id,
        "organisation": status.organisation,
        "service": status.service,
        "state": str(status.state),
        "reason": status.reason,
        "version": version,
        "tasks": [
            {
                "task_id": task.task_id,
                "state": str(task.state),
                "attempt": task.attempt,
                "vm": task.worker,
                "reason": task.reason,
                "result": task.result.decode("utf-8", "replace"),
                "waited_s": round(task.waited_s, 3),
            }
            for task in status.tasks
        ],
    }


def _job_path(organisation: str, job_id: str) -> str:
    return f"/v1/organisations/{organisation}/jobs/{job_id}"


async def _read_job(req: falcon.asgi.Request, organisation: str) -> JobRequest:
    body_bytes = await read_body(req, MAX_JOB_BYTES)
    try:
        body = decode_json(body_bytes, JobBody)
        _check_job(body)
        resources = None
        if body.millicores is not None and body.memory_mib is not None:
            resources = make_resources(body.millicores, body.memory_mib, body.accelerators)
    except InvalidValueError as error:
        raise falcon.HTTPBadRequest(title="job is not valid", description=str(error)) from error
    payload = b"" if body.payload is None else msgspec.json.encode(body.payload)
    return JobRequest(
        organisation=organisation,
        service=body.service,
        task_count=body.tasks,
        resources=resources,
        run_time_s=body.run_time_s,
        payload=payload,
        idempotency_key=read_idempotency_key(req),
    )


def _check_job(body: JobBody) -> None:
    if not 1 <= body.tasks <= MAX_TASKS:
        raise InvalidValueError(f"tasks is {body.tasks}: give 1 to {MAX_TASKS}")
    if (body.millicores is None) != (body.memory_mib is None):
        raise InvalidValueError("give both millicores and memory_mib, or neither")
    if body.accelerators and body.millicores is None:
        raise InvalidValueError("give millicores and memory_mib beside accelerators")
    if body.run_time_s is not None and not 0 < body.run_time_s <= MAX_RUN_TIME_S:
        raise InvalidValueError(f"run_time_s is {body.run_time_s}: give up to {MAX_RUN_TIME_S:g}")
