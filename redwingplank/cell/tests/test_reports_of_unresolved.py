"""Reports of submissions with an unknown outcome by a node that stops."""

import asyncio

from redwingplank.cell.clocks import now_s
from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.tests.site_fixture import run_site

ID = "5c0e7a21d94b36f8"
KEY = f"{JOBS_PREFIX}{ID}"
JOB = {"spec": "payload", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}]}
HELD_S = 3.0
"""Time in which a node that does not wait for its reports stops; one that waits passes anyhow."""


class HeldReports:
    """Holds the reports of a node back until they are released.

    Parameters
    ----------
    calls : CellCalls
        The calls of the node to other nodes.
    """

    def __init__(self, calls):
        self._note_unresolved = calls.note_unresolved
        self.begun = asyncio.Event()
        self.released = asyncio.Event()

    async def note_unresolved(self, *arguments):
        self.begun.set()
        await self.released.wait()
        await self._note_unresolved(*arguments)


class TestStop:
    # Guards against a stopped node whose memory of a job that may be stored ends with it: the node
    # to which the caller comes next refuses the job.
    def test_waits_until_the_other_nodes_have_been_told(self, monkeypatch):
        async def scenario(site):
            first, second = site.nodes
            await site.until(lambda: len(first._membership.nodes_by_name) == 2)
            calls = site.contexts[0].calls
            reports = HeldReports(calls)
            monkeypatch.setattr(calls, "note_unresolved", reports.note_unresolved)
            site.store.lose_answers, site.store.lost_prefix = 1, JOBS_PREFIX
            site.store.is_down_after_loss = True
            assert (await site.call("POST", f"/proof/{ID}", JOB))[0] == 504
            assert KEY in site.store.items
            await reports.begun.wait()
            assert not second.callers._unresolved.is_known(ID, now_s())
            site.nodes.remove(first)
            stop = asyncio.create_task(first.stop())
            await asyncio.wait([stop], timeout=HELD_S)
            reports.released.set()
            await stop
            assert second.callers._unresolved.is_known(ID, now_s())
            assert (await site.call("POST", f"/proof/{ID}", JOB, node=1))[0] == 504
            site.store.is_down = False

        run_site(scenario, nodes=2)
