from dataclasses import dataclass

import pytest

from redwingplank.core import FindingsError
from redwingplank.core.settings import (
    load_settings,
    make_settings_app,
    parse_address,
    parse_address_by_name,
    parse_integer,
    parse_seconds,
    setting,
)


@dataclass(frozen=True, kw_only=True)
class Example:
    address: str = setting(parse_address, "Where.", unit="IP:PORT")
    count: int = setting(parse_integer(1, 9), "How many.", default="3")
    wait_s: float = setting(parse_seconds(0, 5), "How long.", unit="seconds", default="1")


class TestLoadSettings:
    def test_collects_every_fault_with_its_place(self):
        texts = {"address": "nowhere", "count": "10", "wait_s": None}
        with pytest.raises(FindingsError) as caught:
            load_settings(Example, texts, ["--count=10"], unknown=["--colour"])
        shown = [str(finding) for finding in caught.value.findings]
        assert len(shown) == 3
        assert any("environment REDWING_ADDRESS" in line for line in shown)
        assert any("flag --count: cannot be '10'; give a whole number" in line for line in shown)
        assert any("flag --colour: is not known" in line for line in shown)

    def test_names_flag_and_variable_of_a_missing_setting(self):
        with pytest.raises(FindingsError, match="give --address or REDWING_ADDRESS"):
            load_settings(Example, {}, [])

    def test_fills_defaults(self):
        loaded = load_settings(Example, {"address": "127.0.0.1:80"}, [])
        assert loaded == Example(address="127.0.0.1:80", count=3, wait_s=1.0)

    def test_rejects_not_a_number_seconds(self):
        with pytest.raises(FindingsError, match="REDWING_WAIT_S"):
            load_settings(Example, {"address": "127.0.0.1:80", "wait_s": "nan"}, [])


class TestMakeSettingsApp:
    def test_reads_flags_before_variables(self, monkeypatch):
        monkeypatch.setenv("REDWING_COUNT", "5")
        monkeypatch.setenv("REDWING_WAIT_S", "2")
        app = make_settings_app("example", "1", Example, "")
        command, bound, _, _ = app.parse_known_args(["--count", "7"])
        texts = command(**bound.kwargs)
        assert texts["count"] == "7"
        assert texts["wait_s"] == "2"
        assert texts.get("address") is None


class TestParseAddressByName:
    def test_refuses_a_name_given_twice(self):
        with pytest.raises(ValueError, match="each name once"):
            parse_address_by_name("a=127.0.0.1:1,a=127.0.0.1:2")
