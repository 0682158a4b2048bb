"""Load of the other entries, used to choose one to forward a request to."""

from collections.abc import Iterable

import numpy as np

from redwingplank.routing.messages import PeerLoad

__all__ = ["PeerTable"]


class PeerTable:
    """Latest load reports of the other entries.

    Parameters
    ----------
    fresh_s : float
        Age in seconds beyond which a load report is no longer used.
    generator : numpy.random.Generator
        Source of random numbers.
    """

    def __init__(self, fresh_s: float, generator: np.random.Generator) -> None:
        self._fresh_s = fresh_s
        self._generator = generator
        self._loads_by_entry: dict[str, PeerLoad] = {}
        self._reported_at_s_by_entry: dict[str, float] = {}
        self._forwarded_by_entry: dict[str, int] = {}

    def update_loads(self, now_s: float, peers: Iterable[PeerLoad]) -> None:
        """Replace the load reports of some entries by newer ones."""
        for peer in peers:
            self._loads_by_entry[peer.entry] = peer
            self._reported_at_s_by_entry[peer.entry] = now_s
            self._forwarded_by_entry[peer.entry] = 0

    def choose_peer(
        self, now_s: float, upstream_service: str, *, is_own_domain: bool
    ) -> str | None:
        """Return an entry to forward a request to, or None.

        Notes
        -----
        The entry is drawn from those with idle credits and no waiting requests, with a chance
        proportional to its idle credits. Requests that were forwarded to an entry since its last
        report count against its idle credits, so that a burst does not follow one stale report.
        """
        spare_by_entry = {
            entry: load.idle_by_service.get(upstream_service, 0) - self._forwarded_by_entry[entry]
            for entry, load in self._loads_by_entry.items()
            if load.is_own_domain == is_own_domain
            and not load.waiting
            and now_s - self._reported_at_s_by_entry[entry] <= self._fresh_s
        }
        entries = [entry for entry, spare in spare_by_entry.items() if spare > 0]
        if not entries:
            return None
        threshold = self._generator.random() * sum(spare_by_entry[entry] for entry in entries)
        for entry in entries:
            threshold -= spare_by_entry[entry]
            if threshold <= 0:
                break
        self._forwarded_by_entry[entry] += 1
        return entry
