"""Event counters of one process, read by the statsd reporter and by benchmarks."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ProcessCounters"]

STORE_PREFIX = "store."


@dataclass(slots=True)
class ProcessCounters:
    """Counters by name; a name ends in its unit unless it counts events.

    Parameters
    ----------
    counts_by_name : Counter
        Totals since the process started, under names such as ``"store.transact"`` or
        ``"journal.bytes"``.
    """

    counts_by_name: Counter[str] = field(default_factory=Counter)

    def increment(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""
        self.counts_by_name[name] += count

    def store_calls(self) -> int:
        """Return the number of calls to the key-value store so far."""
        counts = self.counts_by_name.items()
        return sum(count for name, count in counts if name.startswith(STORE_PREFIX))

    def read(self) -> Mapping[str, float]:
        """Return all totals; suitable as a source of `MetricsReporter`."""
        return dict(self.counts_by_name)
