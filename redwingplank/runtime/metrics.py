"""Sends the gauges and counters of a process to a statsd server."""

import asyncio
import resource
import time
from collections.abc import Callable, Mapping

import statsd

__all__ = ["MetricsReporter", "process_gauges"]

REPORT_INTERVAL_S = 10.0
MAX_PACKET_BYTES = 1400

Source = Callable[[], Mapping[str, float]]


def process_gauges() -> Mapping[str, float]:
    """Return the CPU time of this process in seconds and its peak resident memory in MiB."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {"process.cpu_s": time.process_time(), "process.peak_mib": usage.ru_maxrss / 1024}


class MetricsReporter:
    """Reads all sources periodically and sends their gauges in few packets.

    Parameters
    ----------
    address : str
        ``"IP:PORT"`` of the statsd server; if empty, nothing is sent.
    prefix : str
        Prefix of every name, such as ``"redwing.entry.e1"``.
    sources : mapping of str to callable
        Callables that return gauges by name; the key becomes a prefix of these names.
    """

    def __init__(self, address: str, prefix: str, sources: Mapping[str, Source]) -> None:
        self._sources = dict(sources)
        self._client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix, MAX_PACKET_BYTES)

    def read(self) -> dict[str, float]:
        """Return all gauges by name, without the common prefix."""
        gauges = dict(process_gauges())
        for name, source in self._sources.items():
            gauges.update({f"{name}.{key}": value for key, value in source().items()})
        return gauges

    def send(self) -> None:
        """Send all gauges once."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, value in self.read().items():
                pipeline.gauge(name, value)

    async def run(self) -> None:
        """Send all gauges every `REPORT_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.send()
