"""Templates and organisations: declarations, their checks and their revisions."""

from redwingplank.config.model import (
    NO_DECLARATIONS,
    START_WITHIN_S,
    DeadlineClass,
    Declarations,
    Organisation,
    PlacementPolicyName,
    Service,
    Spread,
    WorkloadKind,
)

__all__ = [
    "NO_DECLARATIONS",
    "START_WITHIN_S",
    "DeadlineClass",
    "Declarations",
    "Organisation",
    "PlacementPolicyName",
    "Service",
    "Spread",
    "WorkloadKind",
]
