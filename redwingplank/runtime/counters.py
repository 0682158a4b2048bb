"""Counters of one process, for statsd and for benchmarks."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["ProcessCounters", "StatsdClient"]


class StatsdClient(Protocol):
    """The part of ``statsd.StatsClient`` that is used."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""


@dataclass(slots=True)
class ProcessCounters:
    """Counts by name; a name ends in its unit unless it counts events.

    Parameters
    ----------
    counts_by_name : Counter
        Totals since the start, such as ``"store.transact"`` or ``"journal.bytes"``.
    """

    counts_by_name: Counter[str] = field(default_factory=Counter)
    _sent_by_name: Counter[str] = field(default_factory=Counter)

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counts_by_name[name] += count

    def store_calls(self) -> int:
        """Return all calls to the key-value store so far."""
        counts = self.counts_by_name.items()
        return sum(count for name, count in counts if name.startswith("store."))

    def send(self, client: StatsdClient) -> None:
        """Send what was counted since the last call."""
        for name, count in self.counts_by_name.items():
            increase = count - self._sent_by_name[name]
            if increase:
                client.incr(name, increase)
                self._sent_by_name[name] = count
