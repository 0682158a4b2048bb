"""`redwingctl organisations`, from the metrics of nodes over HTTP."""

import asyncio
import json
from collections import Counter

import pytest

from redwingplank.batch.model import Amounts
from redwingplank.batch.organisations import BatchUsage
from redwingplank.cell.metrics import NodeMetrics, make_metrics_app
from redwingplank.cli import ctl
from redwingplank.cli.ctl_organisations import (
    NodeReading,
    UnreachableCellError,
    make_reading,
    organisation_rows,
    parse_node_metrics,
    read_cell,
)
from redwingplank.core import InvalidValueError
from redwingplank.platform.http.server import serve_http
from redwingplank.standin.loopback import find_free_address


def make_metrics(is_owner: bool, refused: int = 0) -> NodeMetrics:
    metrics = NodeMetrics()
    metrics.is_owner.set(is_owner)
    metrics.refused_requests.labels("unknown_key").inc(refused)
    usages = [
        BatchUsage("small", weight=3.0, used=[500, 64, 0], quota=Amounts(1000, 0, 0)),
        BatchUsage("flood", weight=1.0, used=[6000, 512, 0]),
    ]
    shares = {"small": 0.05, "flood": 0.6}
    metrics.organisations.update(usages, Counter({"flood": 7}), shares)
    return metrics


def parse(metrics: NodeMetrics, address: str = "127.0.0.1:1") -> NodeReading:
    return parse_node_metrics(address, metrics.render().decode())


class TestReading:
    def test_the_lines_are_those_of_the_owner(self):
        """Guards against usage that a former owner still reports."""
        readings = [parse(make_metrics(False, 2)), parse(make_metrics(True, 3), "127.0.0.1:2")]
        reading = make_reading(readings)
        assert (reading.owners, reading.refused_by_cause) == (("127.0.0.1:2",), {"unknown_key": 5})
        rows = organisation_rows(reading.lines)
        assert [row["organisation"] for row in rows] == ["flood", "small"]
        assert rows[0] == {
            "organisation": "flood",
            "share": "0.600",
            "fair_share": "0.250",
            "waiting": 7,
            "millicores": "6000/-",
            "memory_mib": "512/-",
            "gpus": "0/-",
        }
        assert rows[1]["millicores"] == "500/1000"

    def test_a_cell_without_owner_has_no_lines(self):
        """Guards against old figures shown as present ones while nobody owns the jobs."""
        reading = make_reading([parse(make_metrics(False)), NodeReading("b", problem="no answer")])
        assert (reading.lines, reading.owners, reading.silent) == ((), (), ("b",))

    def test_no_answer_and_bad_addresses_are_errors(self):
        """Guards against an empty table that looks like an idle cell."""
        with pytest.raises(UnreachableCellError, match="a: refused"):
            make_reading([NodeReading("a", problem="refused")])
        with pytest.raises(InvalidValueError):
            asyncio.run(read_cell(["node:9464"], 1.0))


class TestCommand:
    def test_shows_json_and_tells_of_silent_nodes_by_the_exit_code(self, capsys):
        """Guards against a partial answer that a program takes for a whole one."""

        async def serve_and_run(addresses: list[str], silent: list[str]) -> int:
            servers = [
                await serve_http(make_metrics_app(make_metrics(number == 0)), [address])
                for number, address in enumerate(addresses)
            ]
            arguments = ["organisations", *addresses, *silent, "--output", "json"]
            code = await asyncio.to_thread(ctl.main, arguments)
            for server in servers:
                await server.stop()
            return code

        nodes = [find_free_address(), find_free_address()]
        assert asyncio.run(serve_and_run(nodes, [])) == ctl.EXIT_DONE
        shown = json.loads(capsys.readouterr().out)
        assert (shown["owners"], len(shown["organisations"])) == (nodes[:1], 2)
        assert asyncio.run(serve_and_run(nodes, [find_free_address()])) == ctl.EXIT_LAGGING
        assert asyncio.run(serve_and_run([], [find_free_address()])) == ctl.EXIT_NOT_DONE
        assert asyncio.run(serve_and_run([], ["nowhere"])) == ctl.EXIT_FINDINGS
