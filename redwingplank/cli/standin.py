"""`redwing-standin`: serves stand-ins for the platform, for trials with separate processes."""

import sys
from collections.abc import Sequence

import falcon.asgi

from redwingplank.cli.program import Program, read_settings, run_program
from redwingplank.cli.settings import StandinSettings
from redwingplank.core import MonotonicClock, make_resources
from redwingplank.platform import ListedVm, VmRole
from redwingplank.platform.http import HttpServer, serve_http
from redwingplank.standin.cell import CellShape, StandinCell, make_standin_cell
from redwingplank.standin.http_admin import add_admin_routes, add_vm_list_routes
from redwingplank.standin.http_store import add_store_routes
from redwingplank.standin.http_upstreams import make_upstreams_app
from redwingplank.standin.http_workers import make_workers_app
from redwingplank.standin.store import MemoryStoreClient
from redwingplank.standin.vms import MemoryVmList

__all__ = ["StandinProgram", "main"]

MILLICORES_PER_PROCESSOR = 1000
MIB_PER_GIB = 1024
SHUTDOWN_TIMEOUT_S = 1.0


class StandinProgram(Program):
    """Serves all stand-ins of one cell over HTTP.

    Parameters
    ----------
    settings : StandinSettings
        From flags and environment variables.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._servers: list[HttpServer] = []
        self.cell = make_standin_cell(make_shape(settings), MonotonicClock())
        self.cell.vm_list.put(*make_entry_rows(settings))

    async def start(self) -> None:
        cell = self.cell
        platform_address = f"{self._settings.host}:{self._settings.port}"
        await self._serve(make_platform_app(cell), [platform_address])
        await self._serve(make_workers_app(cell.workers_by_address), list(cell.workers_by_address))
        await self._serve(
            make_upstreams_app(cell.upstreams_by_address), list(cell.upstreams_by_address)
        )

    async def drain(self) -> None:
        self.cell.store.close()
        for server in self._servers:
            await server.stop()

    def describe_in_flight(self) -> str:
        running = sum(upstream.running for upstream in self.cell.upstreams_by_address.values())
        return f"{running} requests"

    async def _serve(self, app: falcon.asgi.App, addresses: Sequence[str]) -> None:
        if addresses:
            self._servers.append(await serve_http(app, addresses, SHUTDOWN_TIMEOUT_S))


def make_shape(settings: StandinSettings) -> CellShape:
    """Convert the program's settings to the shape of the stand-in cell."""
    capacity = make_resources(
        settings.processors * MILLICORES_PER_PROCESSOR, settings.memory_gib * MIB_PER_GIB
    )
    return CellShape(
        failure_domains=settings.failure_domains,
        host=settings.host,
        first_port=settings.first_vm_port,
        workers_per_domain=settings.workers_per_domain,
        upstreams_per_domain=settings.upstreams_per_domain,
        services=settings.services,
        capacity=capacity,
        accelerators=settings.accelerators,
        list_lag_s=settings.list_lag_s,
        seed=settings.seed,
    )


def make_entry_rows(settings: StandinSettings) -> list[ListedVm]:
    """Return the rows of the entry VMs for the list of VMs."""
    rows = []
    for full_name, address in settings.entries.items():
        domain, _, name = full_name.partition("/")
        rows.append(ListedVm(name, VmRole.ENTRY, domain, f"{domain}-entries", address))
    return rows


def make_platform_app(cell: StandinCell) -> falcon.asgi.App:
    """Return the HTTP application of the store, the list of VMs and the admin calls."""
    app = falcon.asgi.App()
    add_store_routes(app, MemoryStoreClient(cell.store, cell.store_faults))
    add_vm_list_routes(app, MemoryVmList(cell.vm_list, cell.list_faults))
    add_admin_routes(
        app,
        cell.history,
        {"store": cell.store_faults, "vms": cell.list_faults},
        cell.workers_by_name,
        cell.upstreams_by_name,
        cell.store.calls_by_method,
    )
    return app


def main() -> None:
    """Read the settings and run the stand-ins."""
    settings = read_settings("redwing-standin", StandinSettings, __doc__ or "")
    sys.exit(run_program(lambda: StandinProgram(settings), settings.log_level))


if __name__ == "__main__":
    main()
