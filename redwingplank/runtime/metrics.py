"""Sends gauges and counters of a process to a statsd server."""

import asyncio
import resource
import time
from collections.abc import Callable, Mapping

import statsd

__all__ = ["MetricsReporter", "process_gauges"]

REPORT_EVERY_S = 10.0
MAX_PACKET_BYTES = 1400

Source = Callable[[], Mapping[str, float]]


def process_gauges() -> Mapping[str, float]:
    """Return what this process has cost: processor seconds and largest memory in MiB."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {"process.cpu_s": time.process_time(), "process.peak_mib": usage.ru_maxrss / 1024}


class MetricsReporter:
    """Reads all sources at intervals and sends what they give in few packets.

    Parameters
    ----------
    address : str
        ``"IP:PORT"`` of the statsd server; empty sends nothing.
    prefix : str
        Goes before each name, such as ``"redwing.entry.e1"``.
    sources : mapping of str to callable
        Each returns gauges by name; the key goes before their names.
    """

    def __init__(self, address: str, prefix: str, sources: Mapping[str, Source]) -> None:
        self._sources = dict(sources)
        self._client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix, MAX_PACKET_BYTES)

    def read(self) -> dict[str, float]:
        """Return all gauges by their full names."""
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
        """Send at intervals until cancelled."""
        while True:
            await asyncio.sleep(REPORT_EVERY_S)
            self.send()
