import asyncio
import os
import re
import signal
import subprocess
import sys

import pytest

from redwingplank.cli.entry import connections_per_upstream
from redwingplank.cli.program import EXIT_CUT_OFF, EXIT_OK, Program, read_settings, run_program
from redwingplank.cli.scheduler import choose_successor
from redwingplank.cli.settings import (
    EntrySettings,
    SchedulerProgramSettings,
    StandinSettings,
)
from redwingplank.core.settings import load_settings

PROGRAM_TIMEOUT_S = 120
PROGRAMS = [
    ("redwing-entry", EntrySettings),
    ("redwing-scheduler", SchedulerProgramSettings),
    ("redwing-standin", StandinSettings),
]


class TestReadSettings:
    @pytest.mark.parametrize(("program", "settings_class"), PROGRAMS)
    def test_help_shows_variable_unit_and_default_of_each_flag(
        self, program, settings_class, capsys, monkeypatch
    ):
        monkeypatch.setenv("COLUMNS", "250")
        with pytest.raises(SystemExit) as caught:
            read_settings(program, settings_class, "", ["--help"])
        assert caught.value.code in (0, None)
        shown = re.sub(r"[\s│]+", " ", capsys.readouterr().out)
        for name in settings_class.__dataclass_fields__:
            assert f"--{name.replace('_', '-')} " in shown
            assert f"[env var: REDWING_{name.upper()}]" in shown

    def test_names_all_faults_of_flags_and_variables_and_exits_with_2(self, capsys, monkeypatch):
        monkeypatch.setenv("REDWING_FAILURE_DOMAINS", "north")
        monkeypatch.setenv("REDWING_PORT", "http")
        arguments = ["--check-settings", "--host=localhost", "--seed=-1", "--colour=red"]
        with pytest.raises(SystemExit) as caught:
            read_settings("redwing-standin", StandinSettings, "", arguments)
        assert caught.value.code == 2
        lines = capsys.readouterr().err.splitlines()
        assert len(lines) == 4
        for place in ("environment REDWING_PORT", "flag --host", "flag --seed", "flag --colour"):
            assert any(place in line for line in lines), place

    def test_good_settings_pass_the_check(self, capsys):
        with pytest.raises(SystemExit) as caught:
            read_settings(
                "redwing-standin",
                StandinSettings,
                "",
                ["--check-settings", "--failure-domains=north"],
            )
        assert caught.value.code == 0
        assert "all settings are valid" in capsys.readouterr().out


class _Sleeper(Program):
    """Sends itself SIGTERM once or twice; with two signals, its drain never ends by itself."""

    def __init__(self, signals: int) -> None:
        self.signals = signals
        self.events: list[str] = []
        self.may_drain = asyncio.Event()

    async def start(self) -> None:
        self.events.append("started")
        os.kill(os.getpid(), signal.SIGTERM)

    async def drain(self) -> None:
        self.events.append("draining")
        if self.signals == 1:
            self.may_drain.set()
        else:
            os.kill(os.getpid(), signal.SIGTERM)
        await self.may_drain.wait()
        self.events.append("drained")

    def describe_in_flight(self) -> str:
        return "1 request"


class TestRunProgram:
    @pytest.mark.parametrize(
        ("signals", "code", "last"), [(1, EXIT_OK, "drained"), (2, EXIT_CUT_OFF, "draining")]
    )
    def test_first_signal_drains_and_second_one_cuts(self, signals, code, last, capsys):
        programs: list[_Sleeper] = []

        def make_program() -> Program:
            programs.append(_Sleeper(signals))
            return programs[0]

        assert run_program(make_program, "WARNING") == code
        assert programs[0].events[-1] == last
        assert ("event=cut_off" in capsys.readouterr().err) == (code == EXIT_CUT_OFF)


class TestChooseSuccessor:
    @pytest.mark.parametrize(
        ("candidates", "live", "successor"),
        [
            (["a", "b"], {"b"}, "b"),
            (["a", "b"], {"a", "b"}, "a"),
            (["a", "b"], {"c"}, "a"),
            ([], {"c"}, ""),
        ],
    )
    def test_prefers_the_first_that_lives(self, candidates, live, successor):
        assert choose_successor(candidates, live) == successor


class TestShareConnections:
    def test_entries_of_a_domain_share_an_upstreams_connections(self):
        texts = {
            "name": "e1",
            "failure_domain": "north",
            "failure_domains": "north,south",
            "rpc_address": "127.0.0.1:1",
            "http_address": "127.0.0.1:2",
            "store_url": "http://127.0.0.1:3",
            "vms_url": "http://127.0.0.1:3",
            "entries": "north/e1=127.0.0.1:1,north/e2=127.0.0.1:4,south/e3=127.0.0.1:5",
        }
        assert connections_per_upstream(load_settings(EntrySettings, texts, ())) == 32


class TestDevProgram:
    def test_sample_gets_every_answer_right_and_exits_with_0(self):
        command = [sys.executable, "-m", "redwingplank.cli.dev", "--once", "--port=19500"]
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=PROGRAM_TIMEOUT_S, check=False
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert "24 of 24 tasks succeeded" in completed.stdout
        assert "Traceback" not in completed.stderr
