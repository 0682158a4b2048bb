"""Records that wait to become durable, and what happens once they are."""

from collections import deque
from collections.abc import Callable

from redwingplank.scheduling.messages import JournalEntry, JournalRecord

__all__ = ["JournalBuffer"]


class JournalBuffer:
    """Numbers records and runs their consequences in order of commitment.

    Parameters
    ----------
    last_sequence : int
        Highest sequence that is durable already.
    """

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence
        self.committed_sequence = last_sequence
        self._unsent: list[JournalRecord] = []
        self._waiting: deque[tuple[int, Callable[[float], None]]] = deque()

    def append(self, entry: JournalEntry) -> int:
        """Add a record to this tick's and return its sequence."""
        self.last_sequence += 1
        self._unsent.append(JournalRecord(self.last_sequence, entry))
        return self.last_sequence

    def when_durable(self, action: Callable[[float], None], now_s: float) -> None:
        """Run `action` with the time once every record so far is durable."""
        if self.is_all_durable:
            action(now_s)
        else:
            self._waiting.append((self.last_sequence, action))

    @property
    def is_all_durable(self) -> bool:
        """Whether nothing waits for a commitment."""
        return self.committed_sequence >= self.last_sequence

    def commit(self, sequence: int, now_s: float) -> None:
        """Take a cumulative commitment and run what waited for it."""
        if sequence <= self.committed_sequence:
            return
        self.committed_sequence = min(sequence, self.last_sequence)
        while self._waiting and self._waiting[0][0] <= self.committed_sequence:
            self._waiting.popleft()[1](now_s)

    def take_unsent(self) -> tuple[JournalRecord, ...]:
        """Return the records of this tick."""
        records = tuple(self._unsent)
        self._unsent.clear()
        return records
