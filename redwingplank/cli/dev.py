"""`redwing-dev`: runs a whole cell and stand-ins for the platform in one process on loopback."""

import asyncio
import sys
import time
import uuid
from collections.abc import Mapping, Sequence

from redwingplank.cli.entry import EntryProgram
from redwingplank.cli.program import Program, read_settings, run_program
from redwingplank.cli.sample import (
    SampleRow,
    check_sample,
    count_running,
    format_rows,
    send_sample,
)
from redwingplank.cli.scheduler import SchedulerProgram
from redwingplank.cli.settings import (
    DevSettings,
    EntrySettings,
    SchedulerProgramSettings,
    StandinSettings,
)
from redwingplank.cli.standin import StandinProgram
from redwingplank.config import (
    WorkloadKind,
    parse_declarations,
    read_declaration_files,
)
from redwingplank.core import FindingsError, RedwingError
from redwingplank.core.settings import load_settings
from redwingplank.runtime.apply import ApplyOutcome, apply_declarations
from redwingplank.scheduling.services import make_service_job_id
from redwingplank.standin.store import MemoryStoreClient

__all__ = ["DevProgram", "main"]

HOST = "127.0.0.1"
ENTRY_HTTP_OFFSET = 1
ENTRY_RPC_OFFSET = 30
SCHEDULER_RPC_OFFSET = 50
STANDIN_OFFSET = 70
FIRST_VM_OFFSET = 71
READY_TIMEOUT_S = 20.0
SERVICES_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


class DevProgram(Program):
    """Runs entries, schedulers and the platform's stand-ins in one process.

    After the start it sends the sample and checks the answers.

    Parameters
    ----------
    settings : DevSettings
        From flags and environment variables.
    files : mapping of str to str
        Texts of the declaration files, by file name.
    """

    def __init__(self, settings: DevSettings, files: Mapping[str, str]) -> None:
        self._settings = settings
        self._files = files
        self._declarations = parse_declarations(files)
        self.exit_code = 0
        self.standin = StandinProgram(_make_standin_settings(settings))
        self.entries = [EntryProgram(item) for item in _make_entry_settings(settings)]
        self.schedulers = [SchedulerProgram(item) for item in _make_scheduler_settings(settings)]

    @property
    def base_url(self) -> str:
        """URL of the first entry."""
        return f"http://{HOST}:{self._settings.port + ENTRY_HTTP_OFFSET}"

    async def start(self) -> None:
        await self.standin.start()
        await self._apply_declarations()
        for program in (*self.schedulers, *self.entries):
            await program.start()
        await self._wait_until_ready()

    async def wait(self) -> None:
        started_s = time.monotonic()
        rows, records = await send_sample(self.base_url, self.standin.cell)
        rows.extend(await self._make_service_rows(started_s))
        print(format_rows(rows))
        findings = check_sample(self.standin.cell, records)
        for finding in findings:
            print(finding)
        if findings or any(row.problem for row in rows):
            self.exit_code = 1
        if self._settings.once:
            return
        print(f"serving at {self.base_url}; Ctrl-C ends", flush=True)
        programs = [*self.entries, *self.schedulers]
        waits = [asyncio.ensure_future(program.wait()) for program in programs]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def drain(self) -> None:
        await asyncio.gather(*(entry.drain() for entry in self.entries))
        await asyncio.gather(*(scheduler.drain() for scheduler in self.schedulers))
        await self.standin.drain()

    def describe_in_flight(self) -> str:
        return "; ".join(entry.describe_in_flight() for entry in self.entries)

    async def _apply_declarations(self) -> None:
        store = MemoryStoreClient(self.standin.cell.store)
        result = await apply_declarations(store, self._files, time.time(), uuid.uuid4().hex)
        if result.outcome is not ApplyOutcome.APPLIED:
            raise RedwingError(f"the declarations were not applied: {result.outcome}")

    async def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            directories = [entry.runtime.parts.directory for entry in self.entries]
            await asyncio.gather(*(directory.refresh() for directory in directories))
            obstacles = [item for entry in self.entries for item in entry.runtime.find_obstacles()]
            is_owned = all(
                directory.find_owner(shard) is not None
                for directory in directories
                for shard in directory.all_shards()
            )
            if is_owned and not obstacles:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"after {READY_TIMEOUT_S:g} s not every shard has an owner: {obstacles}")

    async def _make_service_rows(self, started_s: float) -> list[SampleRow]:
        declared_counts = {
            (organisation.name, service.name): service.count
            for organisation in self._declarations.organisations_by_name.values()
            for service in organisation.services_by_name.values()
            if service.kind is WorkloadKind.SERVICE and organisation.quota is None
        }
        rows = []
        for (organisation, service), count in declared_counts.items():
            running = await self._wait_for_service(organisation, service, count)
            running_count = sum(running.values())
            rows.append(
                SampleRow(
                    "standing service",
                    organisation,
                    service,
                    f"{running_count} of {count} run",
                    ", ".join(sorted(running)[:2]),
                    (time.monotonic() - started_s) * 1000,
                    "" if running_count == count else "not at its count",
                )
            )
        return rows

    async def _wait_for_service(
        self, organisation: str, service: str, count: int
    ) -> Mapping[str, int]:
        deadline_s = time.monotonic() + SERVICES_TIMEOUT_S
        job_ids = {
            make_service_job_id(shard, organisation, service)
            for shard in self.entries[0].runtime.parts.directory.all_shards()
        }

        def is_counted(task_id: str) -> bool:
            return task_id.rpartition("/")[0] in job_ids

        while True:
            running = count_running(self.standin.cell, is_counted)
            if sum(running.values()) == count or time.monotonic() > deadline_s:
                return running
            await asyncio.sleep(POLL_INTERVAL_S)


def _make_names(settings: DevSettings, kind: str, count: int) -> list[tuple[str, str]]:
    return [
        (domain, f"{domain}-{kind}-{index}")
        for domain in settings.failure_domains
        for index in range(count)
    ]


def _format_addresses(names: Sequence[tuple[str, str]], first_port: int) -> str:
    return ",".join(
        f"{domain}/{name}={HOST}:{first_port + index}" for index, (domain, name) in enumerate(names)
    )


def _make_standin_settings(settings: DevSettings) -> StandinSettings:
    texts = {
        "port": str(settings.port + STANDIN_OFFSET),
        "first_vm_port": str(settings.port + FIRST_VM_OFFSET),
        "failure_domains": ",".join(settings.failure_domains),
        "list_lag_s": "0",
        "entries": _format_addresses(
            _make_names(settings, "entry", settings.entries_per_domain),
            settings.port + ENTRY_RPC_OFFSET,
        ),
    }
    return load_settings(StandinSettings, texts, ())


def _make_node_texts(settings: DevSettings) -> dict[str, str]:
    entries = _make_names(settings, "entry", settings.entries_per_domain)
    schedulers = _make_names(settings, "scheduler", settings.schedulers_per_domain)
    platform_url = f"http://{HOST}:{settings.port + STANDIN_OFFSET}"
    return {
        "failure_domains": ",".join(settings.failure_domains),
        "store_url": platform_url,
        "vms_url": platform_url,
        "entries": _format_addresses(entries, settings.port + ENTRY_RPC_OFFSET),
        "schedulers": _format_addresses(schedulers, settings.port + SCHEDULER_RPC_OFFSET),
        "log_level": settings.log_level,
    }


def _make_entry_settings(settings: DevSettings) -> list[EntrySettings]:
    names = _make_names(settings, "entry", settings.entries_per_domain)
    return [
        load_settings(
            EntrySettings,
            {
                **_make_node_texts(settings),
                "name": name,
                "failure_domain": domain,
                "http_address": f"{HOST}:{settings.port + ENTRY_HTTP_OFFSET + index}",
                "entries_http": _format_addresses(names, settings.port + ENTRY_HTTP_OFFSET),
                "rpc_address": f"{HOST}:{settings.port + ENTRY_RPC_OFFSET + index}",
                "drain_notice_s": "0",
            },
            (),
        )
        for index, (domain, name) in enumerate(names)
    ]


def _make_scheduler_settings(settings: DevSettings) -> list[SchedulerProgramSettings]:
    names = _make_names(settings, "scheduler", settings.schedulers_per_domain)
    return [
        load_settings(
            SchedulerProgramSettings,
            {
                **_make_node_texts(settings),
                "name": name,
                "failure_domain": domain,
                "rpc_address": f"{HOST}:{settings.port + SCHEDULER_RPC_OFFSET + index}",
            },
            (),
        )
        for index, (domain, name) in enumerate(names)
    ]


def main() -> None:
    """Read the settings and the declarations, and run the cell."""
    settings = read_settings("redwing-dev", DevSettings, __doc__ or "")
    try:
        files = read_declaration_files(settings.declarations)
        parse_declarations(files)
    except FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    programs: list[DevProgram] = []

    def make_program() -> Program:
        programs.append(DevProgram(settings, files))
        return programs[0]

    code = run_program(make_program, settings.log_level)
    sys.exit(code or programs[0].exit_code)


if __name__ == "__main__":
    main()
