"""The platform's lagging list of live and leaving VMs."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from redwingplank.core import NO_RESOURCES, Resources

__all__ = ["ListedVm", "VmList", "VmListing", "VmRole", "VmState"]


class VmRole(StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class VmState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One row of the platform's list.

    Parameters
    ----------
    name : str
        Unique and never used again.
    role : VmRole
        What the VM is for.
    failure_domain, rack : str
        Where it stands.
    address : str
        ``"IP:PORT"`` of its service.
    state : VmState
        Live or leaving.
    capacity : Resources
        What a worker can run.
    service : str
        The service that an upstream serves, such as ``"notahane"``; empty for others.
    slots, connections : int
        Concurrent requests and connections that an upstream takes.
    """

    name: str
    role: VmRole
    failure_domain: str
    rack: str
    address: str
    state: VmState = VmState.LIVE
    capacity: Resources = NO_RESOURCES
    service: str = ""
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True)
class VmListing:
    """The whole list as it was `lag_s` seconds or less before it was read."""

    vms: tuple[ListedVm, ...]
    version: int


class VmList(ABC):
    """Client of the platform's list."""

    @abstractmethod
    async def read(self, failure_domain: str = "") -> VmListing:
        """Return the list, of one failure domain or of all; raises `PlatformError`."""
