"""The open connections of an HTTP server, and what has to give way when there are too many."""

from abc import ABC, abstractmethod

from redwingplank.platform.http.limits import HttpLimits, OnRefusal, Refusal

__all__ = ["ConnectionTable", "ServerConnection"]


class ServerConnection(ABC):
    """A connection of a client, as far as its server has to know it."""

    @abstractmethod
    def end(self) -> None:
        """Close the connection without an answer."""


class ConnectionTable:
    """Counts the connections of a server and their unprocessed input.

    Parameters
    ----------
    limits : HttpLimits
        Limits of the server.
    on_refusal : callable
        Called with the reason for which a client is refused.
    """

    def __init__(self, limits: HttpLimits, on_refusal: OnRefusal) -> None:
        self._limits = limits
        self.on_refusal = on_refusal
        self._bytes_by_connection: dict[ServerConnection, int] = {}
        """Unprocessed input of each open connection in bytes."""
        self._total_bytes = 0
        self._idle: dict[ServerConnection, None] = {}
        """Connections without a request, the one that has been idle for longest first."""

    def add(self, connection: ServerConnection) -> bool:
        """Add a connection that is idle; return False if there is no place for it."""
        if len(self._bytes_by_connection) >= self._limits.connections:
            if not self._idle:
                self.on_refusal(Refusal.PLACE)
                return False
            self._end(next(iter(self._idle)), Refusal.IDLE)
        self._bytes_by_connection[connection] = 0
        self._idle[connection] = None
        return True

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended; one that is not known is ignored."""
        self._idle.pop(connection, None)
        self._total_bytes -= self._bytes_by_connection.pop(connection, 0)

    def mark_busy(self, connection: ServerConnection) -> None:
        """Record that a connection has a whole head of a request that is not answered yet."""
        self._idle.pop(connection, None)

    def mark_idle(self, connection: ServerConnection) -> None:
        """Record that the last request of a connection has been answered."""
        if connection in self._bytes_by_connection:
            self._idle[connection] = None

    def set_buffered(self, connection: ServerConnection, size: int) -> None:
        """Record the unprocessed input of a connection; too much of all ends the largest."""
        if connection not in self._bytes_by_connection:
            return
        self._total_bytes += size - self._bytes_by_connection[connection]
        self._bytes_by_connection[connection] = size
        if self._total_bytes > self._limits.buffered_bytes:
            sizes = self._bytes_by_connection
            self._end(max(sizes, key=lambda each: sizes[each]), Refusal.INPUT)

    def _end(self, connection: ServerConnection, reason: Refusal) -> None:
        self.on_refusal(reason)
        self.remove(connection)
        connection.end()
