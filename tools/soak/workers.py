"""Stand-in workers that record starts, ends and acknowledged completions."""

from typing import Any

from redwingplank.standin.site_workers import SiteWorkerModel
from tools.soak.history import History, RunEnd, RunStart

__all__ = ["RecordingWorker"]


class RecordingWorker(SiteWorkerModel):
    """A worker that records what it does.

    Parameters
    ----------
    name : str
        Id of the worker.
    history : History
        Receives the records.
    run_s : float
        Run time of each task in seconds.
    """

    def __init__(self, name: str, history: History, run_s: float) -> None:
        super().__init__(run_s=run_s)
        self._name = name
        self._history = history
        self._now_s = 0.0
        self._not_counted: set[int] = set()
        """Numbers of completions after which the lease lapsed: noting them binds nobody."""

    def start(self, body: dict[str, Any], now_s: float) -> tuple[int, str]:
        """Handle a start command, and record a run that begins."""
        count = len(self.starts)
        answer = super().start(body, now_s)
        if len(self.starts) > count:
            self._history.add_start(RunStart(body["task"], body["attempt"], self._name, now_s))
        return answer

    def advance(self, now_s: float) -> None:
        """End runs that are over, and note a lapse of the lease."""
        self._now_s = now_s
        super().advance(now_s)
        if now_s * 1000 > self.lease_until_ms:
            self._not_counted.update(end[0] for end in self.ends)

    def handle_poll(self, body: dict[str, Any]) -> tuple[int, str]:
        """Handle a poll, and record the completions that it acknowledges."""
        before = list(self.ends)
        answer = super().handle_poll(body)
        kept = {end[0] for end in self.ends}
        for number, task, attempt, how, _ in before:
            if number not in kept and how == "done" and number not in self._not_counted:
                self._history.acknowledged.add((self._name, task, attempt))
        return answer

    def _end_run(self, task: str, how: str) -> None:
        attempt, ends_s = self.runs[task]
        at_s = self._now_s
        if how != "stopped":
            at_s = min(at_s, ends_s, self.lease_until_ms / 1000)
        self._history.add_end(RunEnd(task, attempt, self._name, at_s, how))
        super()._end_run(task, how)
