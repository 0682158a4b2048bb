"""Check that docs/CAPACITY.md agrees with the measurements that it is computed from."""

import json

import pytest

from tools.capacity import (
    MEASUREMENTS,
    PAGE,
    TABLES,
    Measurements,
    fit_line,
    main,
    read_measurements,
    read_slopes,
    render_page,
)


class TestLine:
    def test_goes_through_exact_points(self):
        line = fit_line([(1, 12), (2, 14), (4, 18)])
        assert line.base == pytest.approx(10)
        assert line.at(10) == pytest.approx(30)

    def test_needs_three_sizes(self):
        with pytest.raises(ValueError, match="three sizes"):
            fit_line([(1, 1), (2, 2)])


class TestPage:
    def test_is_what_the_measurements_give(self, capsys):
        assert main(["--check"]) == 0, capsys.readouterr().out

    def test_is_found_different_when_a_measurement_changes(self):
        results = [json.loads(line) for line in MEASUREMENTS.read_text().splitlines()]
        for result in results:
            for metric in result["metrics"]:
                metric["value"] *= 2
        page = PAGE.read_text()
        slopes = read_slopes(Measurements(results))
        assert render_page(page, slopes) != page

    def test_has_a_place_for_every_table(self):
        slopes = read_slopes(read_measurements(MEASUREMENTS))
        with pytest.raises(ValueError, match="places for the table"):
            render_page("", slopes)
        assert len(TABLES) == 5
