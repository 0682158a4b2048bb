"""Learnt service times: the work of each declared service, the slowness of each upstream.

The work is the service time in seconds at an upstream of slowness 1, and the slowness of an
upstream is the factor by which its service times differ from that.
"""

from sortedcontainers import SortedList

from redwingplank.routing.pools import UpstreamPool
from redwingplank.routing.upstream_rows import UpstreamRow

__all__ = ["ServiceTimes", "SpeedModel"]

# Number of latest service times that percentiles are taken of.
WINDOW = 512
# Number of service times below which there is no percentile.
MIN_SAMPLES = 20
# Weight of a new sample in the moving averages; the first samples weigh more.
LEARNING_WEIGHT = 0.1
MIN_SLOWNESS = 0.02
MAX_SLOWNESS = 50.0
# Deviation of a pool's mean slowness from 1 up to which it is not normalised.
SCALE_TOLERANCE = 0.05
MIN_SERVICE_TIME_S = 1e-6


class ServiceTimes:
    """The latest service times of one declared service, sorted.

    Parameters
    ----------
    default_s : float
        Work in seconds that is assumed until a service time was measured.
    upstream_service : str
        Upstream service that runs its requests.

    Notes
    -----
    Adding a sample takes logarithmic time in the size of the window; a percentile is one look-up.
    """

    def __init__(self, default_s: float, upstream_service: str = "") -> None:
        self.work_s = default_s
        self.upstream_service = upstream_service
        self.samples = 0
        self._sorted_s = SortedList()
        self._samples_s: list[float] = []
        self._oldest_index = 0

    def add_sample(self, service_time_s: float) -> None:
        """Add one service time, which replaces the oldest when the window is full."""
        self._sorted_s.add(service_time_s)
        if len(self._samples_s) < WINDOW:
            self._samples_s.append(service_time_s)
            return
        self._sorted_s.remove(self._samples_s[self._oldest_index])
        self._samples_s[self._oldest_index] = service_time_s
        self._oldest_index = (self._oldest_index + 1) % WINDOW

    def percentile_s(self, fraction: float) -> float:
        """Return a percentile in seconds, or infinity with fewer than `MIN_SAMPLES` samples."""
        if len(self._samples_s) < MIN_SAMPLES:
            return float("inf")
        return self._sorted_s[min(len(self._sorted_s) - 1, int(fraction * len(self._sorted_s)))]


class SpeedModel:
    """Splits service times into the work of the service and the slowness of the upstream.

    Parameters
    ----------
    default_s : float
        Work in seconds that is assumed until a service time was measured.

    Notes
    -----
    Upstreams are compared by slowness, so that an upstream that was given long requests does not
    appear slow. Only the product of work and slowness can be observed, therefore `normalise` keeps
    the mean slowness of a pool near 1.
    """

    def __init__(self, default_s: float) -> None:
        self._default_s = default_s
        self._times_by_service: dict[tuple[str, str], ServiceTimes] = {}
        self._mix_by_upstream_service: dict[str, ServiceTimes] = {}

    def times(self, organisation: str, service: str, upstream_service: str) -> ServiceTimes:
        """Return the learnt service times of a declared service."""
        key = (organisation, service)
        found = self._times_by_service.get(key)
        if found is None:
            found = ServiceTimes(self._default_s, upstream_service)
            self._times_by_service[key] = found
        return found

    def mix_work_s(self, upstream_service: str) -> float:
        """Return the average work in seconds of all requests to an upstream service."""
        found = self._mix_by_upstream_service.get(upstream_service)
        return found.work_s if found else self._default_s

    def is_measured(self, upstream_service: str) -> bool:
        """Return whether any answer of an upstream service was measured."""
        return upstream_service in self._mix_by_upstream_service

    def record_service_time(
        self, row: UpstreamRow, times: ServiceTimes, service_time_s: float
    ) -> None:
        """Update work and slowness from the service time of one answer."""
        observed_s = max(service_time_s, MIN_SERVICE_TIME_S)
        times.add_sample(observed_s)
        _update_work(times, observed_s / row.slowness)
        mix = self._mix_by_upstream_service.setdefault(row.service, ServiceTimes(self._default_s))
        _update_work(mix, observed_s / row.slowness)
        row.samples += 1
        weight = max(LEARNING_WEIGHT, 1.0 / (row.samples + 1))
        slowness = row.slowness + weight * (observed_s / times.work_s - row.slowness)
        row.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))

    def normalise(self, upstream_service: str, pool: UpstreamPool) -> None:
        """Scale the slowness of a pool to a mean of 1, and the work of its services inversely."""
        scale = sum(row.slowness for row in pool.rows) / max(1, len(pool.rows))
        if not pool.rows or abs(scale - 1.0) <= SCALE_TOLERANCE:
            return
        for row in pool.rows:
            row.slowness /= scale
        mix = self._mix_by_upstream_service.get(upstream_service)
        if mix is not None:
            mix.work_s *= scale
        for times in self._times_by_service.values():
            if times.upstream_service == upstream_service:
                times.work_s *= scale


def _update_work(times: ServiceTimes, work_s: float) -> None:
    times.samples += 1
    weight = max(LEARNING_WEIGHT, 1.0 / times.samples)
    times.work_s += weight * (work_s - times.work_s)
