"""Organisation quotas, divided among shards into grants that change by compare-and-swap.

One record for each organisation has the amount that every shard may reserve. A shard changes only
its own grant. It uses a larger grant only after the write is confirmed, and limits new starts to a
smaller one before it writes it, so that what all shards may use never exceeds the quota.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from redwingplank.core import NO_RESOURCES, Resources, make_resources, sum_resources

__all__ = [
    "QUOTA_PREFIX",
    "GrantBook",
    "GrantMove",
    "GrantRecord",
    "GrantWant",
    "decode_grants",
    "quota_key",
]

QUOTA_PREFIX = "quotas/"
DEMAND_VALIDITY_S = 12.0
"""Time after which demand that this shard has not repeated is ignored."""
WANT_VALIDITY_S = 300.0
"""Time after which a stored want that its shard has not renewed is ignored."""
GROWTH_FACTOR = 2
"""A grant grows by this multiple of what is lacking while no other shard waits."""


class GrantWant(msgspec.Struct, frozen=True):
    """Resources that a shard waits for beyond its grant.

    Parameters
    ----------
    amount : Resources
        Resources that are lacking.
    since_unix_s : float
        Unix time since which the shard waits; the oldest want is served first.
    until_unix_s : float
        Unix time at which the want expires unless the shard renews it.
    """

    amount: Resources
    since_unix_s: float
    until_unix_s: float


class GrantRecord(msgspec.Struct, frozen=True):
    """Stored value of one organisation's quota key.

    Parameters
    ----------
    grants_by_shard : dict of str to Resources
        Resources that each shard may reserve.
    wants_by_shard : dict of str to GrantWant
        Shards that wait for more.
    """

    grants_by_shard: dict[str, Resources] = {}
    wants_by_shard: dict[str, GrantWant] = {}

    def total(self) -> Resources:
        """Return the sum of all grants."""
        return sum_resources(self.grants_by_shard.values())


def quota_key(organisation: str) -> str:
    """Return the store key of an organisation's record."""
    return f"{QUOTA_PREFIX}{organisation}"


def decode_grants(value: bytes) -> GrantRecord:
    """Decode a record from its stored value."""
    return msgspec.json.decode(value, type=GrantRecord)


@dataclass(frozen=True, slots=True)
class GrantMove:
    """A planned write that changes the shard's own grant.

    Parameters
    ----------
    organisation : str
        Organisation whose quota is granted.
    compare_revision : int
        Modification revision that the key must have, 0 if it must be absent.
    record : GrantRecord
        New record.
    value : bytes
        New record in its stored form.
    """

    organisation: str
    compare_revision: int
    record: GrantRecord
    value: bytes


@dataclass(slots=True)
class _Account:
    """State of one organisation's quota as this shard knows it."""

    quota: Resources | None = None
    record: GrantRecord = field(default_factory=GrantRecord)
    revision: int = 0
    unconfirmed_move: GrantMove | None = None
    is_copy_in_flight: bool = False
    wanted: Resources = NO_RESOURCES
    wanted_at_s: float = float("-inf")


class GrantBook:
    """Quotas, grants and pending moves of one shard for all organisations.

    Parameters
    ----------
    shard : str
        Name of the shard.
    """

    def __init__(self, shard: str) -> None:
        self.shard = shard
        self._accounts_by_organisation: dict[str, _Account] = {}

    def organisations(self) -> Iterable[str]:
        """Return the organisations that have a quota."""
        accounts = self._accounts_by_organisation.items()
        return [name for name, account in accounts if account.quota is not None]

    def declare(self, quotas_by_organisation: Mapping[str, Resources | None]) -> None:
        """Set the declared quotas; an organisation that is missing has none."""
        for name, account in self._accounts_by_organisation.items():
            account.quota = quotas_by_organisation.get(name)
        for name, quota in quotas_by_organisation.items():
            self._account(name).quota = quota

    def record_demand(self, organisation: str, wanted: Resources, now_s: float) -> None:
        """Record that tasks wait for `wanted` beyond what is in use."""
        account = self._account(organisation)
        account.wanted = wanted
        account.wanted_at_s = now_s

    def update_record(self, organisation: str, value: bytes, revision: int) -> None:
        """Update a record as read from the store, unless a newer revision is already known."""
        account = self._account(organisation)
        if revision < account.revision:
            return
        account.record = decode_grants(value) if value else GrantRecord()
        account.revision = revision
        if (
            account.unconfirmed_move is not None
            and account.unconfirmed_move.compare_revision != revision
        ):
            account.unconfirmed_move = None
            account.is_copy_in_flight = False

    def usable(self, organisation: str, now_unix_s: float) -> Resources | None:
        """Return the amount up to which new tasks may reserve, None without a quota.

        Notes
        -----
        A smaller grant whose write is unconfirmed counts as written, because it may take effect
        later. The bound is less than the grant while the shard has to release a part of it:
        running tasks may then use more than the bound, and those that finish are not replaced.
        """
        account = self._account(organisation)
        if account.quota is None:
            return None
        view = _RecordView(self.shard, account.record, account.quota, now_unix_s)
        if account.unconfirmed_move is None:
            return view.bound()
        unconfirmed_grant = account.unconfirmed_move.record.grants_by_shard.get(
            self.shard, NO_RESOURCES
        )
        return _combine_each(min, view.bound(), unconfirmed_grant)

    def is_over_quota(self, organisation: str) -> bool:
        """Return whether the grants exceed the quota, such as after it was lowered."""
        account = self._account(organisation)
        return account.quota is not None and not account.record.total().fits_in(account.quota)

    def plan(
        self, organisation: str, used: Resources, now_s: float, now_unix_s: float
    ) -> GrantMove | None:
        """Return the move that the shard should write now, or None.

        Parameters
        ----------
        organisation : str
            Organisation whose quota is granted.
        used : Resources
            Resources that its tasks in this shard reserve now.
        now_s, now_unix_s : float
            Monotonic time and Unix time.

        Notes
        -----
        An unconfirmed move is returned again unchanged: all copies compare the same revision, so
        that at most one of them takes effect.
        """
        account = self._account(organisation)
        if account.quota is None:
            return None
        if account.unconfirmed_move is not None:
            return account.unconfirmed_move
        plan = _Plan(self.shard, account, account.quota, used, now_s, now_unix_s)
        record = plan.shrunk() or plan.grown() or plan.without_own_want()
        if record is None or record == account.record:
            return None
        return GrantMove(organisation, account.revision, record, msgspec.json.encode(record))

    def begin(self, move: GrantMove) -> None:
        """Record that a move is about to be written; its outcome is unconfirmed from now on."""
        self._account(move.organisation).unconfirmed_move = move

    def record_written(self, move: GrantMove, revision: int) -> None:
        """Record that a move was written."""
        account = self._account(move.organisation)
        account.unconfirmed_move = None
        account.is_copy_in_flight = False
        if revision >= account.revision:
            account.record, account.revision = move.record, revision

    def record_answer_lost(self, move: GrantMove) -> None:
        """Record that the answer to a write was lost; this copy may take effect later."""
        self._account(move.organisation).is_copy_in_flight = True

    def record_not_sent(self, move: GrantMove) -> None:
        """Record that this copy of a move certainly has no effect."""
        account = self._account(move.organisation)
        if not account.is_copy_in_flight:
            account.unconfirmed_move = None

    def _account(self, organisation: str) -> _Account:
        return self._accounts_by_organisation.setdefault(organisation, _Account())


class _RecordView:
    """Amounts that one shard derives from an organisation's record.

    Parameters
    ----------
    shard : str
        Name of the shard.
    record : GrantRecord
        Grants and wants of all shards.
    quota : Resources
        Quota in force.
    now_unix_s : float
        Current Unix time; wants that have expired by then are ignored.
    """

    def __init__(
        self, shard: str, record: GrantRecord, quota: Resources, now_unix_s: float
    ) -> None:
        self.shard = shard
        self.quota = quota
        self.total = record.total()
        self.grants_by_shard = record.grants_by_shard
        self.own_grant = record.grants_by_shard.get(shard, NO_RESOURCES)
        self.own_want = record.wants_by_shard.get(shard)
        self.other_wants = {
            name: want
            for name, want in record.wants_by_shard.items()
            if name != shard and want.until_unix_s > now_unix_s
        }
        self._sharer_count = len({shard, *record.grants_by_shard, *self.other_wants})

    def free(self) -> Resources:
        """Return the part of the quota that is granted to no shard."""
        return _subtract(self.quota, self.total)

    def shortfall(self) -> Resources:
        """Return the amount that other shards want beyond what is free."""
        asked = sum_resources(want.amount for want in self.other_wants.values())
        return _subtract(asked, self.free())

    def equal_share(self) -> Resources:
        """Return the quota divided by the number of shards that have a grant or a want."""
        return _scale(self.quota, 1, self._sharer_count)

    def bound(self) -> Resources:
        """Return how much of the own grant may be in use for new tasks to start.

        It is lowered while other shards wait, but not below an equal share, and in proportion
        while the grants exceed the quota.
        """
        bound = self.own_grant
        if self.other_wants:
            bound = _combine_each(
                min,
                bound,
                _combine_each(max, self.equal_share(), _subtract(self.own_grant, self.shortfall())),
            )
        if not self.total.fits_in(self.quota):
            bound = _combine_each(
                min, bound, _scale_by_ratio(self.own_grant, self.quota, self.total)
            )
        return bound

    def reserved_for_older(self, now_unix_s: float) -> Resources:
        """Return the amount to leave for shards that have waited longer, up to equal shares."""
        since_s = self.own_want.since_unix_s if self.own_want else now_unix_s
        reserved = NO_RESOURCES
        for name, want in self.other_wants.items():
            if (want.since_unix_s, name) < (since_s, self.shard):
                available = _subtract(
                    self.equal_share(), self.grants_by_shard.get(name, NO_RESOURCES)
                )
                reserved = reserved + _combine_each(min, want.amount, available)
        return reserved


class _Plan:
    """Computes one change of the shard's own grant."""

    def __init__(
        self,
        shard: str,
        account: _Account,
        quota: Resources,
        used: Resources,
        now_s: float,
        now_unix_s: float,
    ) -> None:
        self._record = account.record
        self._view = _RecordView(shard, account.record, quota, now_unix_s)
        self._used = used
        self._wanted = account.wanted
        self._is_demand_current = now_s < account.wanted_at_s + DEMAND_VALIDITY_S
        self._now_unix_s = now_unix_s

    def shrunk(self) -> GrantRecord | None:
        """Return a record that releases idle resources if others wait or the quota was lowered."""
        view = self._view
        kept = self._used
        if self._is_demand_current:
            kept = _combine_each(
                max, kept, _combine_each(min, self._used + self._wanted, view.equal_share())
            )
        asked = _combine_each(min, _subtract(view.own_grant, kept), view.shortfall())
        excess = _subtract(view.own_grant, _combine_each(max, self._used, view.bound()))
        if view.total.fits_in(view.quota):
            excess = NO_RESOURCES
        idle = _combine_each(max, asked, excess)
        if idle == NO_RESOURCES:
            return None
        return self._make_record(
            _subtract(view.own_grant, idle), view.own_want if self._is_demand_current else None
        )

    def grown(self) -> GrantRecord | None:
        """Return a record that grants what tasks wait for, from what is free for this shard.

        Notes
        -----
        While other shards wait too, no grant grows beyond an equal share: the rest goes to shards
        that have less. A gang that needs more than an equal share waits until the other shards
        have what they want.
        """
        if not self._is_demand_current:
            return None
        view = self._view
        lacking = _subtract(self._used + self._wanted, view.own_grant)
        growth = lacking * GROWTH_FACTOR
        if view.other_wants:
            growth = _combine_each(min, lacking, _subtract(view.equal_share(), view.own_grant))
        available = _subtract(view.free(), view.reserved_for_older(self._now_unix_s))
        gained = _combine_each(min, growth, available)
        return self._make_record(view.own_grant + gained, self._want_for(lacking, gained))

    def without_own_want(self) -> GrantRecord | None:
        """Return a record without the own want if no task waits for it any more."""
        if self._is_demand_current or self._view.own_want is None:
            return None
        return self._make_record(self._view.own_grant, None)

    def _want_for(self, lacking: Resources, gained: Resources) -> GrantWant | None:
        """Return the remaining want; a shard that gained something waits behind the others."""
        still_lacking = _subtract(lacking, gained)
        if still_lacking == NO_RESOURCES:
            return None
        old = self._view.own_want
        if old is not None and gained == NO_RESOURCES:
            is_fresh = old.until_unix_s > self._now_unix_s + WANT_VALIDITY_S / 2
            if is_fresh and still_lacking.fits_in(old.amount):
                return old
        is_new = old is None or gained != NO_RESOURCES
        since_s = self._now_unix_s if old is None or is_new else old.since_unix_s
        return GrantWant(still_lacking, since_s, self._now_unix_s + WANT_VALIDITY_S)

    def _make_record(self, grant: Resources, want: GrantWant | None) -> GrantRecord:
        wants = dict(self._view.other_wants)
        if want is not None:
            wants[self._view.shard] = want
        return _with_grant(self._record, self._view.shard, grant, wants)


def _with_grant(
    record: GrantRecord, shard: str, grant: Resources, wants: dict[str, GrantWant]
) -> GrantRecord:
    grants = {name: amount for name, amount in record.grants_by_shard.items() if name != shard}
    if grant != NO_RESOURCES:
        grants[shard] = grant
    return GrantRecord(grants, wants)


def _subtract(left: Resources, right: Resources) -> Resources:
    """Return `left` minus `right`, at least zero in each dimension."""
    return _combine_each(lambda first, second: max(0, first - second), left, right)


def _combine_each(
    combine: Callable[[int, int], int], left: Resources, right: Resources
) -> Resources:
    """Apply `combine` to two amounts in each dimension."""
    left_by_kind, right_by_kind = left.accelerators_by_kind, right.accelerators_by_kind
    return make_resources(
        combine(left.millicores, right.millicores),
        combine(left.memory_mib, right.memory_mib),
        {
            kind: combine(left_by_kind.get(kind, 0), right_by_kind.get(kind, 0))
            for kind in left_by_kind.keys() | right_by_kind.keys()
        },
    )


def _scale(amount: Resources, numerator: int, denominator: int) -> Resources:
    """Return a fraction of an amount, rounded down."""
    return _combine_each(lambda value, _: value * numerator // denominator, amount, NO_RESOURCES)


def _scale_by_ratio(amount: Resources, numerator: Resources, denominator: Resources) -> Resources:
    """Return `amount` times the ratio of its dimension in each dimension, rounded down."""
    scaled = _combine_each(lambda first, second: first * second, amount, numerator)
    return _combine_each(
        lambda first, second: first // second if second else 0, scaled, denominator
    )
