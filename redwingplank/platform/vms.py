"""Interface to the platform's list of live and leaving VMs, which lags behind the truth."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from redwingplank.core import NO_RESOURCES, Resources

__all__ = ["ListedVm", "VmList", "VmListing", "VmRole", "VmState"]


class VmRole(StrEnum):
    """The role of a VM."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class VmState(StrEnum):
    """The state of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One row of the platform's list.

    Parameters
    ----------
    name : str
        Name of the VM, unique and never reused.
    role : VmRole
        Role of the VM.
    failure_domain, rack : str
        Location of the VM.
    address : str
        ``"IP:PORT"`` at which the VM serves.
    state : VmState
        Whether the VM is live or leaving.
    capacity : Resources
        Resources that a worker offers to tasks.
    service : str
        Service of an upstream, such as ``"notahane"``; empty for other roles.
    slots, connections : int
        Largest numbers of concurrent requests and connections that an upstream accepts.
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
    """The VM list and its version; it may lag behind the actual state of the platform."""

    vms: tuple[ListedVm, ...]
    version: int


class VmList(ABC):
    """Client of the VM list."""

    @abstractmethod
    async def read(self, failure_domain: str = "") -> VmListing:
        """Return the VMs of one failure domain, or of all if it is empty.

        A client bounds the wait for the begin of the list and for its progress, not its transfer.

        Raises
        ------
        PlatformError
            If the list could not be read.
        """
