"""Whether a process lives and whether it wants new work."""

from collections.abc import Callable

import falcon
import falcon.asgi

__all__ = ["HealthResource", "ReadinessResource"]


class HealthResource:
    """``GET /healthz``: the process answers."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.media = {"status": "live"}


class ReadinessResource:
    """``GET /readyz``: the process wants new work.

    Parameters
    ----------
    find_obstacles : callable
        Returns why it wants none, an empty tuple when it does.
    """

    def __init__(self, find_obstacles: Callable[[], tuple[str, ...]]) -> None:
        self._find_obstacles = find_obstacles

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        obstacles = self._find_obstacles()
        resp.media = {"status": "not ready" if obstacles else "ready", "because": obstacles}
        if obstacles:
            resp.status = falcon.HTTP_503
