"""Step definitions of the failure scenarios."""

import os
import signal
import time
import uuid
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features.support.callers import CallerPool, JobSubmission, RequestSpec
from redwingplank.standin.callers import Ran
from redwingplank.standin.checks import check_history, make_checked_run
from redwingplank.standin.history import HistoryEventKind, event_from_dict
from tools.local_cell import ROOT, CellLayout, LocalCell, wait_until

DOMAINS = ("north", "middle", "south")
EXAMPLES: tuple[Path, ...] = (ROOT / "examples" / "bureau", ROOT / "examples" / "cooperative")
ORGANISATION, JOB_SERVICE = "state-orchestra", "part-extraction"
QUICK = RequestSpec("tokachi", "quick-quote", b"a table")
FIRST_PORT = int(os.environ.get("REDWING_TEST_PORT", "17600"))
LOAD_PAUSE_S = 0.02  # of each caller between two requests
MIN_ANSWERED_REQUESTS = 20  # before a scenario continues


@given("a cell of 3 failure domains")
def start_cell(context: Context) -> None:
    layout = CellLayout(
        entries_by_domain=dict(zip(DOMAINS, (3, 2, 2), strict=True)),
        schedulers_by_domain=dict.fromkeys(DOMAINS, 2),
        first_port=FIRST_PORT,
    )
    context.cell = LocalCell(layout)
    context.cell.start(EXAMPLES)
    context.callers = CallerPool([node.http_address for node in context.cell.entries])
    wait_until("every shard has an owner", lambda: len(context.cell.read_owners()) == len(DOMAINS))


@given("requests flow from {count:d} callers")
def start_load(context: Context, count: int) -> None:
    context.callers.start_load(QUICK, LOAD_PAUSE_S, count)
    wait_until("the load is answered", lambda: count_answered(context) >= MIN_ANSWERED_REQUESTS)


@given("{count:d} jobs of {tasks:d} tasks that run {run_s:g} s are submitted")
@when("{count:d} jobs of {tasks:d} tasks that run {run_s:g} s are submitted")
def submit_jobs(context: Context, count: int, tasks: int, run_s: float) -> None:
    for _ in range(count):
        submission = JobSubmission(ORGANISATION, JOB_SERVICE, tasks, run_s, uuid.uuid4().hex)
        context.callers.run(context.callers.submit(submission))


@when("the owner of every shard is killed with SIGKILL")
def kill_owners(context: Context) -> None:
    context.old_owners = context.cell.read_owners()
    for name in context.old_owners.values():
        context.cell.kill(name)


@when("the owner of every shard is stopped with SIGSTOP")
def pause_owners(context: Context) -> None:
    context.old_owners = context.cell.read_owners()
    for name in context.old_owners.values():
        context.cell.signal(name, signal.SIGSTOP)


@when("every stopped process goes on")
def resume_owners(context: Context) -> None:
    for name in context.old_owners.values():
        context.cell.signal(name, signal.SIGCONT)


@then("every shard has another owner")
def check_other_owners(context: Context) -> None:
    def is_changed() -> bool:
        owners = context.cell.read_owners()
        return len(owners) == len(DOMAINS) and all(
            owners[shard] != name for shard, name in context.old_owners.items()
        )

    wait_until("every shard has another owner", is_changed)


@then("every job ends as succeeded")
def check_jobs(context: Context) -> None:
    context.callers.run(context.callers.wait_jobs_ended())
    states = {job.job_id: job.last_state for job in context.callers.records().jobs}
    assert set(states.values()) == {"succeeded"}, states


@given("upstreams take {service_time_s:g} s for a request")
def slow_upstreams(context: Context, service_time_s: float) -> None:
    for name in context.cell.upstream_names():
        context.cell.post_admin(f"/upstreams/{name}", {"service_time_s": service_time_s})


@given("{count:d} orders are sent to one entry")
def send_orders(context: Context, count: int) -> None:
    context.killed_entry = context.cell.entries[0]
    context.orders = [
        RequestSpec("tokachi", "order", f"shellac {index}".encode(), uuid.uuid4().hex)
        for index in range(count)
    ]
    context.first_sends = [
        context.callers.begin(context.callers.send(order, context.killed_entry.http_address))
        for order in context.orders
    ]


@when("that entry is killed once an upstream runs an order")
def kill_entry(context: Context) -> None:
    wait_until("an upstream runs an order", lambda: bool(read_request_starts(context)))
    context.cell.kill(context.killed_entry.name)
    for send in context.first_sends:
        send.result()


@when("the orders are repeated through the other entries")
def repeat_orders(context: Context) -> None:
    other_addresses = [node.http_address for node in context.cell.entries[1:]]
    sends = [
        context.callers.begin(
            context.callers.send_until_settled(order, other_addresses[index % len(other_addresses)])
        )
        for index, order in enumerate(context.orders)
    ]
    context.repeated_records = [send.result() for send in sends]


@then("every order has one answer or is unknown")
def check_orders(context: Context) -> None:
    assert all(
        record.ran in (Ran.YES, Ran.UNKNOWN) for record in context.repeated_records
    ), context.callers.refusals


@then("{count:d} new orders through the other entries are answered")
def check_new_orders(context: Context, count: int) -> None:
    other_addresses = [node.http_address for node in context.cell.entries[1:]]
    for index in range(count):
        order = RequestSpec("tokachi", "order", f"varnish {index}".encode(), uuid.uuid4().hex)
        coroutine = context.callers.send_until_settled(
            order, other_addresses[index % len(other_addresses)]
        )
        record = context.callers.begin(coroutine).result()
        assert record.ran is Ran.YES, context.callers.refusals


@when("the store is away for {away_s:g} s")
def stop_store(context: Context, away_s: float) -> None:
    context.answered_before = count_answered(context)
    context.cell.post_admin("/faults/store", {"is_down": True})
    time.sleep(away_s)
    context.answered_after = count_answered(context)
    context.cell.post_admin("/faults/store", {"is_down": False})


@when("one failure domain is cut off from the store for {away_s:g} s")
def cut_domain_off(context: Context, away_s: float) -> None:
    context.answered_before = count_answered(context)
    context.cell.cut_store(DOMAINS[0], is_cut=True)
    time.sleep(away_s)
    context.answered_after = count_answered(context)
    context.cell.cut_store(DOMAINS[0], is_cut=False)


@then("requests were answered while it was away")
def check_answered(context: Context) -> None:
    assert context.answered_after > context.answered_before


@when("every entry is stopped with SIGTERM and started again, one after the other")
def replace_entries(context: Context) -> None:
    context.exit_codes = {}
    for node in context.cell.entries:
        context.exit_codes[node.name] = context.cell.stop_gracefully(node.name)
        context.cell.start_node(node.name)
        context.cell.wait_ready(node.name)


@then("each of them exited with 0")
def check_exit_codes(context: Context) -> None:
    assert set(context.exit_codes.values()) == {0}, context.exit_codes


@then("every request of the load was answered")
def check_load(context: Context) -> None:
    context.callers.stop_load()
    records = context.callers.records().requests
    assert not [record for record in records if record.is_cut]
    refused = [record for record in records if record.ran is not Ran.YES]
    assert not refused, (len(refused), context.callers.refusals[:5])


@then("every promise was kept")
def check_promises(context: Context) -> None:
    check_callers_against_history(context, is_cut_allowed=False)


@then("every promise was kept even if answers were cut")
def check_promises_with_cuts(context: Context) -> None:
    check_callers_against_history(context, is_cut_allowed=True)


def check_callers_against_history(context: Context, is_cut_allowed: bool) -> None:
    """Check the history against the records of the callers; fail with all findings."""
    context.callers.stop_load()
    run = make_checked_run(
        read_history(context),
        context.callers.records(),
        slots_by_upstream=dict.fromkeys(context.cell.upstream_names(), context.cell.upstream_slots),
        is_cut_allowed=is_cut_allowed,
    )
    findings = check_history(run)
    assert run.tasks or run.requests, "the history has no task and no request"
    assert not findings, "\n".join(map(str, findings))


def read_history(context: Context) -> list:
    """Return the events that the stand-ins have recorded so far."""
    return [event_from_dict(event) for event in context.cell.get_admin("/history")]


def read_request_starts(context: Context) -> list:
    """Return the events of requests that upstreams have started."""
    return [
        event for event in read_history(context) if event.kind is HistoryEventKind.REQUEST_STARTED
    ]


def count_answered(context: Context) -> int:
    """Return the number of requests for which callers have received a complete answer."""
    return sum(record.ran is Ran.YES for record in context.callers.records().requests)
