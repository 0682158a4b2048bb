import socket

from redwingplank.runtime.metrics import MetricsReporter


class TestMetricsReporter:
    def test_sends_each_gauge_under_its_full_name(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5.0)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            reporter = MetricsReporter(address, "redwing.test", {"store": lambda: {"calls": 7}})
            reporter.send()
            received = server.recv(2000).decode().splitlines()
        assert "redwing.test.store.calls:7|g" in received
        assert any(line.startswith("redwing.test.process.cpu_s:") for line in received)
