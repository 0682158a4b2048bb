"""Tests of free addresses on the loopback interface."""

import socket

from redwingplank.standin.loopback import FIRST_PORT, LAST_PORT, find_free_address


class TestFreeAddress:
    # Guards against a server that finds its port taken by an outgoing connection of the same tests.
    def test_is_outside_the_ports_of_outgoing_connections(self):
        ports = [int(find_free_address().rpartition(":")[2]) for _ in range(50)]
        assert len(set(ports)) == len(ports)
        assert all(FIRST_PORT <= port < LAST_PORT for port in ports)

    def test_is_not_in_use(self):
        host, _, port = find_free_address().rpartition(":")
        with socket.create_server((host, int(port) + 1)):
            assert find_free_address() != f"{host}:{int(port) + 1}"
