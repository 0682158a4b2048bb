"""Request routing: admission, choice of upstream, retries, slot credits and orders."""

from redwingplank.routing.answers import CallerAnswer, CallerRequest, Problem, Ran
from redwingplank.routing.messages import (
    Decision,
    FailureKind,
    HandOn,
    PeerLoad,
    Release,
    Route,
    RouteRequest,
    ServiceDemand,
    Shed,
    ShedReason,
    Wait,
)
from redwingplank.routing.router import Router, make_router
from redwingplank.routing.settings import RouterSettings

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "Decision",
    "FailureKind",
    "HandOn",
    "PeerLoad",
    "Problem",
    "Ran",
    "Release",
    "Route",
    "RouteRequest",
    "Router",
    "RouterSettings",
    "ServiceDemand",
    "Shed",
    "ShedReason",
    "Wait",
    "make_router",
]
