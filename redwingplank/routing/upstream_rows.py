"""State of one upstream as known to an entry."""

from dataclasses import dataclass

__all__ = ["UpstreamRow"]


@dataclass(slots=True)
class UpstreamRow:
    """Row of the table of upstreams.

    Parameters
    ----------
    name, address, service, failure_domain : str
        Values from the platform's list.
    slots : int
        Number of concurrent requests that it accepts from all entries together.
    credits : int
        Number of its slots that this entry may use.
    in_flight : int
        Number of this entry's requests that it is working on.
    slowness : float
        Learnt ratio of its service times to the average service time of the same requests.
    samples : int
        Number of answers that `slowness` was learnt from.
    is_leaving : bool
        Whether the platform's list says that it accepts no new requests, or no longer contains it.
    blocked_until_s : float
        Time in seconds before which it gets no new requests, because it announced that it is
        leaving, a connection to it failed, or it was ejected.
    is_ejected : bool
        Whether it was ejected and has not answered since the ejection ended.
    returned_at_s : float
        Time in seconds at which it returned and its slow start began.
    failures : int
        Number of consecutive failures since its last answer or ejection.
    ejections : int
        Number of ejections since it last stayed healthy for `RouterSettings.max_eject_s`.
    position : int
        Position in its pool, ordered by speed with the fastest at 0.
    usable : int
        Number of this entry's requests that it may have, as of the pool's last refresh.
    """

    name: str
    address: str
    service: str
    failure_domain: str
    slots: int
    credits: int
    in_flight: int = 0
    slowness: float = 1.0
    samples: int = 0
    is_leaving: bool = False
    blocked_until_s: float = 0.0
    is_ejected: bool = False
    returned_at_s: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    position: int = 0
    usable: int = 0

    def limit(self, now_s: float, slow_start_s: float) -> int:
        """Return how many requests of this entry the upstream may have now."""
        if self.is_leaving or now_s < self.blocked_until_s:
            return 0
        since_s = now_s - self.returned_at_s
        if since_s >= slow_start_s or not self.credits:
            return self.credits
        return max(1, int(self.credits * since_s / slow_start_s))

    def block(self, until_s: float) -> None:
        """Give the upstream no new requests until a time; it then returns by slow start."""
        if until_s > self.blocked_until_s:
            self.blocked_until_s = until_s
            self.returned_at_s = until_s
