"""Draws the faults of a run from its seed."""

import enum
import random
from dataclasses import dataclass, replace

__all__ = ["Fault", "FaultKind", "make_plan"]

QUIET_S = 1.0
"""Time without faults at the beginning of a run."""
SLOW_ANSWER_S = 0.24
"""The store's usual answer of 4 ms, 60 times slower."""
MAX_BUSY = 6
UNANSWERED_SHARE = 0.25
"""Share of episodes in which refusals follow calls without an answer."""
UNSTORED_SHARE = 0.4
"""Share of episodes in which workers crash while the store refuses nodes."""
CUT_OFF_SHARE = 0.2
"""Share of episodes in which workers restart and are cut off soon after."""
CALM_SHARE = 0.4
"""Share of episodes that are followed by a calm, in which undisturbed nodes come to be in touch."""
LATE_COMMAND_S = (2.0, 12.0)
"""Time after which a worker carries out a call that it has not answered."""


class FaultKind(enum.Enum):
    """What is disturbed."""

    LOST = "lost"
    """The store's answers to a share of the calls are lost after their effect."""
    LATE = "late"
    """A share of the calls takes effect later, without an answer."""
    REFUSE = "refuse"
    SLOW = "slow"
    LIMIT = "limit"
    """More writes than so many per second are refused."""
    RESET = "reset"
    UNREAD = "unread"
    """The store accepts connections and does not read from them."""
    PAUSE = "pause"
    TERM = "term"
    KILL = "kill"
    BUSY = "busy"
    CONFIG = "config"
    REVOKE = "revoke"
    CANCEL = "cancel"
    """Callers cancel a share of the newest jobs at once."""
    CRASH = "crash"
    """Workers lose all that they had, and come back under their ids."""
    VANISH = "vanish"
    """Workers are gone for good, and others come in their place."""
    FAIL = "fail"
    """A share of the runs of workers fails."""
    LATE_COMMANDS = "late-commands"
    """Workers carry out a share of commands and polls seconds later, without an answer."""
    CUT = "cut"
    """No call of a node reaches workers, which run on."""
    LONG = "long"
    """Tasks of a share of the jobs run for about as long as the longest lease."""


SILENT_KINDS = (
    FaultKind.LOST,
    FaultKind.LOST,
    FaultKind.LATE,
    FaultKind.SLOW,
    FaultKind.UNREAD,
    FaultKind.RESET,
)
REFUSING_KINDS = (FaultKind.REFUSE, FaultKind.REFUSE, FaultKind.REFUSE, FaultKind.LIMIT)
WORKER_KINDS = (
    FaultKind.CRASH,
    FaultKind.VANISH,
    FaultKind.FAIL,
    FaultKind.LATE_COMMANDS,
    FaultKind.CUT,
)
OWNER_KINDS = (FaultKind.KILL, FaultKind.TERM, FaultKind.PAUSE, None, None, None, None)
"""What happens to the owner near a refusal."""
EXTRA_KINDS = (FaultKind.PAUSE, FaultKind.TERM, FaultKind.KILL, FaultKind.BUSY, None, None)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a plan.

    Parameters
    ----------
    kind : FaultKind
        What is disturbed.
    at_s, for_s : float
        Time from the start of traffic, and length, in seconds.
    nodes : frozenset of int
        The nodes that it concerns.
    workers : frozenset of int
        The workers that it concerns.
    is_at_owner : bool
        Whether it concerns the node that is the owner when it begins, in place of `nodes`.
    amount : float
        Share of calls, status, delay in seconds, calls per second or number of processes; with
        `CUT`, 1 if the workers are cut off from the store, too.
    delay_s : float
        With `LATE`, seconds until the effect.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    nodes: frozenset[int] = frozenset()
    amount: float = 0.0
    delay_s: float = 0.0
    workers: frozenset[int] = frozenset()
    is_at_owner: bool = False

    def __str__(self) -> str:
        nodes = "owner" if self.is_at_owner else ",".join(map(str, sorted(self.nodes)))
        workers = ",".join(map(str, sorted(self.workers)))
        text = f"{self.at_s:.2f}+{self.for_s:.2f} {self.kind.value} {self.amount:.3g}"
        return f"{text} late {self.delay_s:.2f} nodes {nodes} workers {workers}"


def make_plan(seed: int, length_s: float, nodes: int, workers: int = 4) -> list[Fault]:
    """Return the faults of a run, in the order of their times.

    Parameters
    ----------
    seed : int
        Seed of the run.
    length_s : float
        Seconds of traffic.
    nodes, workers : int
        Number of nodes, and of workers at a time.
    """
    return _Draw(random.Random(seed), nodes, workers).plan(length_s)


class _Draw:
    def __init__(self, rng: random.Random, nodes: int, workers: int) -> None:
        self._rng = rng
        self._nodes = nodes
        self._workers = workers

    def plan(self, length_s: float) -> list[Fault]:
        faults: list[Fault] = []
        at_s = QUIET_S
        while at_s < length_s - 1.0:
            episode = self._episode(at_s)
            faults.extend(episode)
            is_calm = self._rng.random() < CALM_SHARE
            pause_s = self._rng.uniform(3.0, 4.0) if is_calm else self._rng.uniform(0.0, 1.5)
            at_s = max(each.at_s + each.for_s for each in episode) + pause_s
        return sorted(faults, key=lambda each: each.at_s)

    def _episode(self, at_s: float) -> list[Fault]:
        """Return faults in series or overlapping."""
        draw = self._rng.random()
        if draw < UNANSWERED_SHARE:
            return self._unanswered_then_refused(at_s)
        if draw < UNANSWERED_SHARE + UNSTORED_SHARE:
            return self._refused_then_crashed(at_s)
        if draw < UNANSWERED_SHARE + UNSTORED_SHARE + CUT_OFF_SHARE:
            return self._restarted_then_cut(at_s)
        kinds = self._rng.choices(list(FaultKind), k=self._rng.randint(1, 4))
        return [self._fault(kind, at_s + self._rng.uniform(0.0, 1.5)) for kind in kinds]

    def _unanswered_then_refused(self, at_s: float) -> list[Fault]:
        """Return calls that stay unanswered, and refusals that begin while some of them wait.

        The refusals last longer than callers try.
        """
        rng = self._rng
        silent = self._fault(rng.choice(SILENT_KINDS), at_s)
        silent = replace(silent, for_s=rng.uniform(1.0, 3.0))
        refused_s = at_s + silent.for_s - rng.uniform(0.05, 0.8)
        refusing = replace(
            self._fault(rng.choice(REFUSING_KINDS), refused_s),
            for_s=rng.uniform(3.0, 5.0),
        )
        extra = rng.choice(EXTRA_KINDS)
        if extra is None:
            return [silent, refusing]
        return [silent, refusing, self._fault(extra, at_s + rng.uniform(0.0, 3.0))]

    def _refused_then_crashed(self, at_s: float) -> list[Fault]:
        """Return refusals by the store, and crashes of workers before what they did is stored.

        The owner may be ended or paused near that, and workers may fail or be late.
        """
        rng = self._rng
        refusing = self._refuse_some(at_s)
        crash = self._fault(rng.choice((FaultKind.CRASH,) * 3 + (FaultKind.VANISH,)), at_s)
        faults = [refusing, replace(crash, at_s=at_s + rng.uniform(0.2, 1.4))]
        if rng.random() < 0.7:
            faults.append(self._fault(FaultKind.CANCEL, at_s + rng.uniform(0.2, 1.2)))
        change = rng.choice(OWNER_KINDS)
        if change is not None:
            changed = self._fault(change, at_s + rng.uniform(0.3, 2.5))
            faults.append(replace(changed, nodes=frozenset(), is_at_owner=True))
        if rng.random() < 0.6:
            kind = rng.choice((FaultKind.FAIL, FaultKind.LATE_COMMANDS, FaultKind.LATE_COMMANDS))
            faults.append(self._fault(kind, at_s + rng.uniform(0.0, 2.0)))
        return faults

    def _restarted_then_cut(self, at_s: float) -> list[Fault]:
        """Return a restart of workers that are cut off soon after, and the end of their owner.

        Long tasks run, and what the former processes were sent may reach the later ones. The
        workers may restart once more while they are cut off, if the store can tell of that.
        """
        rng = self._rng
        count = rng.randint(1, max(1, self._workers - 1))
        some = frozenset(rng.sample(range(self._workers), count))
        crash_s = at_s + rng.uniform(0.5, 1.5)
        back_s = crash_s + rng.uniform(0.1, 1.0)
        kill_s = back_s + rng.uniform(0.6, 2.0)
        cut_s = kill_s + rng.uniform(-0.3, 1.2)
        late = self._fault(FaultKind.LATE_COMMANDS, at_s)
        cut = replace(self._fault(FaultKind.CUT, cut_s), for_s=rng.uniform(6.0, 10.0), workers=some)
        faults = [
            Fault(FaultKind.LONG, at_s, cut_s - at_s, amount=rng.choice((0.2, 0.5))),
            replace(late, for_s=crash_s + rng.uniform(0.0, 0.4) - at_s, workers=some),
            Fault(FaultKind.CRASH, crash_s, back_s - crash_s, workers=some),
            Fault(FaultKind.KILL, kill_s, rng.uniform(0.1, 3.0), is_at_owner=True),
            cut,
        ]
        if not cut.amount and rng.random() < 0.3:
            again_s = cut_s + rng.uniform(0.2, 3.0)
            faults.append(Fault(FaultKind.CRASH, again_s, rng.uniform(0.1, 1.0), workers=some))
        return faults

    def _refuse_some(self, at_s: float) -> Fault:
        """Return refusals to the owner alone, to some nodes or to all."""
        rng = self._rng
        refusing = self._fault(FaultKind.REFUSE, at_s)
        refusing = replace(refusing, for_s=rng.uniform(1.5, 4.5))
        if rng.random() < 0.6:
            return replace(refusing, nodes=frozenset(), is_at_owner=True)
        return refusing

    def _fault(self, kind: FaultKind, at_s: float) -> Fault:
        if kind in WORKER_KINDS:
            return self._worker_fault(kind, at_s)
        rng = self._rng
        for_s = rng.uniform(0.5, 4.5)
        some = frozenset(rng.sample(range(self._nodes), rng.randint(1, self._nodes)))
        nodes = some if rng.random() < 0.35 else frozenset(range(self._nodes))
        if kind in (FaultKind.LOST, FaultKind.LATE):
            share = rng.choice((0.1, 0.35, 0.6, 0.9))
            return Fault(kind, at_s, for_s, nodes, share, rng.uniform(0.1, 3.0))
        if kind is FaultKind.REFUSE:
            return Fault(kind, at_s, for_s, nodes, rng.choice((503, 503, 429)))
        if kind is FaultKind.SLOW:
            return Fault(kind, at_s, for_s, nodes, rng.choice((SLOW_ANSWER_S, 0.5, 0.8)))
        if kind is FaultKind.LIMIT:
            return Fault(kind, at_s, for_s, nodes, rng.choice((2.0, 5.0, 20.0)))
        if kind is FaultKind.CANCEL:
            return Fault(kind, at_s, 0.0, amount=rng.choice((0.3, 0.7, 1.0)))
        if kind in (FaultKind.RESET, FaultKind.CONFIG, FaultKind.REVOKE):
            return Fault(kind, at_s, 0.0, nodes)
        if kind is FaultKind.UNREAD:
            return Fault(kind, at_s, rng.uniform(0.2, 2.5), nodes)
        if kind is FaultKind.LONG:
            return Fault(kind, at_s, for_s, amount=rng.choice((0.2, 0.5)))
        if kind is FaultKind.BUSY:
            return Fault(kind, at_s, for_s, amount=rng.randint(2, MAX_BUSY))
        few = frozenset(rng.sample(range(self._nodes), min(self._nodes, rng.randint(1, 2))))
        pause_s = rng.uniform(0.1, 3.0)
        return Fault(kind, at_s, pause_s, few)

    def _worker_fault(self, kind: FaultKind, at_s: float) -> Fault:
        rng = self._rng
        some = frozenset(rng.sample(range(self._workers), rng.randint(1, self._workers)))
        if kind is FaultKind.CRASH:
            down_s = rng.uniform(2.0, 5.5) if rng.random() < 0.8 else rng.uniform(0.0, 0.5)
            return Fault(kind, at_s, down_s, workers=some)
        if kind is FaultKind.VANISH:
            few = frozenset(sorted(some)[:2])
            return Fault(kind, at_s, rng.uniform(0.0, 4.0), workers=few)
        if kind is FaultKind.CUT:
            return Fault(kind, at_s, rng.uniform(0.5, 9.0), workers=some, amount=rng.randint(0, 1))
        shares = (0.3, 0.6, 1.0) if kind is FaultKind.LATE_COMMANDS else (0.1, 0.3, 0.6)
        share = rng.choice(shares)
        return Fault(kind, at_s, rng.uniform(0.5, 4.5), workers=some, amount=share)
