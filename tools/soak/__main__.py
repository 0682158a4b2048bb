"""Command line of the soak: ``python -m tools.soak --seeds 1-10 --for 20``."""

import asyncio
import logging
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import cyclopts

from tools.soak.run import Result, Soak, SoakOptions

ROOT = Path(__file__).resolve().parents[2]
MAX_NODES = 32
EXIT_COULD_NOT_RUN = 2

app = cyclopts.App(name="soak", help=__doc__, result_action="return_value")


@app.default
def main(
    *,
    seed: int = 1,
    seeds: str = "",
    length_s: Annotated[float, cyclopts.Parameter(name="--for")] = 20.0,
    nodes: int = 5,
    tree: Path = ROOT,
    keep: Path | None = None,
) -> int:
    """Play seeds one after another; exit with 1 if a rule was broken.

    Parameters
    ----------
    seed
        Seed to play.
    seeds
        Range of seeds such as 1-10, in place of one.
    length_s
        Seconds of traffic for each seed.
    nodes
        Number of nodes, up to 32.
    tree
        The checkout whose redwing-node is run.
    keep
        Folder that receives logs and records of all seeds; without it, those of seeds with a
        violation stay in a temporary folder.
    """
    if not 1 <= nodes <= MAX_NODES:
        print(f"soak: --nodes has to be from 1 to {MAX_NODES}", file=sys.stderr)
        return EXIT_COULD_NOT_RUN
    first, _, last = (seeds or str(seed)).partition("-")
    is_broken = False
    for number in range(int(first), int(last or first) + 1):
        folder = _make_folder(keep, number)
        result = _play(SoakOptions(number, length_s, nodes, tree.resolve(), folder))
        if result is None:
            return EXIT_COULD_NOT_RUN
        is_broken |= bool(result.violations)
        if keep is None and not result.violations and not result.untrue:
            shutil.rmtree(folder)
    return int(is_broken)


def _play(options: SoakOptions) -> Result | None:
    """Play a seed and print its outcome; return None if it was ended by a signal."""
    _log_to(options.folder)
    try:
        result = asyncio.run(Soak(options).run())
    except (asyncio.CancelledError, KeyboardInterrupt):
        print(f"seed {options.seed}: ended by a signal", file=sys.stderr)
        return None
    _show(result, options)
    return result


def _make_folder(keep: Path | None, seed: int) -> Path:
    if keep is None:
        return Path(tempfile.mkdtemp(prefix=f"redwing-soak-{seed}-"))
    folder = keep.resolve() / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _log_to(folder: Path) -> None:
    """Write what the stand-ins log to a file: calls that are cut at the end of a run, too."""
    logging.basicConfig(filename=folder / "standins.log", force=True)


def _show(result: Result, options: SoakOptions) -> None:
    print(result, flush=True)
    for found in (*result.violations, *result.untrue):
        print(f"  {found}")
    if not result.violations:
        return
    print(f"  logs: {options.folder}")
    print(
        f"  again: python -m tools.soak --seed {options.seed} --for {options.length_s:g}"
        f" --nodes {options.nodes} --tree {options.tree}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(app())
