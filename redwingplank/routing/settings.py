"""Settings of the router."""

from dataclasses import dataclass

from redwingplank.core import InvalidValueError

__all__ = ["RouterSettings"]


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """How an entry admits, routes and retries.

    Parameters
    ----------
    entry, failure_domain : str
        This process's name and place.
    policy : str
        ``expected_finish``, or a baseline: ``round_robin``, ``random``, ``least_in_flight``.
    uses_credits : bool
        Whether slots are shared with other entries; without credits an upstream is not used.
    seed : int
        Of the random choices.
    max_waiting : int
        Requests that may wait in this entry.
    lead_s : float
        Upstream time by which an organisation may run ahead of its share before its requests
        go one class later.
    default_service_time_s : float
        Expected service time before anything was measured.
    retry_ratio, retry_burst : float
        Retries allowed for each first attempt, and at once.
    hedge_percentile : float
        Of the learnt service times; a hedge is sent after it.
    eject_failures : int
        Failures in a row that eject an upstream.
    eject_s, max_eject_s : float
        Seconds of the first ejection, and of the longest.
    max_ejected_fraction : float
        Of the upstreams of a service in the domain; the others stay however they fail.
    slow_start_s : float
        Seconds over which an upstream that returns comes back to all its slots.
    unavailable_s : float
        Seconds without new requests after an upstream refused a connection.
    leaving_s : float
        Seconds for which an upstream's own word that it leaves holds against the list.
    peer_fresh_s : float
        Age at which a peer's load is no longer used.
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
