"""The load of the other entries, for handing requests on."""

from collections.abc import Iterable

import numpy as np

from redwingplank.routing.messages import PeerLoad

__all__ = ["PeerTable"]


class PeerTable:
    """What other entries said of their load.

    Parameters
    ----------
    fresh_s : float
        Age in seconds at which a word is no longer used.
    generator : numpy.random.Generator
        The source of randomness.
    """

    def __init__(self, fresh_s: float, generator: np.random.Generator) -> None:
        self._fresh_s = fresh_s
        self._generator = generator
        self._loads_by_entry: dict[str, PeerLoad] = {}
        self._heard_at_by_entry: dict[str, float] = {}
        self._handed_on_by_entry: dict[str, int] = {}

    def update_loads(self, now_s: float, peers: Iterable[PeerLoad]) -> None:
        """Take newer words of some entries."""
        for peer in peers:
            self._loads_by_entry[peer.entry] = peer
            self._heard_at_by_entry[peer.entry] = now_s
            self._handed_on_by_entry[peer.entry] = 0

    def choose_peer(
        self, now_s: float, upstream_service: str, *, is_own_domain: bool
    ) -> str | None:
        """Return an entry with idle credits, at random by how many it has, or None.

        Notes
        -----
        What was handed on since an entry's last word is subtracted, so that a burst does not
        follow one stale word.
        """
        spare_by_entry = {
            entry: load.idle_by_service.get(upstream_service, 0) - self._handed_on_by_entry[entry]
            for entry, load in self._loads_by_entry.items()
            if load.is_own_domain == is_own_domain
            and not load.waiting
            and now_s - self._heard_at_by_entry[entry] <= self._fresh_s
        }
        entries = [entry for entry, spare in spare_by_entry.items() if spare > 0]
        if not entries:
            return None
        drawn = self._generator.random() * sum(spare_by_entry[entry] for entry in entries)
        for entry in entries:
            drawn -= spare_by_entry[entry]
            if drawn <= 0:
                break
        self._handed_on_by_entry[entry] += 1
        return entry
