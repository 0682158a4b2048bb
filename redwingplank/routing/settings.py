"""Settings of the router."""

from dataclasses import dataclass

from redwingplank.core import InvalidValueError

__all__ = ["RouterSettings"]


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of admission, routing and retries in one entry.

    Parameters
    ----------
    entry, failure_domain : str
        Name of this entry and the failure domain that it belongs to.
    policy : str
        Policy that chooses upstreams: ``expected_finish``, or a baseline for comparison:
        ``round_robin``, ``random``, ``least_in_flight``.
    uses_credits : bool
        Whether upstream slots are shared with other entries by credits; if so, an upstream without
        credits is not used.
    seed : int
        Seed of the random choices.
    max_waiting : int
        Maximum number of requests that wait in this entry for one upstream service.
    lead_s : float
        Seconds of service time by which an organisation may be ahead of its share before its
        requests are served one class later.
    default_service_time_s : float
        Service time in seconds that is assumed until one was measured.
    retry_ratio, retry_burst : float
        Retries allowed per first attempt, and maximum number of retries in a burst.
    hedge_percentile : float
        Fraction between 0 and 1; a hedge is sent after this percentile of the learnt service times.
    eject_failures : int
        Number of consecutive failures after which an upstream is ejected.
    eject_s, max_eject_s : float
        Duration in seconds of the first ejection, and of the longest.
    max_ejected_fraction : float
        Maximum fraction of the upstreams of a service in the domain that may be ejected at the same
        time; the others stay in use even if they keep failing.
    slow_start_s : float
        Seconds over which an upstream that returns is given its slots again, in proportion to time.
    unavailable_s : float
        Seconds for which an upstream gets no new requests after a connection to it failed.
    leaving_s : float
        Seconds for which an upstream's announcement that it is leaving overrides the platform's
        list.
    peer_fresh_s : float
        Age in seconds beyond which the load report of a peer is no longer used.
    """

    entry: str = "entry-1"
    failure_domain: str = ""
    policy: str = "expected_finish"
    uses_credits: bool = False
    seed: int = 0
    max_waiting: int = 512
    lead_s: float = 2.0
    default_service_time_s: float = 0.2
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    hedge_percentile: float = 0.95
    eject_failures: int = 5
    eject_s: float = 1.0
    max_eject_s: float = 30.0
    max_ejected_fraction: float = 0.5
    slow_start_s: float = 5.0
    unavailable_s: float = 0.5
    leaving_s: float = 120.0
    peer_fresh_s: float = 1.0

    def __post_init__(self) -> None:
        if self.max_waiting < 1:
            raise InvalidValueError("max_waiting is below 1: allow at least one to wait")
        if not 0 <= self.max_ejected_fraction < 1:
            raise InvalidValueError("max_ejected_fraction must be at least 0 and below 1")
        if not 0 < self.hedge_percentile < 1:
            raise InvalidValueError("hedge_percentile must lie between 0 and 1")
