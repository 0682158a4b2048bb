"""Decides by key whether a request of a caller is served, and for which organisation."""

import enum
from dataclasses import dataclass, field

import msgspec

from redwingplank.batch.model import CellConfig, QueuePolicy
from redwingplank.core import UndecodableError, decode_json

__all__ = [
    "AccessDecision",
    "AccessRefusal",
    "Credentials",
    "ViewAge",
    "decide_access",
    "is_record_visible",
    "is_visible",
    "read_organisation",
]

SCHEME = "bearer"
VIEW_AGE_SHARE = 0.9
"""Share of the revocation limit for which a proof of the configuration is used; the rest is for the
time between the check of a request and its effect."""


class AccessRefusal(enum.StrEnum):
    """Why a request is refused."""

    UNKNOWN_KEY = "unknown_key"
    """The request has no key that belongs to an organisation."""
    VIEW_TOO_OLD = "view_too_old"
    """The configuration may have been replaced for too long without this node knowing."""


@dataclass(frozen=True, slots=True)
class AccessDecision:
    """Result of authenticating a request.

    Parameters
    ----------
    refusal : AccessRefusal or None
        Why the request is refused, None if it is served.
    organisation : str
        Organisation of the key, empty if there is none.
    visible_to : str or None
        Organisation whose jobs are visible to the request, besides those of no organisation; None
        if all jobs are visible.
    """

    refusal: AccessRefusal | None = None
    organisation: str = ""
    visible_to: str | None = None


@dataclass(frozen=True, slots=True)
class Credentials:
    """What a request is authenticated by.

    Parameters
    ----------
    queue : QueuePolicy
        Queue that the request names.
    authorization : str or None
        Value of the ``Authorization`` header; left out of the repr, because it holds a key.
    """

    queue: QueuePolicy
    authorization: str | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ViewAge:
    """How far a node's configuration can be trusted.

    Parameters
    ----------
    proof_age_s : float
        Seconds since the configuration is known to have been the newest one.
    revocation_limit_s : float or None
        Time after which removed keys have to be refused, None if there is none.
    is_outdated : bool
        Whether the store has not answered for so long that a change which has to be in force may
        be missing here.
    """

    proof_age_s: float
    revocation_limit_s: float | None
    is_outdated: bool = False

    @property
    def is_too_old_for_keys(self) -> bool:
        """Whether a key may have been removed for so long that it must not be served."""
        limit_s = self.revocation_limit_s
        return limit_s is not None and self.proof_age_s > VIEW_AGE_SHARE * limit_s


def decide_access(config: CellConfig, credentials: Credentials, age: ViewAge) -> AccessDecision:
    """Authenticate a request under a configuration, which may be newer than its queue.

    A header without a well-formed key is refused at any age, because no configuration could know
    it. A public queue needs neither a key nor a proof.

    Parameters
    ----------
    config : CellConfig
        Configuration in force.
    credentials : Credentials
        Queue and key of the request.
    age : ViewAge
        Age of the configuration.
    """
    if not config.requires_keys:
        return AccessDecision()
    queue = config.queues_by_name.get(credentials.queue.name, credentials.queue)
    key = _read_key(credentials.authorization)
    organisation = config.organisation_by_key.get(key, "")
    refusal = None
    if not queue.is_public:
        refusal = _find_refusal(key, organisation, age)
    return AccessDecision(refusal, organisation, organisation)


def _find_refusal(key: str, organisation: str, age: ViewAge) -> AccessRefusal | None:
    if not key:
        return AccessRefusal.UNKNOWN_KEY
    if age.is_too_old_for_keys:
        return AccessRefusal.VIEW_TOO_OLD
    if organisation:
        return None
    return AccessRefusal.VIEW_TOO_OLD if age.is_outdated else AccessRefusal.UNKNOWN_KEY


def _read_key(authorization: str | None) -> str:
    """Return the key of a header ``Bearer KEY``, an empty string if the header has another form."""
    words = (authorization or "").split()
    if len(words) != 2 or words[0].lower() != SCHEME:
        return ""
    return words[1]


class _JobOrganisation(msgspec.Struct):
    organisation: str = ""


def read_organisation(value: bytes | None) -> str:
    """Return the organisation that the stored record of a job names, empty if it names none.

    Raises
    ------
    UndecodableError
        The record cannot be read.
    """
    return decode_json(value or b"", _JobOrganisation).organisation


def is_record_visible(value: bytes | None, visible_to: str | None) -> bool:
    """Return whether the stored record of a job shows it to be visible to a request."""
    if visible_to is None:
        return True
    try:
        return is_visible(read_organisation(value), visible_to)
    except UndecodableError:
        return False


def is_visible(organisation: str, visible_to: str | None) -> bool:
    """Return whether a job of `organisation` is visible to a request."""
    return visible_to is None or organisation in ("", visible_to)
