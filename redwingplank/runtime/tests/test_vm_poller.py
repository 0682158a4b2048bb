import asyncio

from redwingplank.platform import ListedVm, VmList, VmListing, VmRole
from redwingplank.runtime.counters import ProcessCounters
from redwingplank.runtime.vm_poller import VmPoller
from redwingplank.standin.virtual_time import run_virtual

WORKER = ListedVm("w1", VmRole.WORKER, "d1", "r1", "127.0.0.1:1")
TRANSFER_S = 5.0


class SlowVmList(VmList):
    """Returns a list whose transfer takes `TRANSFER_S`."""

    async def read(self, failure_domain: str = "") -> VmListing:
        await asyncio.sleep(TRANSFER_S)
        return VmListing((WORKER,), 1)


class TestVmPoller:
    # Guards against a list that is cut off at each read because its transfer takes long.
    def test_a_list_whose_transfer_takes_long_is_delivered(self):
        async def scenario():
            listed = asyncio.get_running_loop().create_future()
            poller = VmPoller(SlowVmList(), "d1", 1.0, ProcessCounters(), listed.set_result)
            polling = asyncio.create_task(poller.run())
            async with asyncio.timeout(2 * TRANSFER_S):
                assert await listed == (WORKER,)
            polling.cancel()

        run_virtual(scenario())
