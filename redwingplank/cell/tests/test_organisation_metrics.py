"""Gauges by organisation."""

from collections import Counter

from prometheus_client import CollectorRegistry

from redwingplank.batch.model import Amounts
from redwingplank.batch.organisations import BatchUsage
from redwingplank.cell.organisation_metrics import MAX_SERIES, REST, OrganisationMetrics


class TestOrganisationMetrics:
    # Failure: the number of series grows with the number of organisations, or their sum is wrong.
    def test_organisations_beyond_the_limit_are_summed(self):
        registry = CollectorRegistry()
        metrics = OrganisationMetrics(registry)
        usages = [BatchUsage(f"o{n:03}", used=[n, 1, 0], quota=Amounts(10)) for n in range(120)]
        for _ in range(2):
            metrics.update(usages, Counter({"o000": 3, "o119": 4}), {"o001": 0.25, "o119": 0.5})
        name = "redwing_organisation_used_millicores"
        used = next(family for family in registry.collect() if family.name == name)
        values = {sample.labels["organisation"]: sample.value for sample in used.samples}
        assert len(values) == MAX_SERIES
        assert values["o119"] == 119
        assert values[REST] == sum(range(71))
        labels = {"organisation": REST}
        assert registry.get_sample_value("redwing_organisation_waiting_jobs", labels) == 3
        assert registry.get_sample_value("redwing_organisation_quota_millicores", labels) == 710
        assert registry.get_sample_value("redwing_organisation_share", labels) == 0.25
        assert registry.get_sample_value("redwing_organisation_weight", labels) == 71 * 100
