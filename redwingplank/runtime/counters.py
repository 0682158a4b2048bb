"""Counters of one process, for statsd and for benchmarks."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ProcessCounters"]

STORE_PREFIX = "store."


@dataclass(slots=True)
class ProcessCounters:
    """Counts by name; a name ends in its unit unless it counts events.

    Parameters
    ----------
    counts_by_name : Counter
        Totals since the start, such as ``"store.transact"`` or ``"journal.bytes"``.
    """

    counts_by_name: Counter[str] = field(default_factory=Counter)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counts_by_name[name] += count

    def store_calls(self) -> int:
        """Return all calls to the key-value store so far."""
        counts = self.counts_by_name.items()
        return sum(count for name, count in counts if name.startswith(STORE_PREFIX))

    def read(self) -> Mapping[str, float]:
        """Return all totals, a source for `MetricsReporter`."""
        return dict(self.counts_by_name)
