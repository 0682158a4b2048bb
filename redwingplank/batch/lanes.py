"""Chooses the node through which the advice service is asked: it answers each one in turn."""

from collections.abc import Sequence

__all__ = ["AdviceBalancer"]

LONG_CALL_S = 0.2
"""Calls that take longer hold up the others; those of small, urgent steps take 0.04 s."""
PAUSE_AFTER_FAILURE_S = 1.0
"""A node that got no answer is not asked for this long."""


class AdviceBalancer:
    """The advice work that is under way through each node.

    Parameters
    ----------
    long_call_s : float
        Calls that take longer are kept to half of the nodes, so that short calls do not wait for
        them.
    """

    def __init__(self, long_call_s: float = LONG_CALL_S) -> None:
        self._long_call_s = long_call_s
        self._work_s_by_node: dict[str, float] = {}
        self._long_calls_by_node: dict[str, int] = {}
        self._left_out_until_s: dict[str, float] = {}

    def choose(self, nodes: Sequence[str], work_s: float, now_s: float) -> str:
        """Return the node to ask through.

        Parameters
        ----------
        nodes : sequence of str
            The nodes that live, the preferred ones first; not empty.
        work_s : float
            How long the service works on the call.
        now_s : float
            The present time.
        """
        fit = [name for name in nodes if not self.is_left_out(name, now_s)] or nodes[:1]
        if work_s > self._long_call_s:
            busy = [name for name in fit if self._long_calls_by_node.get(name, 0)]
            if len(busy) >= (len(fit) + 1) // 2:
                fit = busy
        return min(fit, key=lambda name: self._work_s_by_node.get(name, 0.0))

    def is_left_out(self, node: str, now_s: float) -> bool:
        """Return whether a node failed a moment ago."""
        return self._left_out_until_s.get(node, 0.0) > now_s

    def record_call_start(self, node: str, work_s: float) -> float:
        """Note a call; return how long it takes until its answer, with what it waits for."""
        self._work_s_by_node[node] = self._work_s_by_node.get(node, 0.0) + work_s
        if work_s > self._long_call_s:
            self._long_calls_by_node[node] = self._long_calls_by_node.get(node, 0) + 1
        return self._work_s_by_node[node]

    def record_call_end(self, node: str, work_s: float) -> None:
        """Note the end of a call that `began`."""
        self._work_s_by_node[node] = max(0.0, self._work_s_by_node[node] - work_s)
        if work_s > self._long_call_s:
            self._long_calls_by_node[node] -= 1

    def failed(self, node: str, now_s: float) -> None:
        """Leave a node out for a while."""
        self._left_out_until_s[node] = now_s + PAUSE_AFTER_FAILURE_S
