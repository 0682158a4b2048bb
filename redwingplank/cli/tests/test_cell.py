"""Tests of the command line of `redwing-node`."""

import msgspec

from redwingplank.cli.cell import EXIT_BAD_SETTINGS, EXIT_OK, main
from redwingplank.platform.site.tests.test_formats import SETTINGS


class TestCheckSettings:
    def test_valid_settings_start_nothing(self, tmp_path, capsys):
        path = tmp_path / "settings.json"
        path.write_bytes(msgspec.json.encode(SETTINGS))
        assert main(["--check-settings", "--settings", str(path)]) == EXIT_OK
        assert "valid" in capsys.readouterr().out

    def test_every_fault_is_printed(self, tmp_path, capsys):
        path = tmp_path / "settings.json"
        path.write_bytes(msgspec.json.encode({**SETTINGS, "ip": 7, "zone": 7}))
        assert main(["--check-settings", "--settings", str(path)]) == EXIT_BAD_SETTINGS
        printed = capsys.readouterr().err
        assert " ip: " in printed
        assert " zone: " in printed
