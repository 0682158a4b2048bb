"""Quotas over several shards, split into grants that move by compare-and-swap.

One record for each organisation holds what every shard may reserve. A shard changes only its own
grant. It uses a larger grant only after the write is proven, and holds less before it writes a
smaller one, so that the sum of what all shards use never exceeds the quota.
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
WANT_LASTS_S = 12.0
MARK_LASTS_S = 300.0
GROWTH_FACTOR = 2


class GrantWant(msgspec.Struct, frozen=True):
    """A shard waits for more.

    Parameters
    ----------
    amount : Resources
        How much is lacking.
    since_unix_s : float
        Since when; the oldest want goes first.
    until_unix_s : float
        When it is void, unless the shard repeats it.
    """

    amount: Resources
    since_unix_s: float
    until_unix_s: float


class GrantRecord(msgspec.Struct, frozen=True):
    """Value of one organisation's key.

    Parameters
    ----------
    grants_by_shard : dict of str to Resources
        What each shard may reserve.
    wants_by_shard : dict of str to GrantWant
        Shards that wait for more.
    """

    grants_by_shard: dict[str, Resources] = {}
    wants_by_shard: dict[str, GrantWant] = {}

    def total(self) -> Resources:
        """Return the sum of all grants."""
        return sum_resources(self.grants_by_shard.values())


def quota_key(organisation: str) -> str:
    """Return the key of an organisation's record."""
    return f"{QUOTA_PREFIX}{organisation}"


def decode_grants(value: bytes) -> GrantRecord:
    """Return the record in a stored value."""
    return msgspec.json.decode(value, type=GrantRecord)


@dataclass(frozen=True, slots=True)
class GrantMove:
    """A change of the shard's own grant that is to be written.

    Parameters
    ----------
    organisation : str
        Whose quota.
    compare_revision : int
        Modification revision that the key must have, 0 for absent.
    record : GrantRecord
        The new record.
    value : bytes
        Its stored form.
    """

    organisation: str
    compare_revision: int
    record: GrantRecord
    value: bytes


@dataclass(slots=True)
class _Account:
    """What the shard knows of one organisation."""

    quota: Resources | None = None
    record: GrantRecord = field(default_factory=GrantRecord)
    revision: int = 0
    doubt: GrantMove | None = None
    is_copy_underway: bool = False
    wanted: Resources = NO_RESOURCES
    wanted_at_s: float = float("-inf")


class GrantBook:
    """The shard's view of all quotas.

    Parameters
    ----------
    shard : str
        The shard.
    """

    def __init__(self, shard: str) -> None:
        self.shard = shard
        self._accounts_by_organisation: dict[str, _Account] = {}

    def organisations(self) -> Iterable[str]:
        """Return the organisations that have a quota."""
        accounts = self._accounts_by_organisation.items()
        return [name for name, account in accounts if account.quota is not None]

    def declare(self, quotas_by_organisation: Mapping[str, Resources | None]) -> None:
        """Take the declared quotas; an organisation that is missing has none."""
        for name, account in self._accounts_by_organisation.items():
            account.quota = quotas_by_organisation.get(name)
        for name, quota in quotas_by_organisation.items():
            self._account(name).quota = quota

    def want(self, organisation: str, wanted: Resources, now_s: float) -> None:
        """Note that work waits for so much more."""
        account = self._account(organisation)
        account.wanted = wanted
        account.wanted_at_s = now_s

    def read(self, organisation: str, value: bytes, revision: int) -> None:
        """Take a record as read from the store; an older one than known is ignored."""
        account = self._account(organisation)
        if revision < account.revision:
            return
        account.record = decode_grants(value) if value else GrantRecord()
        account.revision = revision
        if account.doubt is not None and account.doubt.compare_revision != revision:
            account.doubt = None
            account.is_copy_underway = False

    def usable(self, organisation: str, now_unix_s: float) -> Resources | None:
        """Return the bound on new starts, None without a quota.

        Notes
        -----
        A smaller grant whose write is in doubt counts as written: it may take effect later. The
        bound is less than the grant while the shard has to give some of it up: running work may
        then hold more, and what ends is not replaced.
        """
        account = self._account(organisation)
        if account.quota is None:
            return None
        view = _View(self.shard, account.record, account.quota, now_unix_s)
        if account.doubt is None:
            return view.bound()
        doubted = account.doubt.record.grants_by_shard.get(self.shard, NO_RESOURCES)
        return _each(min, view.bound(), doubted)

    def is_over_quota(self, organisation: str) -> bool:
        """Return whether more is granted than a lowered quota allows."""
        account = self._account(organisation)
        return account.quota is not None and not account.record.total().fits_in(account.quota)

    def plan(
        self, organisation: str, used: Resources, now_s: float, now_unix_s: float
    ) -> GrantMove | None:
        """Return the change that the shard should make now, None for none.

        Parameters
        ----------
        organisation : str
            Whose quota.
        used : Resources
            What its tasks reserve in this shard now.
        now_s, now_unix_s : float
            Monotonic time and wall clock.

        Notes
        -----
        A move in doubt is returned again unchanged: both copies compare the same revision, so
        that one of them at most takes effect.
        """
        account = self._account(organisation)
        if account.quota is None:
            return None
        if account.doubt is not None:
            return account.doubt
        plan = _Plan(self.shard, account, account.quota, used, now_s, now_unix_s)
        record = plan.shrunk() or plan.grown() or plan.without_own_want()
        if record is None or record == account.record:
            return None
        return GrantMove(organisation, account.revision, record, msgspec.json.encode(record))

    def begin(self, move: GrantMove) -> None:
        """A move is about to be written: from now on its outcome is in doubt."""
        self._account(move.organisation).doubt = move

    def settled(self, move: GrantMove, revision: int) -> None:
        """The move is written."""
        account = self._account(move.organisation)
        account.doubt = None
        account.is_copy_underway = False
        if revision >= account.revision:
            account.record, account.revision = move.record, revision

    def doubted(self, move: GrantMove) -> None:
        """The answer was lost: a copy of the move may take effect later."""
        self._account(move.organisation).is_copy_underway = True

    def not_sent(self, move: GrantMove) -> None:
        """This copy of the move certainly has no effect."""
        account = self._account(move.organisation)
        if not account.is_copy_underway:
            account.doubt = None

    def _account(self, organisation: str) -> _Account:
        return self._accounts_by_organisation.setdefault(organisation, _Account())


class _View:
    """One organisation's record as one shard sees it.

    Parameters
    ----------
    shard : str
        The shard.
    record : GrantRecord
        What all shards hold and wait for.
    quota : Resources
        In force now.
    now_unix_s : float
        Wall clock, by which wants become void.
    """

    def __init__(
        self, shard: str, record: GrantRecord, quota: Resources, now_unix_s: float
    ) -> None:
        self.shard = shard
        self.quota = quota
        self.total = record.total()
        self.grants_by_shard = record.grants_by_shard
        self.own = record.grants_by_shard.get(shard, NO_RESOURCES)
        self.own_want = record.wants_by_shard.get(shard)
        self.other_wants = {
            name: want
            for name, want in record.wants_by_shard.items()
            if name != shard and want.until_unix_s > now_unix_s
        }
        self._sharer_count = len({shard, *record.grants_by_shard, *self.other_wants})

    def free(self) -> Resources:
        """Return what no shard holds."""
        return _minus(self.quota, self.total)

    def short(self) -> Resources:
        """Return what other shards wait for beyond what is free."""
        asked = sum_resources(want.amount for want in self.other_wants.values())
        return _minus(asked, self.free())

    def fair(self) -> Resources:
        """Return an equal part for every shard that holds or waits for something."""
        return _scaled(self.quota, 1, self._sharer_count)

    def bound(self) -> Resources:
        """Return how much of the own grant new starts may use."""
        bound = self.own
        if self.other_wants:
            bound = _each(min, bound, _each(max, self.fair(), _minus(self.own, self.short())))
        if not self.total.fits_in(self.quota):
            bound = _each(min, bound, _scaled_each(self.own, self.quota, self.total))
        return bound

    def reserved_for_older(self, now_unix_s: float) -> Resources:
        """Return what is free for shards that have waited longer, up to their equal parts."""
        since_s = self.own_want.since_unix_s if self.own_want else now_unix_s
        reserved = NO_RESOURCES
        for name, want in self.other_wants.items():
            if (want.since_unix_s, name) < (since_s, self.shard):
                room = _minus(self.fair(), self.grants_by_shard.get(name, NO_RESOURCES))
                reserved = reserved + _each(min, want.amount, room)
        return reserved


class _Plan:
    """Works out one change of the shard's own grant."""

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
        self._view = _View(shard, account.record, quota, now_unix_s)
        self._used = used
        self._wanted = account.wanted
        self._is_waiting = now_s < account.wanted_at_s + WANT_LASTS_S
        self._now_unix_s = now_unix_s

    def shrunk(self) -> GrantRecord | None:
        """Give back what is idle, if the quota was lowered or another shard waits."""
        view = self._view
        kept = self._used
        if self._is_waiting:
            kept = _each(max, kept, _each(min, self._used + self._wanted, view.fair()))
        asked = _each(min, _minus(view.own, kept), view.short())
        excess = _minus(view.own, _each(max, self._used, view.bound()))
        if view.total.fits_in(view.quota):
            excess = NO_RESOURCES
        idle = _each(max, asked, excess)
        if idle == NO_RESOURCES:
            return None
        return self._with(_minus(view.own, idle), view.own_want if self._is_waiting else None)

    def grown(self) -> GrantRecord | None:
        """Take what work waits for, as far as it is free and nobody waits longer for it.

        Notes
        -----
        While others wait too, nobody grows beyond an equal part: what is left goes to those that
        have less. A gang that needs more than that waits until the others have what they want.
        """
        if not self._is_waiting:
            return None
        view = self._view
        lacking = _minus(self._used + self._wanted, view.own)
        growth = lacking * GROWTH_FACTOR
        if view.other_wants:
            growth = _each(min, lacking, _minus(view.fair(), view.own))
        room = _minus(view.free(), view.reserved_for_older(self._now_unix_s))
        gained = _each(min, growth, room)
        return self._with(view.own + gained, self._want_for(lacking, gained))

    def without_own_want(self) -> GrantRecord | None:
        """Take back a want that nothing waits for any more."""
        if self._is_waiting or self._view.own_want is None:
            return None
        return self._with(self._view.own, None)

    def _want_for(self, lacking: Resources, gained: Resources) -> GrantWant | None:
        """Return the want that stays; who gained something goes behind the others."""
        still_lacking = _minus(lacking, gained)
        if still_lacking == NO_RESOURCES:
            return None
        old = self._view.own_want
        if old is not None and gained == NO_RESOURCES:
            is_fresh = old.until_unix_s > self._now_unix_s + MARK_LASTS_S / 2
            if is_fresh and still_lacking.fits_in(old.amount):
                return old
        is_new = old is None or gained != NO_RESOURCES
        since_s = self._now_unix_s if old is None or is_new else old.since_unix_s
        return GrantWant(still_lacking, since_s, self._now_unix_s + MARK_LASTS_S)

    def _with(self, grant: Resources, want: GrantWant | None) -> GrantRecord:
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


def _minus(left: Resources, right: Resources) -> Resources:
    """Return what `left` has more than `right`, zero where it has less."""
    return _each(lambda first, second: max(0, first - second), left, right)


def _each(combine: Callable[[int, int], int], left: Resources, right: Resources) -> Resources:
    """Combine two amounts dimension by dimension."""
    left_by_kind, right_by_kind = left.accelerators_by_kind, right.accelerators_by_kind
    return make_resources(
        combine(left.millicores, right.millicores),
        combine(left.memory_mib, right.memory_mib),
        {
            kind: combine(left_by_kind.get(kind, 0), right_by_kind.get(kind, 0))
            for kind in left_by_kind.keys() | right_by_kind.keys()
        },
    )


def _scaled(amount: Resources, numerator: int, denominator: int) -> Resources:
    """Return a fraction of an amount, rounded down."""
    return _each(lambda value, _: value * numerator // denominator, amount, NO_RESOURCES)


def _scaled_each(amount: Resources, numerator: Resources, denominator: Resources) -> Resources:
    """Return `amount` times a fraction of its own in each dimension, rounded down."""
    scaled = _each(lambda first, second: first * second, amount, numerator)
    return _each(lambda first, second: first // second if second else 0, scaled, denominator)
