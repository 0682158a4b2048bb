"""Resources that report whether a process is alive and whether it is ready for new work."""

from collections.abc import Callable

import falcon
import falcon.asgi

__all__ = ["HealthResource", "ReadinessResource"]


class HealthResource:
    """``GET /healthz``: answers whenever the process is alive."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.media = {"status": "live"}


class ReadinessResource:
    """``GET /readyz``: reports whether the process is ready for new work.

    Parameters
    ----------
    find_obstacles : callable
        Returns the reasons why the process is not ready, an empty tuple if it is.
    """

    def __init__(self, find_obstacles: Callable[[], tuple[str, ...]]) -> None:
        self._find_obstacles = find_obstacles

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        obstacles = self._find_obstacles()
        resp.media = {"status": "not ready" if obstacles else "ready", "because": obstacles}
        if obstacles:
            resp.status = falcon.HTTP_503
