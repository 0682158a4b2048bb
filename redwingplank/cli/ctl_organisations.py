"""What the organisations of a cell use, read from the metrics of its nodes."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from redwingplank.core import RedwingError, check_address

__all__ = [
    "CellReading",
    "NodeReading",
    "OrganisationLine",
    "UnreachableCellError",
    "make_reading",
    "organisation_rows",
    "parse_node_metrics",
    "read_cell",
]

METRICS_PATH = "/metrics"
OWNER_METRIC = "redwing_is_owner"
REFUSED_METRIC = "redwing_refused_requests_total"
ORGANISATION_PREFIX = "redwing_organisation_"
RESOURCES = ("millicores", "memory_mib", "gpus")


class UnreachableCellError(RedwingError):
    """No node of the cell answered."""


@dataclass(frozen=True, slots=True)
class OrganisationLine:
    """What an organisation uses.

    Parameters
    ----------
    name : str
        Name of the organisation, or ``"(rest)"`` for the sum of those without a line of their own.
    weight : float
        Weight in the configuration.
    share : float
        Fraction of the cell's capacity of the resource that it uses most of.
    used_by_resource, quota_by_resource : dict of str to int
        Amounts in millicores, MiB and GPUs; a quota of 0 is none.
    waiting : int
        Jobs that were not started yet.
    """

    name: str
    weight: float
    share: float
    used_by_resource: dict[str, int]
    quota_by_resource: dict[str, int]
    waiting: int


@dataclass(frozen=True, slots=True)
class NodeReading:
    """Metrics of one node; `problem` tells why there are none.

    The lines of organisations are empty unless the node owns the jobs.
    """

    address: str
    is_owner: bool = False
    lines: tuple[OrganisationLine, ...] = ()
    refused_by_cause: Mapping[str, int] = field(default_factory=dict)
    problem: str = ""


@dataclass(frozen=True, slots=True)
class CellReading:
    """Lines of the owner, refused requests of all nodes, and the nodes that did not answer."""

    lines: tuple[OrganisationLine, ...]
    refused_by_cause: Mapping[str, int]
    owners: tuple[str, ...]
    silent: tuple[str, ...]


def parse_node_metrics(address: str, text: str) -> NodeReading:
    """Return the reading in a node's metrics in the Prometheus text format."""
    values_by_organisation: dict[str, dict[str, float]] = {}
    refused: Counter[str] = Counter()
    is_owner = False
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == OWNER_METRIC:
                is_owner = sample.value == 1
            elif sample.name == REFUSED_METRIC:
                refused[sample.labels["cause"]] += int(sample.value)
            elif sample.name.startswith(ORGANISATION_PREFIX):
                values = values_by_organisation.setdefault(sample.labels["organisation"], {})
                values[sample.name.removeprefix(ORGANISATION_PREFIX)] = sample.value
    lines = tuple(_make_line(*entry) for entry in values_by_organisation.items())
    return NodeReading(address, is_owner, lines if is_owner else (), refused)


def _make_line(name: str, values: Mapping[str, float]) -> OrganisationLine:
    return OrganisationLine(
        name,
        values.get("weight", 0.0),
        values.get("share", 0.0),
        {resource: int(values.get(f"used_{resource}", 0)) for resource in RESOURCES},
        {resource: int(values.get(f"quota_{resource}", 0)) for resource in RESOURCES},
        int(values.get("waiting_jobs", 0)),
    )


async def read_cell(addresses: Sequence[str], timeout_s: float) -> CellReading:
    """Read the metrics of all nodes.

    Parameters
    ----------
    addresses : sequence of str
        ``"IP:PORT"`` at which each node serves its metrics.
    timeout_s : float
        Time-out of each call in seconds.

    Raises
    ------
    InvalidValueError
        An address is not valid.
    UnreachableCellError
        No node answered.
    """
    for address in addresses:
        check_address(address)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout, raise_for_status=True) as session:
        readings = await asyncio.gather(*(_read_node(session, each) for each in addresses))
    return make_reading(readings)


async def _read_node(session: aiohttp.ClientSession, address: str) -> NodeReading:
    try:
        async with session.get(f"http://{address}{METRICS_PATH}") as response:
            return parse_node_metrics(address, await response.text())
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return NodeReading(address, problem=repr(error))


def make_reading(readings: Iterable[NodeReading]) -> CellReading:
    """Combine the readings of nodes.

    While the ownership changes hands, two nodes may report it; the lines are those of the first.

    Raises
    ------
    UnreachableCellError
        No node answered.
    """
    answered: list[NodeReading] = []
    silent: list[NodeReading] = []
    for reading in readings:
        (silent if reading.problem else answered).append(reading)
    if not answered:
        problems = ", ".join(f"{each.address}: {each.problem}" for each in silent)
        raise UnreachableCellError(f"no node answered ({problems}): check the addresses")
    refused: Counter[str] = Counter()
    for reading in answered:
        refused.update(reading.refused_by_cause)
    owners = [reading for reading in answered if reading.is_owner]
    return CellReading(
        owners[0].lines if owners else (),
        refused,
        tuple(owner.address for owner in owners),
        tuple(reading.address for reading in silent),
    )


def organisation_rows(lines: Sequence[OrganisationLine]) -> list[dict[str, Any]]:
    """Return one row for each organisation, those that use most of their fair share first."""
    total_weight = sum(line.weight for line in lines)
    rows = []
    for line in sorted(lines, key=lambda line: (-_excess(line, total_weight), line.name)):
        fair_share = line.weight / total_weight if total_weight else 0.0
        row = {
            "organisation": line.name,
            "share": f"{line.share:.3f}",
            "fair_share": f"{fair_share:.3f}",
            "waiting": line.waiting,
        }
        for resource in RESOURCES:
            used, quota = line.used_by_resource[resource], line.quota_by_resource[resource]
            row[resource] = f"{used}/{quota}" if quota else f"{used}/-"
        rows.append(row)
    return rows


def _excess(line: OrganisationLine, total_weight: float) -> float:
    """Return the share of an organisation relative to its fair one."""
    return line.share * total_weight / line.weight if line.weight else line.share
