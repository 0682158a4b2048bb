"""The slot credits that one entry holds."""

from collections.abc import Mapping

from redwingplank.routing.credit_messages import (
    CreditGrant,
    CreditReport,
    CreditSettings,
    ServiceUse,
)

__all__ = ["CreditHolder"]


class CreditHolder:
    """Holds credits under a lease, and gives up what the grantor asks for.

    Parameters
    ----------
    settings : CreditSettings
        The lease.
    entry : str
        Name of this process.
    incarnation : int
        Grows with each start of the process.

    Notes
    -----
    The lease counts from the moment at which the report was made, so that it ends here before it
    ends at the grantor. A frozen grant has no lease: it holds until a later epoch is heard of.
    """

    def __init__(self, settings: CreditSettings, entry: str, incarnation: int) -> None:
        self._settings = settings
        self._entry = entry
        self._incarnation = incarnation
        self._sequence = 0
        self._reported_at_s = float("-inf")
        self._expires_s = float("-inf")
        self._held_by_upstream: dict[str, int] = {}
        self._wanted_back_by_upstream: dict[str, int] = {}
        self.epoch = 0

    def held(self, now_s: float) -> Mapping[str, int]:
        """Return the credits that may be used now, by upstream."""
        return self._held_by_upstream if now_s < self._expires_s else {}

    def usable(self, now_s: float) -> Mapping[str, int]:
        """Return the credits on which new requests may start, without those wanted back."""
        held = self.held(now_s)
        return {
            name: self._wanted_back_by_upstream.get(name, count) for name, count in held.items()
        }

    def release_recalled_credits(self, now_s: float, in_use_by_upstream: Mapping[str, int]) -> bool:
        """Give up what was asked for and is free; return whether anything was given up."""
        is_changed = False
        for upstream, target in list(self._wanted_back_by_upstream.items()):
            held = self._held_by_upstream.get(upstream, 0)
            kept = min(held, max(target, in_use_by_upstream.get(upstream, 0)))
            if kept < held:
                self._held_by_upstream[upstream] = kept
                is_changed = True
            if kept <= target:
                del self._wanted_back_by_upstream[upstream]
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
            self._wanted_back_by_upstream = {}
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
        """Take the answer to the latest report; return whether it was taken.

        Notes
        -----
        Credits that are in use are kept beyond a lower grant and given up by `give_back`, but
        only those that were held: a grant to an entry whose lease had lapsed starts from nothing.
        """
        is_answer = (grant.incarnation, grant.sequence) == (self._incarnation, self._sequence)
        ends_s = self._reported_at_s + self._settings.lease_s
        if not is_answer or grant.epoch < self.epoch:
            return False
        if not grant.is_frozen and now_s >= ends_s:
            return False
        previous = self.held(now_s)
        self.epoch = grant.epoch
        self._expires_s = float("inf") if grant.is_frozen else ends_s
        self._held_by_upstream = dict(grant.credits_by_upstream)
        self._wanted_back_by_upstream = {}
        for upstream, held in previous.items():
            target = grant.credits_by_upstream.get(upstream, 0)
            if held > target:
                self._held_by_upstream[upstream] = held
                self._wanted_back_by_upstream[upstream] = target
        self.release_recalled_credits(now_s, in_use_by_upstream)
        return True
