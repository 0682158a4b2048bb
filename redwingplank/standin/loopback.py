"""Free addresses on the loopback interface for servers that are started a moment later."""

import itertools
import os
import socket

__all__ = ["find_free_address"]

LOOPBACK_IP = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the ports that the kernel gives to outgoing connections, which begin at 32768 on Linux. One
of those could take a port between the search and the start of the server."""
PORTS_PER_PROCESS = 500
"""Distance between the first ports of processes with successive ids."""

_offsets = itertools.count()


def find_free_address() -> str:
    """Return ``"IP:PORT"`` of a port that nobody listens on; each call returns another one."""
    port_count = LAST_PORT - FIRST_PORT
    for offset in itertools.islice(_offsets, port_count):
        port = FIRST_PORT + (os.getpid() * PORTS_PER_PROCESS + offset) % port_count
        if _is_free(port):
            return f"{LOOPBACK_IP}:{port}"
    raise OSError(f"no port of {LOOPBACK_IP} is free")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK_IP, port))
        except OSError:
            return False
    return True
