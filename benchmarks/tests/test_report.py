"""Tests of the report of the three measures."""

from benchmarks.measures import ControlCost, Measures, Packing, Waiting
from benchmarks.report import write_report
from redwingplank.config import DeadlineClass, PlacementPolicyName


def make_measures(workload: str, policy: PlacementPolicyName, seed: int) -> Measures:
    waiting = Waiting(10, 1, 0, 0.5, float(seed), 0.6)
    return Measures(
        {DeadlineClass.URGENT: waiting},
        Packing(0.5, 0.4, 0.9, 0.6, 0.5, 0.2),
        ControlCost(100, 90.0, 0.01, 1.5, 20_000.0, 9.0),
    )


class TestReport:
    def test_writes_table_and_plots_with_commit_and_seeds(self, tmp_path):
        rows = write_report(tmp_path, make_measures, "abc123", seeds=(1, 3))
        page = (tmp_path / "policies.md").read_text()
        assert len(rows) == 2 * len(PlacementPolicyName)
        assert "Commit abc123, seeds 1, 3" in page
        for name in ("waiting", "packing", "control"):
            assert f"(policies-{name}.png)" in page
            assert (tmp_path / f"policies-{name}.png").stat().st_size > 1000

    def test_shows_the_mean_over_the_seeds(self, tmp_path):
        write_report(tmp_path, make_measures, "abc123", seeds=(1, 3))
        first_row = next(
            line for line in (tmp_path / "policies.md").read_text().splitlines() if "bureau" in line
        )
        assert [cell.strip() for cell in first_row.split("|")][3:6] == ["0.5", "2", "10"]
