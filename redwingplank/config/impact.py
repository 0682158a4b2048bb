"""Describes the effect of a change of the declarations on running and on later work."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from redwingplank.config.model import Declarations, Organisation, Service, WorkloadKind
from redwingplank.config.parameters import PARAMETERS_BY_NAME
from redwingplank.core import Resources

__all__ = ["Impact", "find_impacts"]

_SHARE_EFFECT = "next tick: waiting tasks are ordered anew, running ones go on"
_QUOTA_EFFECT = "next tick: running tasks go on, starts wait until the use is below the quota"
_ADDED_EFFECT = "taken from now on"
_REMOVED_EFFECT = "new work is refused; running tasks end as they would"
_REMOVED_SERVICE_EFFECT = "new work is refused; the standing tasks are drained"


@dataclass(frozen=True, slots=True)
class Impact:
    """One effective value that changes, and the effect of the change.

    Parameters
    ----------
    subject : str
        ``"ORGANISATION"`` or ``"ORGANISATION/SERVICE"``.
    parameter : str
        Parameter that changes; empty for the subject as a whole.
    before, after : str
        Formatted values before and after the change.
    effect : str
        The work that is affected, and when.
    """

    subject: str
    parameter: str
    before: str
    after: str
    effect: str


def find_impacts(before: Declarations, after: Declarations) -> tuple[Impact, ...]:
    """Return every effective value that differs between two sets, with its effect.

    Parameters
    ----------
    before, after : Declarations
        Declarations before and after the change.
    """
    old, new = before.organisations_by_name, after.organisations_by_name
    impacts: list[Impact] = []
    for name in sorted(old.keys() | new.keys()):
        impacts.extend(_compare_organisations(name, old.get(name), new.get(name)))
    return tuple(impacts)


def _compare_organisations(
    name: str, old: Organisation | None, new: Organisation | None
) -> Iterator[Impact]:
    if old is None:
        yield Impact(name, "", "none", "declared", _ADDED_EFFECT)
    elif new is None:
        yield Impact(name, "", "declared", "none", _REMOVED_EFFECT)
    else:
        if old.share != new.share:
            yield Impact(name, "share", str(old.share), str(new.share), _SHARE_EFFECT)
        if old.quota != new.quota:
            before, after = _format(old.quota), _format(new.quota)
            yield Impact(name, "quota", before, after, _QUOTA_EFFECT)
    old_services: Mapping[str, Service] = old.services_by_name if old else {}
    new_services: Mapping[str, Service] = new.services_by_name if new else {}
    for service in sorted(old_services.keys() | new_services.keys()):
        subject = f"{name}/{service}"
        yield from _compare_services(subject, old_services.get(service), new_services.get(service))


def _compare_services(subject: str, old: Service | None, new: Service | None) -> Iterator[Impact]:
    if old is None:
        yield Impact(subject, "", "none", "declared", _ADDED_EFFECT)
        return
    if new is None:
        is_standing = old.kind is WorkloadKind.SERVICE
        effect = _REMOVED_SERVICE_EFFECT if is_standing else _REMOVED_EFFECT
        yield Impact(subject, "", "declared", "none", effect)
        return
    for item in fields(Service):
        before, after = getattr(old, item.name), getattr(new, item.name)
        if before != after and item.name != "template":
            yield Impact(
                subject, item.name, _format(before), _format(after), _find_effect(item.name)
            )


def _find_effect(parameter: str) -> str:
    known = PARAMETERS_BY_NAME.get(parameter) or PARAMETERS_BY_NAME[f"{parameter}.millicores"]
    return known.in_force


def _format(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, Resources):
        parts = [f"{value.millicores} millicores", f"{value.memory_mib} MiB"]
        parts.extend(f"{count} {kind}" for kind, count in value.accelerators)
        return ", ".join(parts)
    if isinstance(value, Enum):
        return value.name.lower()
    return str(value).lower() if isinstance(value, bool) else str(value)
