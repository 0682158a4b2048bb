"""What the logs of nodes tell of a cancelled job, from its id alone."""

import re

from redwingplank.batch.fencing import TOKENS_PER_EPOCH
from redwingplank.cell.eventlog import JOBS, MAX_JOB_LINES_PER_EVENT
from redwingplank.cell.keys import JOBS_PREFIX
from redwingplank.cell.tests.site_fixture import Site, run_site

STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 50}
LASTING = {"spec": "last", "steps": [{**STEP, "long_running": True}]}
ID = "5c0e7a21d94b36f8"
OTHER_ID = "5c0e7a21d94b36f9"


async def fields_of(site: Site, event: str, job_id: str = ID) -> dict[str, str]:
    """Return the fields of the only line of an event and a job."""

    def find() -> list[str]:
        return [line for line in site.events() if f"event={event} " in line and job_id in line]

    await site.until(find)
    (line,) = find()
    return dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line))


async def start_lasting_job(site: Site) -> None:
    await site.call("POST", f"/proof/{ID}", LASTING)
    await site.until(lambda: any(worker.runs for worker in site.workers))


def other_than_owner(site: Site) -> int:
    """Return the number of a node that does not own the jobs."""
    return next(i for i, node in enumerate(site.nodes) if not node.owns_jobs)


class TestCancel:
    # Guards against logs that do not tell who acknowledged a cancellation, and on whose word.
    def test_tells_the_owner_that_stored_it(self):
        async def scenario(site):
            await start_lasting_job(site)
            node = other_than_owner(site)
            assert (await site.call("DELETE", f"/proof/{ID}", node=node))[0] == 200
            told = await fields_of(site, "cancel")
            assert told["node"] == f"n{node}"
            assert told["status"] == "200"
            assert told["decided_by"] == "owner"
            assert told["owner"] == f"n{1 - node}"
            assert told["term"] == str(TOKENS_PER_EPOCH)
            assert told["state"] == "cancelled"
            at_owner = await fields_of(site, "cancel_at_owner")
            assert at_owner["is_stored"] == "True"
            assert int(at_owner["stored_version"]) >= int(at_owner["version"])
            assert (await fields_of(site, "job_ended"))["state"] == "cancelled"

        run_site(scenario, nodes=2)

    def test_tells_the_revision_at_which_a_node_stored_it_itself(self):
        async def scenario(site):
            await start_lasting_job(site)
            owner = site.owner_node()
            node = other_than_owner(site)
            site.nodes[node]._membership.owner = None
            assert (await site.call("DELETE", f"/proof/{ID}", node=node))[0] == 200
            told = await fields_of(site, "cancel")
            assert (told["decided_by"], told["term"]) == ("store", "0")
            assert int(told["revision"]) > 0
            ended = await fields_of(site, "job_ended")
            assert ended["reason"] == "cancellation_stored"
            assert int(ended["term"]) == owner._membership.ownership.epoch

        run_site(scenario, nodes=2)

    def test_tells_of_a_job_that_nobody_knows(self):
        async def scenario(site):
            assert (await site.call("DELETE", f"/proof/{ID}"))[0] == 410
            told = await fields_of(site, "cancel")
            assert (told["status"], told["term"], told["state"]) == (
                "410",
                str(TOKENS_PER_EPOCH),
                "none",
            )

        run_site(scenario)


class TestStart:
    # Guards against starts of which nobody can tell on which view their owner acted.
    def test_tells_the_view_of_the_owner(self):
        async def scenario(site):
            await start_lasting_job(site)
            started = await fields_of(site, "job_started")
            assert started["task"] == f"{ID}.0.0.0"
            assert started["term"] == str(TOKENS_PER_EPOCH)
            assert int(started["view"]) >= site.store.items[JOBS_PREFIX + ID].revision
            assert float(started["view_age_s"]) >= 0

        run_site(scenario)

    def test_tells_what_the_next_owner_found(self):
        async def scenario(site):
            await start_lasting_job(site)
            await site.hand_over()
            restored = await fields_of(site, "job_restored")
            assert (int(restored["term"]), restored["state"]) == (2 * TOKENS_PER_EPOCH, "running")
            assert (restored["has_record"], restored["hosts"]) == ("True", "1")

        run_site(scenario, nodes=2)


class TestLimits:
    # Guards against a wave of cancellations that takes the place of the lines that tell of it.
    def test_job_lines_keep_their_place_beside_others(self):
        async def scenario(site):
            context = site.contexts[0]
            for number in range(3000):
                context.events.write(5.0, f"event_{number % 50}", {})
            for _ in range(MAX_JOB_LINES_PER_EVENT):
                context.events.write(5.1, "cancel", {"job": OTHER_ID}, JOBS)
            lines = [line for line in site.events() if OTHER_ID in line]
            assert len(lines) == MAX_JOB_LINES_PER_EVENT

        run_site(scenario)
