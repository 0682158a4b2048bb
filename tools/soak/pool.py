"""The workers of a run, with their entries in the store, and the faults that they suffer."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from redwingplank.standin.site_store import SiteStoreModel
from redwingplank.standin.site_workers import make_site_worker_app
from tools.soak.history import History
from tools.soak.nodes import ZONES
from tools.soak.plan import LATE_COMMAND_S, Fault, FaultKind
from tools.soak.platform import SoakServer
from tools.soak.workers import FaultyWorker, RecordingWorker

__all__ = ["WorkerPool"]

FIRST_PORT = 17100
ENTRY_KEPT_S = 3.0
"""The entry of a worker that sends nothing is removed after this time, three of its heartbeats."""
FIRST_CLOCK_S = (1e3, 1e5)
"""Lowest and highest time on the clock of a first process, which has run for a while."""
RESTARTED_CLOCK_S = (0.0, 60.0)
"""The same for one that has restarted: its clock begins anew."""


class _Place:
    """The worker that has a place in the pool now, and its server."""

    def __init__(
        self, number: int, worker: RecordingWorker, gate: FaultyWorker, server: SoakServer
    ) -> None:
        self.number = number
        self.worker = worker
        self.gate = gate
        self.server = server
        self.port = FIRST_PORT + number
        self.is_gone = False
        """Whether the worker has vanished for good."""
        self.hidden_count = 0
        """Number of cuts from the store that last."""


class WorkerPool:
    """Starts workers, and crashes and replaces them.

    Parameters
    ----------
    ip : str
        Address at which they listen, one port each.
    store : SiteStoreModel
        Receives their entries.
    history : History
        Receives their disruptions.
    make_worker : callable
        Returns a worker for its id.
    now_s : callable
        Returns the time in seconds.
    rng : random.Random
        Selects the commands and runs that faults concern.
    """

    def __init__(
        self,
        ip: str,
        store: SiteStoreModel,
        history: History,
        make_worker: Callable[[str], RecordingWorker],
        now_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._ip = ip
        self._store = store
        self._history = history
        self._make_worker = make_worker
        self._now_s = now_s
        self._rng = rng
        self._places: list[_Place] = []
        self._all: list[_Place] = []
        """All workers that there ever were."""

    async def start(self, count: int) -> None:
        """Start `count` workers."""
        for _ in range(count):
            self._places.append(await self._add())

    async def stop(self) -> None:
        """Close all connections."""
        for place in self._all:
            await place.server.stop()

    def advance(self, now_s: float) -> None:
        """End the runs that are over."""
        for place in self._all:
            place.worker.advance(now_s)

    @property
    def has_runs(self) -> bool:
        """Whether a worker runs a task."""
        return any(place.worker.runs for place in self._all)

    @property
    def late_calls(self) -> int:
        """Number of commands that are still to be carried out."""
        return sum(place.gate.late_calls for place in self._all)

    async def apply(self, fault: Fault) -> None:
        """Apply a fault that concerns workers, until it is over."""
        places = [self._places[number] for number in sorted(fault.workers)]
        if fault.kind is FaultKind.CRASH:
            await asyncio.gather(*(self._crash(place, fault.for_s) for place in places))
        elif fault.kind is FaultKind.VANISH:
            await asyncio.gather(*(self._replace(place, fault.for_s) for place in places))
        elif fault.kind is FaultKind.CUT:
            await asyncio.gather(*(self._cut(place, fault) for place in places))
        elif fault.kind is FaultKind.FAIL:
            await self._fail(places, fault)
        else:
            await self._be_late(places, fault)

    async def _add(self) -> _Place:
        number = len(self._all)
        worker = self._make_worker(f"w{number}")
        worker.set_clock(self._rng.uniform(*FIRST_CLOCK_S), self._now_s())
        gate = FaultyWorker(make_site_worker_app(worker, self._now_s), worker, self._rng)
        place = _Place(number, worker, gate, SoakServer(gate, [(self._ip, FIRST_PORT + number)]))
        self._all.append(place)
        await place.server.start()
        self._register(place)
        return place

    def _register(self, place: _Place) -> None:
        """Show the entry of a worker in the store if it runs and reaches the store."""
        if place.worker.is_down or place.hidden_count:
            return
        entry = {
            "service": "render",
            "address": f"{self._ip}:{place.port}",
            "zone": ZONES[place.number % len(ZONES)],
            "state": "ready",
            "capacity": {"cpu": 64_000, "mem_mb": 64_000},
            "labels": ["k", f"r{place.number}"],
            "born": place.worker.born_ms,
        }
        self._store.put(f"servers/{place.worker.name}", msgspec.json.encode(entry))

    def _unregister(self, place: _Place) -> None:
        key = f"servers/{place.worker.name}"
        if key in self._store.items:
            self._store.remove(key)

    def _end_process(self, place: _Place) -> None:
        place.worker.advance(self._now_s())
        place.worker.is_down = True
        place.worker.crash(place.worker.born_ms + 1)
        place.server.close_ports({place.port})

    async def _crash(self, place: _Place, down_s: float) -> None:
        with self._history.disruptions.during([place.worker.name], "crash", self._now_s):
            self._end_process(place)
            await asyncio.sleep(min(down_s, ENTRY_KEPT_S))
            if down_s > ENTRY_KEPT_S:
                self._unregister(place)
                await asyncio.sleep(down_s - ENTRY_KEPT_S)
            if not place.is_gone:
                self._begin_process(place)

    def _begin_process(self, place: _Place) -> None:
        if place.worker.is_down:
            place.worker.set_clock(self._rng.uniform(*RESTARTED_CLOCK_S), self._now_s())
        place.worker.is_down = False
        place.server.open_ports({place.port})
        self._register(place)

    async def _cut(self, place: _Place, fault: Fault) -> None:
        """Cut a worker off from the nodes, and from the store if the fault has an amount."""
        is_hidden = bool(fault.amount)
        with self._history.disruptions.during([place.worker.name], "cut", self._now_s):
            place.hidden_count += is_hidden
            place.server.close_ports({place.port})
            await asyncio.sleep(min(fault.for_s, ENTRY_KEPT_S))
            if is_hidden and fault.for_s > ENTRY_KEPT_S:
                self._unregister(place)
            await asyncio.sleep(max(0.0, fault.for_s - ENTRY_KEPT_S))
            place.hidden_count -= is_hidden
            place.server.open_ports({place.port})
            self._register(place)

    async def _replace(self, place: _Place, until_next_s: float) -> None:
        if place.is_gone:
            return
        place.is_gone = True
        self._end_process(place)
        await asyncio.sleep(until_next_s)
        self._places[self._places.index(place)] = await self._add()
        await asyncio.sleep(max(0.0, ENTRY_KEPT_S - until_next_s))
        self._unregister(place)

    async def _fail(self, places: list[_Place], fault: Fault) -> None:
        for place in places:
            place.worker.failing_share = fault.amount
        await asyncio.sleep(fault.for_s)
        for place in places:
            place.worker.failing_share = 0.0

    async def _be_late(self, places: list[_Place], fault: Fault) -> None:
        names = [place.worker.name for place in places]
        with self._history.disruptions.during(names, "late-commands", self._now_s):
            for place in places:
                place.gate.late_share, place.gate.late_s = fault.amount, LATE_COMMAND_S
            await asyncio.sleep(fault.for_s)
            for place in places:
                place.gate.late_share = 0.0
