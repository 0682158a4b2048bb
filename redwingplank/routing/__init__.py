"""Decisions on requests: admission, choice of upstream, retries, credits and orders."""

from redwingplank.routing.answers import CallerAnswer, CallerRequest, Problem, Ran
from redwingplank.routing.messages import (
    Decision,
    FailureKind,
    Forward,
    PeerLoad,
    Route,
    RouteRequest,
    ServiceDemand,
    Shed,
    ShedReason,
    Wait,
    WaitingDecision,
)
from redwingplank.routing.router import Router, make_router
from redwingplank.routing.settings import RouterSettings

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "Decision",
    "FailureKind",
    "Forward",
    "PeerLoad",
    "Problem",
    "Ran",
    "Route",
    "RouteRequest",
    "Router",
    "RouterSettings",
    "ServiceDemand",
    "Shed",
    "ShedReason",
    "Wait",
    "WaitingDecision",
    "make_router",
]
