"""HTTP implementations of the interfaces to the platform, and an HTTP server."""

from redwingplank.platform.http.calls import open_session
from redwingplank.platform.http.clients import (
    Adoption,
    HttpUpstreamClient,
    HttpVmList,
    HttpWorkerClient,
)
from redwingplank.platform.http.kv import HttpKeyValueStore
from redwingplank.platform.http.limits import HttpLimits, make_limits
from redwingplank.platform.http.server import HttpServer, serve_http

__all__ = [
    "Adoption",
    "HttpKeyValueStore",
    "HttpLimits",
    "HttpServer",
    "HttpUpstreamClient",
    "HttpVmList",
    "HttpWorkerClient",
    "make_limits",
    "open_session",
    "serve_http",
]
