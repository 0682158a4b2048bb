"""Tells the operator when the process nears the memory that it may use."""

import asyncio
import os
from pathlib import Path

from redwingplank.cell.context import NodeContext

__all__ = ["MemoryWatch"]

CHECK_PERIOD_S = 1.0
SHORT_SHARE = 0.8
"""Share of the limit at which memory counts as short."""
ENOUGH_SHARE = 0.7
"""Share of the limit below which it counts as enough again."""
STATM_PATH = Path("/proc/self/statm")
"""Sizes of the process in pages; the second one is the resident size."""
MIB = 1 << 20


class MemoryWatch:
    """Publishes the resident size of the process, and logs when it is short of memory.

    Parameters
    ----------
    context : NodeContext
        Settings, log and metrics of this node.
    statm_path : Path, optional
        File with the sizes of the process.
    """

    def __init__(self, context: NodeContext, statm_path: Path = STATM_PATH) -> None:
        self._context = context
        self._statm_path = statm_path
        self.is_short = False

    async def run(self) -> None:
        """Check regularly until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check(self) -> None:
        """Read the resident size; where it cannot be read, nothing is known and nothing is told."""
        try:
            pages = int(self._statm_path.read_text(encoding="ascii").split()[1])
        except (OSError, ValueError, IndexError):
            return
        resident_mib = pages * os.sysconf("SC_PAGESIZE") / MIB
        limit_mib = self._context.settings.memory_mb
        self._context.metrics.resident_mib.set(resident_mib)
        share = SHORT_SHARE if not self.is_short else ENOUGH_SHARE
        is_short = resident_mib > share * limit_mib
        if is_short != self.is_short:
            self.is_short = is_short
            event = "memory_short" if is_short else "memory_enough"
            self._context.log(event, resident_mib=round(resident_mib), limit_mib=limit_mib)
