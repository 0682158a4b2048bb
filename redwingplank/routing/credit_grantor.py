"""Grants the slots of a failure domain's upstreams as credits to its entries."""

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
    """An entry that may hold credits; `is_known` is true once it reported in this epoch."""

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
    """Ledger of the credits of one failure domain, in the entry that holds the grantor's lease.

    Parameters
    ----------
    settings : CreditSettings
        Lease times and shares of the credits.

    Notes
    -----
    No entry gets additional credits until each member of earlier epochs has reported, was replaced
    by a later process of its name, or is removed because its VM is no longer listed or its process
    has stopped. Credits whose lease has expired are released only while the authority is valid, so
    that there can be no other grantor, and never if they are frozen, that is, held without a lease.
    """

    def __init__(self, settings: CreditSettings) -> None:
        self._settings = settings
        self._epoch = 0
        self._authority_until_s = float("-inf")
        self._is_frozen = False
        self._members_by_entry: dict[str, _Member] = {}
        self._totals_by_upstream: dict[str, int] = {}
        self._ever_listed: set[str] = set()
        self._missing_since_by_entry: dict[str, float] = {}
        self._recorded_members: dict[str, int] = {}
        self._upstreams_by_name: dict[str, UpstreamSlots] = {}

    @property
    def epoch(self) -> int:
        """Epoch of the grantor, 0 while this entry is not the grantor."""
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
            Number of the epoch, higher than all before.
        authority_until_s : float
            Time in seconds until which no other grantor can begin an epoch.
        members : mapping of str to int
            Incarnations of the entries that may hold credits, by name, from the durable record.
        """
        self._epoch = epoch
        self._recorded_members = dict(members)
        self._totals_by_upstream = {}
        self._members_by_entry = {
            entry: _Member(incarnation) for entry, incarnation in members.items()
        }
        for member in self._members_by_entry.values():
            self._renew_lease(now_s, member)
        self.renew(authority_until_s)

    def renew(self, authority_until_s: float) -> None:
        """Extend the authority to a later time; grants have a lease again."""
        self._authority_until_s = authority_until_s
        self._is_frozen = False

    def freeze(self) -> None:
        """Let entries keep their credits without a lease, as a renewal was not confirmed."""
        self._is_frozen = True

    def resign(self) -> None:
        """Stop being the grantor; the next grantor reads the members from the durable record."""
        self._epoch = 0
        self._members_by_entry = {}
        self._totals_by_upstream = {}

    def set_upstreams(self, upstreams: Iterable[ListedVm]) -> None:
        """Replace the list of the failure domain's upstreams."""
        self._upstreams_by_name = {
            vm.name: make_upstream_slots(vm.name, vm.service, min(vm.slots, vm.connections))
            for vm in upstreams
        }

    def set_listed_entries(self, now_s: float, entries: Iterable[str]) -> None:
        """Update the names of the listed entry VMs and remove members that no longer exist.

        Notes
        -----
        A member that has never been listed may be newer than the list, and is removed only after
        `CreditSettings.list_lag_s`.
        """
        listed = set(entries)
        self._ever_listed |= listed
        for entry in listed:
            self._missing_since_by_entry.pop(entry, None)
        for entry in [name for name in self._members_by_entry if name not in listed]:
            since_s = self._missing_since_by_entry.setdefault(entry, now_s)
            if entry in self._ever_listed or now_s - since_s > self._settings.list_lag_s:
                self._remove(entry)

    def unreachable_members(self, now_s: float) -> Mapping[str, int]:
        """Return the members that have not reported in this epoch within one lease.

        Returns
        -------
        mapping of str to int
            Incarnations of the members, by name.
        """
        return {
            entry: member.incarnation
            for entry, member in self._members_by_entry.items()
            if not member.is_known and now_s >= member.expires_s
        }

    def remove_stopped_member(self, entry: str, incarnation: int) -> None:
        """Remove an unreachable member whose process has certainly stopped."""
        member = self._members_by_entry.get(entry)
        if member is not None and not member.is_known and member.incarnation == incarnation:
            self._remove(entry)

    def unrecorded_members(self) -> Mapping[str, int] | None:
        """Return the members to record durably, or None when the record is up to date."""
        members = {name: each.incarnation for name, each in self._members_by_entry.items()}
        return members if members != self._recorded_members else None

    def confirm_recorded_members(self, members: Mapping[str, int]) -> None:
        """Set the members that are durably recorded; only these get additional credits."""
        self._recorded_members = dict(members)

    def handle_report(self, now_s: float, report: CreditReport) -> bool:
        """Apply a report; return whether it is the latest of its entry and needs an answer."""
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
            self._release_if_expired(now_s, member)
            self._set_held(
                member, _limit_to_reported(member.held_by_upstream, report.held_by_upstream)
            )
        member.is_known = True
        member.is_frozen = report.is_frozen
        member.sequence = report.sequence
        member.use_by_service = report.use_by_service
        member.idle_by_service = report.idle_by_service
        self._renew_lease(now_s, member)
        return True

    def is_latest(self, report: CreditReport) -> bool:
        """Return whether a report is the latest one that was applied for its entry."""
        member = self._members_by_entry.get(report.entry)
        identity = (report.incarnation, report.sequence)
        return member is not None and (member.incarnation, member.sequence) == identity

    def would_change(self, now_s: float, entry: str) -> bool:
        """Return whether a grant would differ from what an entry holds."""
        member = self._members_by_entry.get(entry)
        if member is None:
            return False
        if member.is_frozen != self._grants_frozen(now_s):
            return True
        return self._grants(now_s, entry, member) != member.held_by_upstream

    def grant(self, now_s: float, entry: str) -> CreditGrant | None:
        """Return the answer to an entry's latest report and add its credits to the ledger."""
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
        """Return the total of the credits that members may hold, by upstream."""
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
            slots_of_upstream = self._upstreams_by_name.get(upstream)
            if slots_of_upstream is not None:
                counted = member.held_by_service.get(slots_of_upstream.service, 0)
                member.held_by_service[slots_of_upstream.service] = counted + held

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

    def _renew_lease(self, now_s: float, member: _Member) -> None:
        member.expires_s = now_s + self._settings.lease_s + self._settings.margin_s

    def _release_if_expired(self, now_s: float, member: _Member) -> None:
        """Release the credits of a member whose lease has certainly expired."""
        has_authority = now_s < self._authority_until_s
        is_expired = now_s >= member.expires_s
        if is_expired and has_authority and member.is_known and not member.is_frozen:
            self._set_held(member, {})

    def _grants(self, now_s: float, entry: str, member: _Member) -> dict[str, int]:
        """Return the credits of an entry for its next grant, by upstream.

        Credits below the target are raised by free ones if `_may_increase` allows it. Credits above
        it are recalled only if none are free and another entry wants them.
        """
        for other in self._members_by_entry.values():
            self._release_if_expired(now_s, other)
        may_increase = self._may_increase(entry, member)
        totals = self._totals_by_upstream
        divisions = self._divide()
        grants = {}
        for name, upstream in self._upstreams_by_name.items():
            target = divisions.target(upstream, entry)
            held = member.held_by_upstream.get(name, 0)
            free = upstream.slots - totals.get(name, 0)
            if target > held:
                credits = held + max(0, min(free, target - held)) if may_increase else held
            elif held > target and free <= 0 and divisions.is_wanted(upstream.service, entry):
                credits = target
            else:
                credits = held
            if credits:
                grants[name] = credits
        return grants

    def _may_increase(self, entry: str, member: _Member) -> bool:
        is_recorded = self._recorded_members.get(entry) == member.incarnation
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


def _limit_to_reported(counted: Mapping[str, int], reported: Mapping[str, int]) -> dict[str, int]:
    """Return the credits that are still held: the lower of counted and reported."""
    return {
        upstream: min(held, counted[upstream])
        for upstream, held in reported.items()
        if held and counted.get(upstream)
    }
