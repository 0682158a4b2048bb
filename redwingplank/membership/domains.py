"""State of the other failure domains at one node, built from summaries of fixed size."""

from collections.abc import Iterator
from dataclasses import dataclass

from redwingplank.membership.messages import DomainSummary, DomainView

__all__ = ["DomainTable"]

CUT_OFF_AFTER_S = 9.0
"""Seconds without news of a failure domain after which it counts as cut off.

Longer than the periods of a summary, of the speaker's report of it and of a heartbeat together.
"""


@dataclass(slots=True)
class _Domain:
    addresses: tuple[str, ...]
    updated_at_s: float
    address: str = ""


class DomainTable:
    """The other failure domains of the cell.

    `version` grows when the speaker's address in a summary differs from the known one.

    Parameters
    ----------
    now_s : float
        Present time; a failure domain counts as cut off no earlier than `CUT_OFF_AFTER_S` after it.
    addresses_by_domain : mapping of str to tuple of str
        Addresses of the nodes of each failure domain, from the settings.
    """

    def __init__(self, now_s: float, addresses_by_domain: dict[str, tuple[str, ...]]) -> None:
        self.version = 0
        self._domains_by_name = {
            name: _Domain(addresses, now_s) for name, addresses in addresses_by_domain.items()
        }

    def __iter__(self) -> Iterator[str]:
        return iter(self._domains_by_name)

    def apply_summary(self, now_s: float, summary: DomainSummary) -> None:
        """Apply a summary that a failure domain sent about itself."""
        domain = self._domains_by_name.setdefault(summary.failure_domain, _Domain((), now_s))
        domain.updated_at_s = max(domain.updated_at_s, now_s)
        if summary.address != domain.address:
            self.version += 1
        domain.address = summary.address

    def apply_view(self, now_s: float, view: DomainView) -> None:
        """Apply a report of this failure domain's speaker about another failure domain."""
        domain = self._domains_by_name.setdefault(view.failure_domain, _Domain((), now_s))
        if now_s - view.age_s >= domain.updated_at_s:
            domain.updated_at_s = now_s - view.age_s
            domain.address = view.address or domain.address

    def views(self, now_s: float) -> tuple[DomainView, ...]:
        """Return the state of every other failure domain, to be sent to the peers."""
        return tuple(
            DomainView(name, now_s - domain.updated_at_s, domain.address)
            for name, domain in self._domains_by_name.items()
        )

    def discard_speaker_address(self, name: str) -> None:
        """Discard the speaker's address of a failure domain after it did not answer."""
        self._domains_by_name[name].address = ""

    def addresses_of(self, name: str) -> tuple[str, ...]:
        """Return the address of a failure domain's speaker, or of all its nodes if unknown."""
        domain = self._domains_by_name[name]
        return (domain.address,) if domain.address else domain.addresses

    def was_updated_within(self, now_s: float, name: str, within_s: float) -> bool:
        """Return whether there was news of a failure domain in the last `within_s` seconds."""
        return now_s - self._domains_by_name[name].updated_at_s <= within_s

    def cut_off(self, now_s: float) -> tuple[str, ...]:
        """Return the failure domains without news for more than `CUT_OFF_AFTER_S` seconds."""
        return tuple(
            name
            for name, domain in self._domains_by_name.items()
            if now_s - domain.updated_at_s > CUT_OFF_AFTER_S
        )
