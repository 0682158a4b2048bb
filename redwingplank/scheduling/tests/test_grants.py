import numpy as np
import pytest

from redwingplank.core import NO_RESOURCES, Resources, make_resources, sum_resources
from redwingplank.scheduling.grants import GrantBook, GrantRecord, decode_grants

QUOTA = make_resources(10_000, 10_000, {"gpu": 4})
ORGANISATION = "bureau"


def cores(count):
    return make_resources(count * 1000, count * 1000)


class FakeKey:
    """One key of a store with compare-and-swap."""

    def __init__(self):
        self.value, self.revision = b"", 0

    def swap(self, move):
        if move.compare_revision != self.revision:
            return False
        self.value, self.revision = move.value, self.revision + 1
        return True


def make_book(shard, key, quota=QUOTA):
    book = GrantBook(shard)
    book.declare({ORGANISATION: quota})
    book.update_record(ORGANISATION, key.value, key.revision)
    return book


def step(book, key, used=NO_RESOURCES, now_s=0.0):
    """Plan and write the next move, and return whether there was one."""
    book.update_record(ORGANISATION, key.value, key.revision)
    move = book.plan(ORGANISATION, used, now_s, 1000.0 + now_s)
    if move is None:
        return False
    book.begin(move)
    assert key.swap(move)
    book.record_written(move, key.revision)
    return True


class TestGrantBook:
    def test_gives_nothing_before_it_is_written_and_no_more_than_the_quota(self):
        key = FakeKey()
        first, second = make_book("a", key), make_book("b", key)
        first.record_demand(ORGANISATION, cores(4), 0.0)
        move = first.plan(ORGANISATION, NO_RESOURCES, 0.0, 1000.0)
        first.begin(move)
        assert first.usable(ORGANISATION, 1000.0) == NO_RESOURCES
        key.swap(move)
        first.record_written(move, key.revision)
        assert first.usable(ORGANISATION, 1000.0) == cores(8)
        second.record_demand(ORGANISATION, cores(4), 0.0)
        assert step(second, key)
        assert second.usable(ORGANISATION, 1000.0) == cores(2)

    def test_idle_grants_go_to_the_shard_that_waits(self):
        key = FakeKey()
        first, second = make_book("a", key), make_book("b", key)
        first.record_demand(ORGANISATION, cores(5), 0.0)
        step(first, key)
        second.record_demand(ORGANISATION, cores(6), 20.0)
        step(second, key, now_s=20.0)
        assert step(first, key, used=cores(3), now_s=20.0)
        assert step(second, key, now_s=20.0)
        assert second.usable(ORGANISATION, 1000.0) == cores(6)
        assert first.usable(ORGANISATION, 1000.0) == cores(4)

    def test_a_shard_lowers_its_own_use_before_it_writes_a_smaller_grant(self):
        key = FakeKey()
        first = make_book("a", key)
        first.record_demand(ORGANISATION, cores(5), 0.0)
        step(first, key)
        first.declare({ORGANISATION: cores(6)})
        move = first.plan(ORGANISATION, cores(2), 20.0, 1020.0)
        first.begin(move)
        assert first.usable(ORGANISATION, 1000.0) == cores(6)
        assert key.revision == 1

    def test_a_lowered_quota_takes_effect_as_work_ends(self):
        key = FakeKey()
        first = make_book("a", key)
        first.record_demand(ORGANISATION, cores(5), 0.0)
        step(first, key)
        first.declare({ORGANISATION: cores(3)})
        assert first.is_over_quota(ORGANISATION)
        for used in (8, 7, 4, 1):
            step(first, key, used=cores(used), now_s=20.0)
            assert first.usable(ORGANISATION, 1000.0) == cores(3)
            assert decode_grants(key.value).total() == cores(max(used, 3))
        assert not first.is_over_quota(ORGANISATION)

    def test_an_unproven_smaller_grant_counts_until_its_copy_is_dead(self):
        key = FakeKey()
        first, second = make_book("a", key), make_book("b", key)
        first.record_demand(ORGANISATION, cores(5), 0.0)
        step(first, key)
        second.record_demand(ORGANISATION, cores(4), 20.0)
        step(second, key, now_s=20.0)
        first.update_record(ORGANISATION, key.value, key.revision)
        late = first.plan(ORGANISATION, NO_RESOURCES, 20.0, 1020.0)
        first.begin(late)
        first.record_answer_lost(late)
        first.update_record(ORGANISATION, key.value, key.revision)
        assert first.usable(ORGANISATION, 1000.0) == cores(6)
        first.record_demand(ORGANISATION, cores(9), 21.0)
        assert first.plan(ORGANISATION, cores(6), 21.0, 1021.0) is late
        first.record_not_sent(late)
        assert first.usable(ORGANISATION, 1000.0) == cores(6)
        assert key.swap(late)
        first.update_record(ORGANISATION, key.value, key.revision)
        assert first.plan(ORGANISATION, cores(6), 21.0, 1021.0) is not late

    def test_without_a_quota_there_is_no_bound(self):
        book = GrantBook("a")
        book.declare({ORGANISATION: None})
        book.record_demand(ORGANISATION, cores(1), 0.0)
        assert book.usable(ORGANISATION, 1000.0) is None
        assert book.plan(ORGANISATION, cores(5), 0.0, 0.0) is None

    def test_shards_that_wait_get_equal_parts(self):
        key = FakeKey()
        names = ("c", "a", "b")
        books = {name: make_book(name, key) for name in names}
        books["c"].record_demand(ORGANISATION, cores(10), 0.0)
        step(books["c"], key)
        for number, name in enumerate(("b", "a"), start=1):
            books[name].record_demand(ORGANISATION, cores(10), float(number))
            step(books[name], key, now_s=float(number))
        for _ in range(5):
            for name in names:
                step(books[name], key, now_s=13.0 - (name == "b"))
        usable = {name: book.usable(ORGANISATION, 1000.0) for name, book in books.items()}
        assert usable == {"a": cores(5), "b": cores(5), "c": NO_RESOURCES}

    def test_a_busy_shard_gives_way_down_to_its_equal_part(self):
        key = FakeKey()
        first, second = make_book("a", key), make_book("b", key)
        first.record_demand(ORGANISATION, cores(10), 0.0)
        step(first, key)
        second.record_demand(ORGANISATION, cores(9), 1.0)
        step(second, key, now_s=1.0)
        for used in (10, 8, 6, 5, 5):
            first.record_demand(ORGANISATION, cores(9), 2.0)
            step(first, key, used=cores(used), now_s=2.0)
            assert first.usable(ORGANISATION, 1000.0) == cores(5)
            step(second, key, used=cores(10 - used), now_s=2.0)
        assert second.usable(ORGANISATION, 1000.0) == cores(5)


class _RacingShard:
    """A shard whose writes are not sent, are lost, lose their answer or take effect late."""

    def __init__(self, name, key, generator):
        self.book = make_book(name, key)
        self.key = key
        self.generator = generator
        self.used = NO_RESOURCES
        self.wanted = NO_RESOURCES
        self.late = []

    def bound(self):
        usable = self.book.usable(ORGANISATION, 1000.0)
        assert usable is not None
        return usable

    def act(self, now_s, quota):
        self._change_use(now_s)
        if self.generator.random() < 0.7:
            self.book.update_record(ORGANISATION, self.key.value, self.key.revision)
        move = self.book.plan(ORGANISATION, self.used, now_s, 1000.0 + now_s)
        if move is not None:
            self.book.begin(move)
            self._write(move)
        if self.late and self.generator.random() < 0.3:
            self.key.swap(self.late.pop(self.generator.integers(len(self.late))))

    def _change_use(self, now_s):
        if self.generator.random() < 0.3:
            self.used = cores(int(self.generator.integers(0, self.used.millicores // 1000 + 1)))
        available = (self.bound().millicores - self.used.millicores) // 1000
        if available > 0 and self.generator.random() < 0.6:
            self.used = cores(
                self.used.millicores // 1000 + int(self.generator.integers(1, available + 1))
            )
        if self.generator.random() < 0.3:
            self.book.record_demand(ORGANISATION, cores(int(self.generator.integers(1, 9))), now_s)

    def _write(self, move):
        outcome = self.generator.choice(["done", "not sent", "lost", "answer lost", "late"])
        if outcome == "not sent":
            self.book.record_not_sent(move)
        elif outcome == "done":
            if self.key.swap(move):
                self.book.record_written(move, self.key.revision)
            else:
                self.book.update_record(ORGANISATION, self.key.value, self.key.revision)
        else:
            if outcome == "answer lost":
                self.key.swap(move)
            elif outcome == "late":
                self.late.append(move)
            self.book.record_answer_lost(move)


class TestRaces:
    @pytest.mark.parametrize("seed", range(5))
    def test_fifteen_shards_never_use_more_than_the_quota(self, seed):
        generator = np.random.default_rng(seed)
        key, quota = FakeKey(), cores(40)
        shards = [_RacingShard(f"s{index:02}", key, generator) for index in range(15)]
        for shard in shards:
            shard.book.declare({ORGANISATION: quota})
        highest = 0
        served: set[str] = set()
        bounds_by_shard: dict[str, Resources] = {}
        for turn in range(4_000):
            shard = shards[generator.integers(15)]
            shard.act(turn * 0.05, quota)
            bounds_by_shard[shard.book.shard] = shard.bound()
            record = decode_grants(key.value) if key.value else GrantRecord()
            assert record.total().fits_in(quota), "the grants exceed the quota"
            assert sum_resources(bounds_by_shard.values()).fits_in(
                quota
            ), "what the shards may use exceeds the quota"
            assert sum_resources(shard.used for shard in shards).fits_in(quota)
            highest = max(highest, record.total().millicores)
            if shard.used != NO_RESOURCES:
                served.add(shard.book.shard)
        assert highest >= 36_000
        assert len(served) == 15
