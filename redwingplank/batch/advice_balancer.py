"""Chooses the node that sends a call to the advice service.

The service answers the calls of each node one after the other.
"""

from collections.abc import Sequence

__all__ = ["AdviceBalancer"]

LONG_CALL_S = 0.2
"""Longer calls delay the others; calls for small, urgent steps take 0.04 s."""
FAILURE_BACKOFF_S = 1.0
"""A node that got no answer is not chosen for this long."""


class AdviceBalancer:
    """Distributes calls to the advice service over the nodes by the work that each has open.

    Parameters
    ----------
    long_call_s : float
        Longer calls are limited to half of the nodes, so that short calls do not wait for them.
    """

    def __init__(self, long_call_s: float = LONG_CALL_S) -> None:
        self._long_call_s = long_call_s
        self._work_s_by_node: dict[str, float] = {}
        self._long_calls_by_node: dict[str, int] = {}
        self._left_out_until_s: dict[str, float] = {}

    def choose(self, nodes: Sequence[str], work_s: float, now_s: float) -> str:
        """Return the node that is to send a call.

        Parameters
        ----------
        nodes : sequence of str
            Nodes that are alive, preferred ones first; not empty.
        work_s : float
            Time that the service works on the call.
        now_s : float
            Current time in seconds.
        """
        usable = [name for name in nodes if not self.is_backing_off(name, now_s)] or nodes[:1]
        if work_s > self._long_call_s:
            with_long_calls = [name for name in usable if self._long_calls_by_node.get(name, 0)]
            if len(with_long_calls) >= (len(usable) + 1) // 2:
                usable = with_long_calls
        return min(usable, key=lambda name: self._work_s_by_node.get(name, 0.0))

    def is_backing_off(self, node: str, now_s: float) -> bool:
        """Return whether a node failed recently and is not to be chosen yet."""
        return self._left_out_until_s.get(node, 0.0) > now_s

    def record_call_start(self, node: str, work_s: float) -> float:
        """Record a new call; return the expected time until its answer, waiting time included."""
        self._work_s_by_node[node] = self._work_s_by_node.get(node, 0.0) + work_s
        if work_s > self._long_call_s:
            self._long_calls_by_node[node] = self._long_calls_by_node.get(node, 0) + 1
        return self._work_s_by_node[node]

    def record_call_end(self, node: str, work_s: float) -> None:
        """Record the end of a call that was passed to `record_call_start`."""
        self._work_s_by_node[node] = max(0.0, self._work_s_by_node[node] - work_s)
        if work_s > self._long_call_s:
            self._long_calls_by_node[node] -= 1

    def record_failure(self, node: str, now_s: float) -> None:
        """Record that a node got no answer, so that it is not chosen for a while."""
        self._left_out_until_s[node] = now_s + FAILURE_BACKOFF_S
