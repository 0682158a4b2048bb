"""Loads the Cap'n Proto schemas in the directory of this module."""

from functools import cache
from pathlib import Path
from typing import Any

import capnp

__all__ = ["MESSAGE_VERSION", "load_schema"]

MESSAGE_VERSION = 1

capnp.remove_import_hook()


@cache
def load_schema(name: str) -> Any:
    """Return the parsed schema of ``NAME.capnp`` in this package.

    Parameters
    ----------
    name : str
        File name without the extension.

    Notes
    -----
    pycapnp parses schemas at run time, so no generated code is needed.
    """
    return capnp.load(str(Path(__file__).with_name(f"{name}.capnp")))
