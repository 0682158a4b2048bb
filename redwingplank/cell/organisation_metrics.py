"""Gauges of the organisations that share a cell."""

from collections import Counter
from collections.abc import Iterable, Mapping

from prometheus_client import CollectorRegistry, Gauge

from redwingplank.batch.organisations import BatchUsage

__all__ = ["OrganisationMetrics"]

MAX_SERIES = 50
"""Largest number of series of one gauge."""
REST = "(rest)"
"""Label of the series that sums the organisations without a series of their own."""
_RESOURCES = ("millicores", "memory_mib", "gpus")


class OrganisationMetrics:
    """Usage, quota, weight, share and waiting jobs by organisation.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the node's metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._used = [
            Gauge(
                f"redwing_organisation_used_{resource}",
                "Amount that is charged to an organisation",
                ["organisation"],
                registry=registry,
            )
            for resource in _RESOURCES
        ]
        self._quotas = [
            Gauge(
                f"redwing_organisation_quota_{resource}",
                "Quota of an organisation, 0 without limit",
                ["organisation"],
                registry=registry,
            )
            for resource in _RESOURCES
        ]
        self._weight = Gauge(
            "redwing_organisation_weight",
            "Weight of an organisation",
            ["organisation"],
            registry=registry,
        )
        self._share = Gauge(
            "redwing_organisation_share",
            "Fraction of the capacity that an organisation uses of the resource it uses most of",
            ["organisation"],
            registry=registry,
        )
        self._waiting = Gauge(
            "redwing_organisation_waiting_jobs",
            "Jobs of an organisation that were not started yet",
            ["organisation"],
            registry=registry,
        )

    def update(
        self,
        usages: Iterable[BatchUsage],
        waiting: Counter[str],
        share_by_name: Mapping[str, float],
    ) -> None:
        """Replace all values; the organisations that use or wait most get their own series."""
        ordered = sorted(
            usages, key=lambda usage: (-usage.used[0], -waiting[usage.name], usage.name)
        )
        own_count = MAX_SERIES if len(ordered) <= MAX_SERIES else MAX_SERIES - 1
        for gauge in (*self._used, *self._quotas, self._weight, self._share, self._waiting):
            gauge.clear()
        for number, usage in enumerate(ordered):
            label = usage.name if number < own_count else REST
            for gauge, amount in zip(self._used, usage.used, strict=True):
                gauge.labels(label).inc(amount)
            for gauge, amount in zip(self._quotas, usage.quota, strict=True):
                gauge.labels(label).inc(amount)
            self._weight.labels(label).inc(usage.weight)
            self._share.labels(label).inc(share_by_name.get(usage.name, 0.0))
            self._waiting.labels(label).inc(waiting[usage.name])
