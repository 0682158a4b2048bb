"""Divides the slots of a failure domain's upstreams between its entries."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from redwingplank.platform import ListedVm
from redwingplank.routing.credit_division import (
    Divisions,
    EntryUse,
    UpstreamSlots,
    make_divisions,
    make_upstream_slots,
)
from redwingplank.routing.credit_messages import (
    CreditGrant,
    CreditReport,
    CreditSettings,
    ServiceUse,
)
from redwingplank.routing.messages import PeerLoad

__all__ = ["CreditGrantor"]


@dataclass(slots=True)
class _Member:
    """An entry that may hold credits; `is_known` once it reported in the present epoch."""

    incarnation: int
    is_known: bool = False
    is_frozen: bool = False
    sequence: int = 0
    expires_s: float = float("inf")
    held_by_upstream: dict[str, int] = field(default_factory=dict)
    held_by_service: dict[str, int] = field(default_factory=dict)
    use_by_service: Mapping[str, ServiceUse] = field(default_factory=dict)
    idle_by_service: Mapping[str, int] = field(default_factory=dict)


class CreditGrantor:
    """The ledger of one failure domain's credits, in the entry that has the grantor's lease.

    Parameters
    ----------
    settings : CreditSettings
        The entries' lease.

    Notes
    -----
    Nothing is granted anew until every member of earlier epochs reported, was replaced by a later
    process of its name, or is gone: from the platform's list, or its process. A member's lapsed
    credits are taken back only under an authority that no other grantor can have, and never when
    they were frozen.
    """

    def __init__(self, settings: CreditSettings) -> None:
        self._settings = settings
        self._epoch = 0
        self._authority_until_s = float("-inf")
        self._is_frozen = False
        self._members_by_entry: dict[str, _Member] = {}
        self._totals_by_upstream: dict[str, int] = {}
        self._seen_listed: set[str] = set()
        self._missing_since_by_entry: dict[str, float] = {}
        self._recorded: dict[str, int] = {}
        self._upstreams_by_name: dict[str, UpstreamSlots] = {}

    @property
    def epoch(self) -> int:
        """The grantor's epoch, 0 while it is none."""
        return self._epoch

    def begin_epoch(
        self, now_s: float, epoch: int, authority_until_s: float, members: Mapping[str, int]
    ) -> None:
        """Begin an epoch.

        Parameters
        ----------
        now_s : float
            The present time.
        epoch : int
            Higher than any before.
        authority_until_s : float
            Until when no other grantor can begin one.
        members : mapping of str to int
            Incarnations of the entries that may hold credits, by name, as recorded.
        """
        self._epoch = epoch
        self._recorded = dict(members)
        self._totals_by_upstream = {}
        self._members_by_entry = {
            entry: _Member(incarnation) for entry, incarnation in members.items()
        }
        for member in self._members_by_entry.values():
            self._extend(now_s, member)
        self.renew(authority_until_s)

    def renew(self, authority_until_s: float) -> None:
        """Extend the authority; grants have a lease again."""
        self._authority_until_s = authority_until_s
        self._is_frozen = False

    def freeze(self) -> None:
        """Let every entry keep its credits, because the authority may not be extended."""
        self._is_frozen = True

    def resign(self) -> None:
        """End the epoch here; the next grantor learns the members from the record."""
        self._epoch = 0
        self._members_by_entry = {}
        self._totals_by_upstream = {}

    def set_upstreams(self, upstreams: Iterable[ListedVm]) -> None:
        """Take the list of the failure domain's upstreams."""
        self._upstreams_by_name = {
            vm.name: make_upstream_slots(vm.name, vm.service, min(vm.slots, vm.connections))
            for vm in upstreams
        }

    def set_listed_entries(self, now_s: float, entries: Iterable[str]) -> None:
        """Take the names of the listed entry VMs; members that are gone free their credits.

        Notes
        -----
        A member that was never seen in the list may be too new for it, and counts as gone only
        after the list's lag.
        """
        listed = set(entries)
        self._seen_listed |= listed
        for entry in listed:
            self._missing_since_by_entry.pop(entry, None)
        for entry in [name for name in self._members_by_entry if name not in listed]:
            since_s = self._missing_since_by_entry.setdefault(entry, now_s)
            if entry in self._seen_listed or now_s - since_s > self._settings.list_lag_s:
                self._remove(entry)

    def unreachable_members(self, now_s: float) -> Mapping[str, int]:
        """Return the members that have not reported in this epoch for a whole lease.

        Returns
        -------
        mapping of str to int
            Their incarnations, by name.
        """
        return {
            entry: member.incarnation
            for entry, member in self._members_by_entry.items()
            if not member.is_known and now_s >= member.expires_s
        }

    def remove_stopped_member(self, entry: str, incarnation: int) -> None:
        """Free the credits of a silent member whose process certainly runs no more."""
        member = self._members_by_entry.get(entry)
        if member is not None and not member.is_known and member.incarnation == incarnation:
            self._remove(entry)

    def unrecorded_members(self) -> Mapping[str, int] | None:
        """Return the members to record, or None when the record is as it should be."""
        members = {name: each.incarnation for name, each in self._members_by_entry.items()}
        return members if members != self._recorded else None

    def confirm_recorded_members(self, members: Mapping[str, int]) -> None:
        """Note that members are durably recorded; only these are granted credits."""
        self._recorded = dict(members)

    def handle_report(self, now_s: float, report: CreditReport) -> bool:
        """Take a report; return whether it is the latest of its entry and to be answered."""
        if not self._epoch or report.epoch > self._epoch:
            return False
        member = self._members_by_entry.get(report.entry)
        if member is not None and self._is_older(member, report):
            return False
        if report.is_last:
            self._remove(report.entry)
            return True
        if member is None or member.incarnation != report.incarnation:
            self._remove(report.entry)
            member = self._members_by_entry[report.entry] = _Member(report.incarnation)
        elif not member.is_known:
            self._set_held(member, dict(report.held_by_upstream))
        else:
            self._lapse(now_s, member)
            self._set_held(member, _lower(member.held_by_upstream, report.held_by_upstream))
        member.is_known = True
        member.is_frozen = report.is_frozen
        member.sequence = report.sequence
        member.use_by_service = report.use_by_service
        member.idle_by_service = report.idle_by_service
        self._extend(now_s, member)
        return True

    def is_latest(self, report: CreditReport) -> bool:
        """Return whether no later report of its entry was taken."""
        member = self._members_by_entry.get(report.entry)
        identity = (report.incarnation, report.sequence)
        return member is not None and (member.incarnation, member.sequence) == identity

    def would_change(self, now_s: float, entry: str) -> bool:
        """Return whether a grant to an entry would differ from what it holds."""
        member = self._members_by_entry.get(entry)
        if member is None:
            return False
        if member.is_frozen != self._grants_frozen(now_s):
            return True
        return self._grants(now_s, entry, member) != member.held_by_upstream

    def grant(self, now_s: float, entry: str) -> CreditGrant | None:
        """Return the answer to an entry's latest report, and count what it grants."""
        member = self._members_by_entry.get(entry)
        if member is None or not member.is_known:
            return None
        grants = self._grants(now_s, entry, member)
        held = member.held_by_upstream
        self._set_held(member, {**held, **{u: max(n, held.get(u, 0)) for u, n in grants.items()}})
        is_frozen = self._grants_frozen(now_s)
        member.is_frozen = member.is_frozen or is_frozen
        return CreditGrant(
            self._epoch,
            member.incarnation,
            member.sequence,
            grants,
            is_frozen,
            self._peers_of(entry),
        )

    def granted_by_upstream(self) -> dict[str, int]:
        """Return the sum of what members are counted to hold, by upstream."""
        return {upstream: total for upstream, total in self._totals_by_upstream.items() if total}

    def _set_held(self, member: _Member, held_by_upstream: dict[str, int]) -> None:
        totals = self._totals_by_upstream
        for upstream, held in member.held_by_upstream.items():
            totals[upstream] -= held
        for upstream, held in held_by_upstream.items():
            totals[upstream] = totals.get(upstream, 0) + held
        member.held_by_upstream = held_by_upstream
        member.held_by_service = {}
        for upstream, held in held_by_upstream.items():
            row = self._upstreams_by_name.get(upstream)
            if row is not None:
                counted = member.held_by_service.get(row.service, 0)
                member.held_by_service[row.service] = counted + held

    def _remove(self, entry: str) -> None:
        member = self._members_by_entry.pop(entry, None)
        if member is not None:
            self._set_held(member, {})

    def _grants_frozen(self, now_s: float) -> bool:
        return self._is_frozen or now_s >= self._authority_until_s

    def _is_older(self, member: _Member, report: CreditReport) -> bool:
        if report.incarnation != member.incarnation:
            return report.incarnation < member.incarnation
        return member.is_known and report.sequence <= member.sequence

    def _extend(self, now_s: float, member: _Member) -> None:
        member.expires_s = now_s + self._settings.lease_s + self._settings.margin_s

    def _lapse(self, now_s: float, member: _Member) -> None:
        """Take back the credits of a member whose lease has certainly ended."""
        has_authority = now_s < self._authority_until_s
        is_over = now_s >= member.expires_s
        if is_over and has_authority and member.is_known and not member.is_frozen:
            self._set_held(member, {})

    def _grants(self, now_s: float, entry: str, member: _Member) -> dict[str, int]:
        for other in self._members_by_entry.values():
            self._lapse(now_s, other)
        may_grow = self._may_grow(entry, member)
        totals = self._totals_by_upstream
        divisions = self._divide()
        grants = {}
        for name, upstream in self._upstreams_by_name.items():
            target = divisions.target(upstream, entry)
            held = member.held_by_upstream.get(name, 0)
            free = upstream.slots - totals.get(name, 0)
            if target > held:
                credits = held + max(0, min(free, target - held)) if may_grow else held
            elif held > target and free <= 0 and divisions.is_wanted(upstream.service, entry):
                credits = target
            else:
                credits = held
            if credits:
                grants[name] = credits
        return grants

    def _may_grow(self, entry: str, member: _Member) -> bool:
        is_recorded = self._recorded.get(entry) == member.incarnation
        return is_recorded and all(each.is_known for each in self._members_by_entry.values())

    def _divide(self) -> Divisions:
        uses_by_entry = {
            entry: EntryUse(member.use_by_service, member.held_by_service)
            for entry, member in self._members_by_entry.items()
        }
        upstreams = self._upstreams_by_name.values()
        return make_divisions(upstreams, uses_by_entry, self._settings.base_fraction)

    def _peers_of(self, entry: str) -> tuple[PeerLoad, ...]:
        return tuple(
            PeerLoad(
                name,
                dict(member.idle_by_service),
                sum(use.waiting for use in member.use_by_service.values()),
            )
            for name, member in self._members_by_entry.items()
            if name != entry and member.is_known
        )


def _lower(counted: Mapping[str, int], reported: Mapping[str, int]) -> dict[str, int]:
    """Return what is still held: what was counted, as far as it is reported."""
    return {
        upstream: min(held, counted[upstream])
        for upstream, held in reported.items()
        if held and counted.get(upstream)
    }
