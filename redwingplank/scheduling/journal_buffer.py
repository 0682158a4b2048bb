"""Journal records that are not yet durable, and the actions that wait for them."""

from collections import deque
from collections.abc import Callable

from redwingplank.scheduling.messages import JournalEntry, JournalRecord

__all__ = ["PendingRecords"]


class PendingRecords:
    """Numbers journal records, and runs actions once the records before them are durable.

    Parameters
    ----------
    last_sequence : int
        Highest sequence number that is already durable.
    """

    def __init__(self, last_sequence: int) -> None:
        self.last_sequence = last_sequence
        self.committed_sequence = last_sequence
        self._unsent: list[JournalRecord] = []
        self._waiting_actions: deque[tuple[int, Callable[[float], None]]] = deque()

    def append(self, entry: JournalEntry) -> int:
        """Add a record to those of the current tick and return its sequence number."""
        self.last_sequence += 1
        self._unsent.append(JournalRecord(self.last_sequence, entry))
        return self.last_sequence

    def when_durable(self, action: Callable[[float], None], now_s: float) -> None:
        """Call `action` with the time as soon as all records appended so far are durable."""
        if self.is_all_durable:
            action(now_s)
        else:
            self._waiting_actions.append((self.last_sequence, action))

    @property
    def is_all_durable(self) -> bool:
        """Whether all appended records are durable."""
        return self.committed_sequence >= self.last_sequence

    def commit(self, sequence: int, now_s: float) -> None:
        """Record that all records through `sequence` are durable, and run the actions due."""
        if sequence <= self.committed_sequence:
            return
        self.committed_sequence = min(sequence, self.last_sequence)
        while self._waiting_actions and self._waiting_actions[0][0] <= self.committed_sequence:
            self._waiting_actions.popleft()[1](now_s)

    def pop_unsent(self) -> tuple[JournalRecord, ...]:
        """Return and clear the records that were appended in the current tick."""
        records = tuple(self._unsent)
        self._unsent.clear()
        return records
