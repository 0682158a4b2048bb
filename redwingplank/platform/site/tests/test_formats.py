"""Decoding of the platform's formats, including invalid input."""

import msgspec
import pytest

from redwingplank.batch.model import Amounts, TaskId
from redwingplank.core import FindingsError, InvalidValueError, UndecodableError
from redwingplank.platform.site.config import decode_config
from redwingplank.platform.site.jobs import decode_job
from redwingplank.platform.site.settings import read_site_settings
from redwingplank.platform.site.workers import decode_worker, format_task, parse_task

ENTRY = {
    "service": "render",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem_mb": 100, "gpu": 1},
    "labels": ["big", "r1-2"],
    "born": 1700000000000,
    "seq": 4,
}
SETTINGS = {
    "node_name": "n1",
    "zone": "a",
    "ip": "10.0.0.1",
    "listen": {"frontend": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "port_range": [7720, 7735],
    "platform": {"address": "10.0.0.9:1", "ttl_min_ms": 1000},
    "bounds": {"hold_max_ms": 6000, "unheard_of": 3},
    "something_new": True,
}


class TestWorkerEntries:
    def test_are_read_with_units(self):
        draining = {**ENTRY, "state": "draining", "remaining_ms": 1500}
        entry = decode_worker("servers/i-1", msgspec.json.encode(draining))
        assert entry.worker_id == "i-1"
        assert entry.capacity == Amounts(8000, 100, 1)
        assert (entry.kind, entry.rack) == ("big", "r1-2")
        assert entry.is_draining
        assert entry.remaining_s == 1.5

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"address": 7},
            {"address": "nowhere"},
            {"service": None},
            {"labels": "big"},
            {"capacity": {"cpu": "many"}},
            {"born": "yesterday"},
        ],
    )
    def test_that_name_no_worker_to_use_are_passed_over(self, change):
        assert decode_worker("servers/i-1", msgspec.json.encode({**ENTRY, **change})) is None

    @pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b'{"service":'])
    def test_that_cannot_be_read_are_passed_over(self, value):
        assert decode_worker("servers/i-1", value) is None


class TestTaskNames:
    def test_go_there_and_back(self):
        task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
        assert format_task(task) == "5c0e7a21d94b36f8.0.1.17"
        assert parse_task(format_task(task)) == task

    @pytest.mark.parametrize("name", ["", "a.b.c.d", "a.0.0", "a.0.0.-1"])
    def test_others_are_no_tasks(self, name):
        assert parse_task(name) is None


class TestConfig:
    def test_the_longest_prefix_names_the_queue(self):
        route = {"name": "a", "host": "H.example", "prefix": "/x/", "service": "s"}
        longer = {**route, "name": "b", "prefix": "/x/y/", "max_attempts": 0}
        config = decode_config(msgspec.json.encode({"version": 3, "routes": [route, longer]}))
        assert config.find_queue("h.example", "/x/y/1").name == "b"
        assert config.find_queue("h.example", "/x/1").name == "a"
        assert config.find_queue("other", "/x/1") is None
        assert config.queues_by_name["b"].max_attempts == 1

    def test_of_another_type_is_an_error(self):
        with pytest.raises(UndecodableError):
            decode_config(b'{"version":"three"}')


class TestJobs:
    def test_all_faults_are_told_together(self):
        body = {"spec": "", "steps": [{"count": 0}, {"after": [1]}]}
        with pytest.raises(InvalidValueError) as caught:
            decode_job(msgspec.json.encode(body), "id", "q", 0.0)
        assert "steps[0].count" in str(caught.value)
        assert "steps[1].after" in str(caught.value)

    def test_a_step_on_spare_processors_reserves_none(self):
        body = {"steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "utilization": True}]}
        spec = decode_job(msgspec.json.encode(body), "id", "q", 0.0)
        assert spec.steps[0].reserved == Amounts(0, 64, 0)


class TestSettings:
    def test_unknown_fields_are_ignored_and_units_are_seconds(self, tmp_path):
        path = tmp_path / "settings.json"
        path.write_bytes(msgspec.json.encode(SETTINGS))
        settings = read_site_settings(str(path))
        assert settings.lease_limit_s == 6.0
        assert settings.peer_address == "10.0.0.1:7720"
        assert settings.advice_address == ""
        assert settings.revocation_limit_s is None

    def test_removed_keys_have_a_limit_only_where_it_is_strict(self, tmp_path):
        """Guards against requests refused with 503 at cells that set no limit."""
        path = tmp_path / "settings.json"
        for is_strict, limit_s in ((True, 4.0), (False, None)):
            bounds = {"strict_revoke": is_strict, "revoke_ms": 4000}
            path.write_bytes(msgspec.json.encode({**SETTINGS, "bounds": bounds}))
            assert read_site_settings(str(path)).revocation_limit_s == limit_s

    def test_all_faults_are_told_with_their_field(self, tmp_path):
        path = tmp_path / "settings.json"
        broken = {**SETTINGS, "ip": 7, "listen": {"frontend": "x"}}
        del broken["zone"]
        path.write_bytes(msgspec.json.encode(broken))
        with pytest.raises(FindingsError) as caught:
            read_site_settings(str(path))
        fields = {finding.place.field for finding in caught.value.findings}
        assert fields == {"ip", "listen", "zone"}
