"""`redwingctl`: manage a cell through declaration files that are kept in version control.

Exit codes: 0 done; 1 not done, nothing has changed; 2 findings or wrong usage; 3 conflict with
another operator's change; 4 the outcome is unknown; 5 done, but a node lags or does not answer.
"""

import asyncio
import json
import sys
import time
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated

import capnp
from cyclopts import App, CycloptsError, Parameter
from cyclopts.config import Env

from redwingplank import __version__
from redwingplank.cli.ctl_flags import (
    DEFAULT_CELL,
    DEFAULT_CHANGE,
    DEFAULT_OUTPUT,
    CellFlags,
    ChangeFlags,
    OutputFlags,
)
from redwingplank.cli.ctl_get import list_documents, print_document, show_effective
from redwingplank.cli.ctl_organisations import CellReading, organisation_rows, read_cell
from redwingplank.cli.ctl_output import (
    Printer,
    change_rows,
    conflict_rows,
    finding_rows,
    impact_rows,
    node_rows,
    print_error,
)
from redwingplank.config import make_schema, parse_declarations, read_declaration_files
from redwingplank.config.apply import HistoryTooShortError
from redwingplank.core import FindingsError, InvalidValueError, RedwingError
from redwingplank.platform import PlatformError
from redwingplank.runtime.apply import (
    ApplyOutcome,
    ApplyResult,
    apply_declarations,
    read_history,
    read_live_set,
    roll_back,
)
from redwingplank.runtime.operator import (
    OperatorSession,
    UnknownTargetError,
    make_plan,
    open_operator_session,
)

__all__ = ["main", "make_app"]

EXIT_DONE = 0
EXIT_NOT_DONE = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_LAGGING = 5

EXIT_BY_OUTCOME = {
    ApplyOutcome.APPLIED: EXIT_DONE,
    ApplyOutcome.UNCHANGED: EXIT_DONE,
    ApplyOutcome.CONFLICT: EXIT_CONFLICT,
    ApplyOutcome.NOT_APPLIED: EXIT_NOT_DONE,
    ApplyOutcome.UNKNOWN: EXIT_UNKNOWN,
}

METRICS_TIMEOUT_S = 2.0

Command = Callable[[OperatorSession, Printer], Awaitable[int]]


def make_app() -> App:
    """Return the command-line application."""
    app = App(
        name="redwingctl",
        version=__version__,
        help=__doc__,
        config=Env("REDWING_", command=False),
        result_action="return_value",
    )
    app.register_install_completion_command()
    for command in (
        validate,
        plan,
        apply,
        get,
        history,
        rollback,
        status,
        drain,
        explain,
        organisations,
        schema,
    ):
        app.command(command)
    return app


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = make_app()(given, exit_on_error=False, print_error=True)
    except CycloptsError:
        return EXIT_FINDINGS
    return result if isinstance(result, int) else EXIT_DONE


def validate(paths: tuple[str, ...], /, *, flags: OutputFlags = DEFAULT_OUTPUT) -> int:
    """Check declaration files and report every finding with its file, line and column.

    Parameters
    ----------
    paths : tuple of str
        Files or directories.
    """
    printer = Printer(flags.output)

    def check() -> int:
        declarations = parse_declarations(read_declaration_files(paths))
        organisations = len(declarations.organisations_by_name)
        printer.show(
            f"valid: {organisations} organisations", {"organisations": organisations}, findings=[]
        )
        return EXIT_DONE

    return _report_findings(check, printer)


def plan(
    paths: tuple[str, ...],
    /,
    *,
    cell: CellFlags = DEFAULT_CELL,
    change: ChangeFlags = DEFAULT_CHANGE,
) -> int:
    """Show what an apply would change, and the effect on running work.

    Parameters
    ----------
    paths : tuple of str
        Files or directories.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        files = read_declaration_files(paths)
        result = await make_plan(session.store, files, change.base, change.prune)
        change_set = result.change_set
        printer.show(
            f"{len(change_set.changes)} documents would change, {len(change_set.conflicts)} "
            f"conflict; revision {result.revision} is in force",
            {"revision": result.revision, "kept": change_set.kept_keys},
            changes=change_rows(change_set.changes),
            impacts=impact_rows(result.impacts),
            conflicts=conflict_rows(change_set.conflicts),
        )
        return EXIT_CONFLICT if change_set.conflicts else EXIT_DONE

    return _run(cell, execute)


def apply(
    paths: tuple[str, ...],
    /,
    *,
    cell: CellFlags = DEFAULT_CELL,
    change: ChangeFlags = DEFAULT_CHANGE,
) -> int:
    """Put declaration files in force: either all changes take effect or none.

    Parameters
    ----------
    paths : tuple of str
        Files or directories.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        files = read_declaration_files(paths)
        options = change.options()
        nonce = uuid.uuid4().hex
        result = await apply_declarations(session.store, files, time.time(), nonce, options)
        return _show_apply(printer, result)

    return _run(cell, execute)


def get(
    name: str = "",
    /,
    *,
    effective: Annotated[bool, Parameter(negative="")] = False,
    cell: CellFlags = DEFAULT_CELL,
) -> int:
    """Show the documents or the effective values that are in force.

    Parameters
    ----------
    name : str
        template/NAME, organisation/NAME, or ORGANISATION/SERVICE with --effective; all documents
        by default.
    effective : bool
        Show every value of a service and where it is declared.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        live = await read_live_set(session.store)
        if effective:
            return show_effective(live, name, printer)
        if not name:
            return list_documents(live, printer)
        return print_document(live, name, printer)

    return _run(cell, execute)


def history(*, limit: int = 20, cell: CellFlags = DEFAULT_CELL) -> int:
    """Show the newest revisions.

    Parameters
    ----------
    limit : int
        Number of revisions to show.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        records = (await read_history(session.store))[-limit:][::-1]
        rows = [
            {
                "revision": record.revision,
                "applied": time.strftime("%F %T", time.gmtime(record.applied_at_unix_s)),
                "author": record.author,
                "note": record.note,
                "documents": ", ".join(sorted(record.before)),
            }
            for record in records
        ]
        printer.show(f"{len(rows)} revisions, newest first, times in UTC", {}, revisions=rows)
        return EXIT_DONE

    return _run(cell, execute)


def rollback(
    revision: int,
    /,
    *,
    cell: CellFlags = DEFAULT_CELL,
    change: ChangeFlags = DEFAULT_CHANGE,
) -> int:
    """Make a new revision with the documents of an earlier revision.

    Parameters
    ----------
    revision : int
        Number of the earlier revision.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        options = change.options()
        nonce = uuid.uuid4().hex
        result = await roll_back(session.store, revision, time.time(), nonce, options)
        return _show_apply(printer, result)

    return _run(cell, execute)


def status(*, cell: CellFlags = DEFAULT_CELL) -> int:
    """Show the revision in force at each node, and which nodes lag or are cut off."""

    async def execute(session: OperatorSession, printer: Printer) -> int:
        lines = await session.read_nodes()
        reported = [line.report.revision for line in lines if line.report]
        try:
            newest = (await read_live_set(session.store)).head.revision
            store = "reached"
        except PlatformError as error:
            newest, store = max(reported, default=0), str(error)
        lagging = [line.name for line in lines if line.lag(newest) or line.problem]
        printer.show(
            f"revision {newest}; {len(lines) - len(lagging)} of {len(lines)} nodes have it; "
            f"store: {store}",
            {"revision": newest, "lagging": lagging, "store": store},
            nodes=node_rows(lines, newest),
        )
        return EXIT_LAGGING if lagging or store != "reached" else EXIT_DONE

    return _run(cell, execute)


def drain(
    vm: str,
    /,
    *,
    undo: Annotated[bool, Parameter(negative="")] = False,
    cell: CellFlags = DEFAULT_CELL,
) -> int:
    """Drain a worker's VM of its tasks, or send an upstream's VM no new requests.

    Parameters
    ----------
    vm : str
        The VM's name on the platform's list.
    undo : bool
        Let the worker receive tasks again; not possible for an upstream.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        done = await session.drain(vm, is_draining=not undo)
        printer.show(done, {"vm": vm, "draining": not undo})
        return EXIT_DONE

    return _run(cell, execute)


def explain(identifier: str, /, *, cell: CellFlags = DEFAULT_CELL) -> int:
    """Show why a job or task waits, or where it ran.

    Parameters
    ----------
    identifier : str
        Id of a job, or of a task as JOB/INDEX.
    """

    async def execute(session: OperatorSession, printer: Printer) -> int:
        lines = await session.explain(identifier)
        printer.show_document("\n".join(lines), {"id": identifier, "lines": lines})
        return EXIT_DONE

    return _run(cell, execute)


def organisations(
    addresses: tuple[str, ...],
    /,
    *,
    timeout_s: float = METRICS_TIMEOUT_S,
    flags: OutputFlags = DEFAULT_OUTPUT,
) -> int:
    """Show what the organisations of a cell of `redwing-node` use, and the refused requests.

    Usage is as of the owner's last report, which is at most 10 s old.

    Parameters
    ----------
    addresses : tuple of str
        IP:PORT of the metrics of all nodes.
    timeout_s : float
        Timeout of a single call, in seconds.
    """
    printer = Printer(flags.output)

    def show() -> int:
        reading = asyncio.run(read_cell(addresses, timeout_s))
        rows = organisation_rows(reading.lines)
        refused = [
            {"cause": cause, "requests": count}
            for cause, count in sorted(reading.refused_by_cause.items())
        ]
        printer.show(
            _organisations_headline(reading),
            {"owners": reading.owners, "silent": reading.silent},
            organisations=rows,
            refused=refused,
        )
        is_complete = bool(reading.owners) and not reading.silent
        return EXIT_DONE if is_complete else EXIT_LAGGING

    return _report_findings(show, printer)


def _organisations_headline(reading: CellReading) -> str:
    owner = f"owner {reading.owners[0]}" if reading.owners else "no node owns the jobs"
    silent = f"; no answer from {', '.join(reading.silent)}" if reading.silent else ""
    return f"{len(reading.lines)} organisations; {owner}{silent}"


def schema() -> int:
    """Print the JSON Schema of declaration files."""
    print(json.dumps(make_schema(), indent=2))
    return EXIT_DONE


def _run(cell: CellFlags, command: Command) -> int:
    async def run() -> int:
        session = open_operator_session(cell.addresses())
        try:
            return await command(session, printer)
        finally:
            await session.close()

    printer = Printer(cell.output)
    return _report_findings(lambda: asyncio.run(capnp.run(run())), printer)


def _report_findings(command: Callable[[], int], printer: Printer) -> int:
    try:
        return command()
    except FindingsError as error:
        rows = finding_rows(error.findings)
        text = "\n".join(str(finding) for finding in error.findings)
        printer.show_document(f"{text}\n{len(rows)} findings", {"findings": rows})
        return EXIT_FINDINGS
    except (HistoryTooShortError, InvalidValueError, UnknownTargetError) as error:
        print_error(str(error))
        return EXIT_FINDINGS
    except RedwingError as error:
        print_error(str(error))
        return EXIT_NOT_DONE


def _show_apply(printer: Printer, result: ApplyResult) -> int:
    headlines = {
        ApplyOutcome.APPLIED: f"revision {result.revision} is in force",
        ApplyOutcome.UNCHANGED: f"nothing to change, revision {result.revision} is in force",
        ApplyOutcome.CONFLICT: "not applied: others changed the same documents; plan again with "
        f"--base {result.revision}",
        ApplyOutcome.NOT_APPLIED: f"not applied: {result.detail}",
        ApplyOutcome.UNKNOWN: f"the outcome is unknown: {result.detail}",
    }
    printer.show(
        headlines[result.outcome],
        {
            "outcome": result.outcome,
            "revision": result.revision,
            "detail": result.detail,
            "kept": result.kept_keys,
        },
        changes=change_rows(result.changes),
        conflicts=conflict_rows(result.conflicts),
    )
    return EXIT_BY_OUTCOME[result.outcome]


if __name__ == "__main__":
    sys.exit(main())
