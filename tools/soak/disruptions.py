"""When which nodes and workers were disturbed, and who was in touch at a moment."""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

__all__ = ["CONTACT_S", "Disruption", "Disruptions"]

CONTACT_S = 3.0
"""A node is in touch once it has been undisturbed for this long; `contact_ms` of the rules."""


@dataclass(slots=True)
class Disruption:
    """A disruption of a node or a worker, from `from_s` to `until_s` seconds."""

    name: str
    what: str
    from_s: float
    until_s: float = float("inf")

    def __str__(self) -> str:
        return f"{self.name} {self.what} {self.from_s:.3f}-{self.until_s:.3f}"

    def meets(self, from_s: float, until_s: float) -> bool:
        """Return whether the disruption overlaps a period."""
        return self.from_s <= until_s and self.until_s >= from_s


class Disruptions:
    """All disruptions of a run, by the name of the node or worker that they concern."""

    def __init__(self) -> None:
        self.all: list[Disruption] = []

    @contextlib.contextmanager
    def during(self, names: Iterable[str], what: str, now_s: Callable[[], float]) -> Iterator[None]:
        """Record a disruption that lasts as long as the block."""
        begun = [Disruption(name, what, now_s()) for name in names]
        self.all.extend(begun)
        try:
            yield
        finally:
            for each in begun:
                each.until_s = now_s()

    def is_in_touch(self, name: str, at_s: float) -> bool:
        """Return whether a node was undisturbed from `CONTACT_S` before a moment on."""
        return not any(
            each.name == name and each.meets(at_s - CONTACT_S, at_s) for each in self.all
        )

    def has_calm(self, names: frozenset[str], from_s: float, until_s: float, long_s: float) -> bool:
        """Return whether a period contains `long_s` seconds in which all of `names` are in touch.

        Parameters
        ----------
        names : frozenset of str
            The nodes and workers that have to be in touch.
        from_s, until_s : float
            The period, in seconds.
        long_s : float
            Length of the calm in seconds.
        """
        concerned = [each for each in self.all if each.name in names]
        begins_s = [from_s, *(each.until_s + CONTACT_S for each in concerned)]
        return any(
            from_s <= begin_s
            and begin_s + long_s <= until_s
            and not any(each.meets(begin_s - CONTACT_S, begin_s + long_s) for each in concerned)
            for begin_s in (each + 1e-6 for each in begins_s)
        )
