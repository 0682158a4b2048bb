"""What a node knows of the other failure domains, from summaries of fixed size."""

from collections.abc import Iterator
from dataclasses import dataclass

from redwingplank.membership.messages import DomainSummary, DomainView

__all__ = ["DomainTable"]

CUT_OFF_AFTER_S = 9.0
"""Longer than a summary, a speaker's view of it and a heartbeat take together."""


@dataclass(slots=True)
class _Domain:
    addresses: tuple[str, ...]
    heard_at_s: float
    revision: int = 0
    address: str = ""


class DomainTable:
    """The other failure domains of the cell; `version` grows when what is known changes.

    Parameters
    ----------
    now_s : float
        Present time; a failure domain counts as cut off only some time after it.
    addresses_by_domain : mapping of str to tuple of str
        Where each may be reached, from the settings.
    """

    def __init__(self, now_s: float, addresses_by_domain: dict[str, tuple[str, ...]]) -> None:
        self.version = 0
        self._domains_by_name = {
            name: _Domain(addresses, now_s) for name, addresses in addresses_by_domain.items()
        }

    def __iter__(self) -> Iterator[str]:
        return iter(self._domains_by_name)

    def take_summary(self, now_s: float, summary: DomainSummary) -> None:
        """Take a failure domain's own word."""
        domain = self._domains_by_name.setdefault(summary.failure_domain, _Domain((), now_s))
        domain.heard_at_s = max(domain.heard_at_s, now_s)
        if (summary.revision, summary.address) != (domain.revision, domain.address):
            self.version += 1
        domain.revision = max(domain.revision, summary.revision)
        domain.address = summary.address

    def take_view(self, now_s: float, view: DomainView) -> None:
        """Take the word of this failure domain's speaker about another one."""
        domain = self._domains_by_name.setdefault(view.failure_domain, _Domain((), now_s))
        if now_s - view.age_s >= domain.heard_at_s:
            domain.heard_at_s = now_s - view.age_s
            domain.address = view.address or domain.address
        domain.revision = max(domain.revision, view.revision)

    def views(self, now_s: float) -> tuple[DomainView, ...]:
        """Return what is known, for the other nodes of this failure domain."""
        return tuple(
            DomainView(name, now_s - domain.heard_at_s, domain.revision, domain.address)
            for name, domain in self._domains_by_name.items()
        )

    def forget_address(self, name: str) -> None:
        """Drop the speaker's address of a failure domain that did not answer there."""
        self._domains_by_name[name].address = ""

    def addresses_of(self, name: str) -> tuple[str, ...]:
        """Return where to reach a failure domain: its speaker, or any of its nodes."""
        domain = self._domains_by_name[name]
        return (domain.address,) if domain.address else domain.addresses

    def is_heard(self, now_s: float, name: str, within_s: float) -> bool:
        """Return whether a failure domain was heard of within some seconds."""
        return now_s - self._domains_by_name[name].heard_at_s <= within_s

    def cut_off(self, now_s: float) -> tuple[str, ...]:
        """Return the failure domains that have not been heard of for a while."""
        return tuple(
            name
            for name, domain in self._domains_by_name.items()
            if now_s - domain.heard_at_s > CUT_OFF_AFTER_S
        )
