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

    def usable(self, organisation: str) -> Resources | None:
        """Return what the shard may reserve, None without a quota.

        Notes
        -----
        A smaller grant whose write is in doubt counts as written: it may take effect later.
        """
        account = self._account(organisation)
        if account.quota is None:
            return None
        grant = account.record.grants_by_shard.get(self.shard, NO_RESOURCES)
        if account.doubt is None:
            return grant
        doubted = account.doubt.record.grants_by_shard.get(self.shard, NO_RESOURCES)
        return _each(min, grant, doubted)

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
        self._shard = shard
        self._record = account.record
        self._used = used
        self._wanted = account.wanted
        self._is_waiting = now_s < account.wanted_at_s + WANT_LASTS_S
        self._now_unix_s = now_unix_s
        self._own = account.record.grants_by_shard.get(shard, NO_RESOURCES)
        self._free = _minus(quota, account.record.total())
        self._excess = _minus(account.record.total(), quota)
        self._own_want = account.record.wants_by_shard.get(shard)
        self._other_wants = {
            name: want
            for name, want in account.record.wants_by_shard.items()
            if name != shard and want.until_unix_s > now_unix_s
        }

    def shrunk(self) -> GrantRecord | None:
        """Give back what is idle, if the quota was lowered or another shard waits."""
        asked = sum_resources(want.amount for want in self._other_wants.values())
        short = _minus(asked, self._free)
        must_keep_wanted = self._is_waiting and not self._older_wants()
        kept = self._used + self._wanted if must_keep_wanted else self._used
        asked_idle = _each(min, _minus(self._own, kept), short)
        excess_idle = _each(min, _minus(self._own, self._used), self._excess)
        idle = _each(max, asked_idle, excess_idle)
        if idle == NO_RESOURCES:
            return None
        return self._with(_minus(self._own, idle), self._own_want if self._is_waiting else None)

    def grown(self) -> GrantRecord | None:
        """Take what work waits for, as far as it is free and nobody waits longer for it."""
        if not self._is_waiting:
            return None
        lacking = _minus(self._used + self._wanted, self._own)
        older = sum_resources(want.amount for want in self._older_wants().values())
        growth = lacking if self._other_wants else lacking * GROWTH_FACTOR
        gained = _each(min, growth, _minus(self._free, older))
        return self._with(self._own + gained, self._want_for(_minus(lacking, gained)))

    def without_own_want(self) -> GrantRecord | None:
        """Take back a want that nothing waits for any more."""
        if self._is_waiting or self._own_want is None:
            return None
        return self._with(self._own, None)

    def _older_wants(self) -> dict[str, GrantWant]:
        since_s = self._own_want.since_unix_s if self._own_want else self._now_unix_s
        own_rank = (since_s, self._shard)
        return {
            name: want
            for name, want in self._other_wants.items()
            if (want.since_unix_s, name) < own_rank
        }

    def _want_for(self, lacking: Resources) -> GrantWant | None:
        if lacking == NO_RESOURCES:
            return None
        old = self._own_want
        if old is not None:
            is_fresh = old.until_unix_s > self._now_unix_s + MARK_LASTS_S / 2
            if is_fresh and lacking.fits_in(old.amount):
                return old
        since_s = old.since_unix_s if old is not None else self._now_unix_s
        return GrantWant(lacking, since_s, self._now_unix_s + MARK_LASTS_S)

    def _with(self, grant: Resources, want: GrantWant | None) -> GrantRecord:
        wants = dict(self._other_wants)
        if want is not None:
            wants[self._shard] = want
        return _with_grant(self._record, self._shard, grant, wants)


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
