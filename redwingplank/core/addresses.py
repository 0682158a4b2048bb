"""Checks network addresses that other processes have written."""

import ipaddress

from redwingplank.core.errors import InvalidValueError

__all__ = ["check_address"]

MAX_PORT = 65_535


def check_address(address: str) -> None:
    """Raise an error unless a connection to `address` can be tried.

    Parameters
    ----------
    address : str
        ``"IP:PORT"``, for version 6 ``"[IP]:PORT"``.

    Raises
    ------
    InvalidValueError
        The host is no IP address, or the port is not between 1 and 65,535.
    """
    host, _, port = address.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ipaddress.ip_address(host[1:-1] if is_bracketed else host).version
    except ValueError:
        raise InvalidValueError("the host of an address is no IP address") from None
    if (version == 6) is not is_bracketed:
        raise InvalidValueError("put an address of version 6, and no other, into brackets")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise InvalidValueError(f"the port of an address is not between 1 and {MAX_PORT}")
