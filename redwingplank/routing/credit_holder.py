"""Slot credits that one entry holds."""

from collections.abc import Mapping

from redwingplank.routing.credit_messages import (
    CreditGrant,
    CreditReport,
    CreditSettings,
    ServiceUse,
)

__all__ = ["CreditHolder"]


class CreditHolder:
    """Holds credits under a lease and releases those that the grantor recalls.

    Parameters
    ----------
    settings : CreditSettings
        Duration of the lease.
    entry : str
        Name of this entry.
    incarnation : int
        Number that grows with each start of the process.

    Notes
    -----
    The lease starts when the report is made, so that it expires here before it expires at the
    grantor. A frozen grant has no lease and never expires; it is valid until a later grant is
    applied.
    """

    def __init__(self, settings: CreditSettings, entry: str, incarnation: int) -> None:
        self._settings = settings
        self._entry = entry
        self._incarnation = incarnation
        self._sequence = 0
        self._reported_at_s = float("-inf")
        self._expires_s = float("-inf")
        self._held_by_upstream: dict[str, int] = {}
        self._recall_targets_by_upstream: dict[str, int] = {}
        self.epoch = 0

    def held(self, now_s: float) -> Mapping[str, int]:
        """Return the credits that may be used now, by upstream."""
        return self._held_by_upstream if now_s < self._expires_s else {}

    def usable(self, now_s: float) -> Mapping[str, int]:
        """Return the credits on which new requests may start, excluding recalled ones."""
        held = self.held(now_s)
        return {
            name: self._recall_targets_by_upstream.get(name, count) for name, count in held.items()
        }

    def release_recalled_credits(self, now_s: float, in_use_by_upstream: Mapping[str, int]) -> bool:
        """Release recalled credits that are not in use; return whether any was released."""
        is_changed = False
        for upstream, target in list(self._recall_targets_by_upstream.items()):
            held = self._held_by_upstream.get(upstream, 0)
            kept = min(held, max(target, in_use_by_upstream.get(upstream, 0)))
            if kept < held:
                self._held_by_upstream[upstream] = kept
                is_changed = True
            if kept <= target:
                del self._recall_targets_by_upstream[upstream]
        return is_changed

    def make_report(
        self,
        now_s: float,
        use_by_service: Mapping[str, ServiceUse],
        idle_by_service: Mapping[str, int],
        *,
        is_last: bool = False,
    ) -> CreditReport:
        """Return the next report; answers to earlier ones are ignored from now on."""
        if now_s >= self._expires_s or is_last:
            self._held_by_upstream = {}
            self._recall_targets_by_upstream = {}
        self._sequence += 1
        self._reported_at_s = now_s
        return CreditReport(
            entry=self._entry,
            incarnation=self._incarnation,
            sequence=self._sequence,
            epoch=self.epoch,
            held_by_upstream=dict(self._held_by_upstream),
            use_by_service=dict(use_by_service),
            idle_by_service=dict(idle_by_service),
            is_frozen=self._expires_s == float("inf"),
            is_last=is_last,
        )

    def apply_grant(
        self, now_s: float, grant: CreditGrant, in_use_by_upstream: Mapping[str, int]
    ) -> bool:
        """Apply a grant if it answers the latest report; return whether it was applied.

        Notes
        -----
        Credits above a lower grant are kept while in use and released by
        `release_recalled_credits`. This covers only credits that are still held: after its lease
        has expired, the entry holds nothing but the credits of the new grant.
        """
        is_answer = (grant.incarnation, grant.sequence) == (self._incarnation, self._sequence)
        expires_s = self._reported_at_s + self._settings.lease_s
        if not is_answer or grant.epoch < self.epoch:
            return False
        if not grant.is_frozen and now_s >= expires_s:
            return False
        previous = self.held(now_s)
        self.epoch = grant.epoch
        self._expires_s = float("inf") if grant.is_frozen else expires_s
        self._held_by_upstream = dict(grant.credits_by_upstream)
        self._recall_targets_by_upstream = {}
        for upstream, held in previous.items():
            target = grant.credits_by_upstream.get(upstream, 0)
            if held > target:
                self._held_by_upstream[upstream] = held
                self._recall_targets_by_upstream[upstream] = target
        self.release_recalled_credits(now_s, in_use_by_upstream)
        return True
