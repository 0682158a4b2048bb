"""One upstream as an entry knows it."""

from dataclasses import dataclass

__all__ = ["UpstreamRow"]


@dataclass(slots=True)
class UpstreamRow:
    """A row of the table of upstreams.

    Parameters
    ----------
    name, address, service, failure_domain : str
        As listed.
    slots : int
        Concurrent requests that it takes from all entries together.
    credits : int
        Of its slots, those that this entry may use.
    in_flight : int
        Requests of this entry that it works on.
    slowness : float
        Learnt service time, relative to what the same requests take on average.
    samples : int
        Answers that `slowness` was learnt from.
    is_leaving : bool
        Takes nothing new, by the list.
    blocked_until_s : float
        Takes nothing new before, after its own word that it leaves, a refused connection or an
        ejection.
    is_ejected : bool
        Whether `blocked_until_s` comes from an ejection.
    returned_at_s : float
        When it came back; the start of its slow start.
    failures : int
        Failures since its last answer.
    ejections : int
        Ejections since it last stayed healthy.
    position : int
        Its place in its pool, by speed.
    usable : int
        Requests of this entry that it may have, as of the pool's last refresh.
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
        """Return how many requests of this entry it may have now."""
        if self.is_leaving or now_s < self.blocked_until_s:
            return 0
        since_s = now_s - self.returned_at_s
        if since_s >= slow_start_s or not self.credits:
            return self.credits
        return max(1, int(self.credits * since_s / slow_start_s))

    def block(self, until_s: float) -> None:
        """Give it nothing new before a time; it then comes back by slow start."""
        if until_s > self.blocked_until_s:
            self.blocked_until_s = until_s
            self.returned_at_s = until_s
