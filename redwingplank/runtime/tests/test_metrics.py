import socket

from redwingplank.core import make_resources
from redwingplank.runtime.metrics import MetricsReporter
from redwingplank.runtime.scheduler import summary_gauges
from redwingplank.scheduling.summary import ShardSummary


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


class TestSummaryGauges:
    def test_names_queues_waits_and_packing(self):
        summary = ShardSummary(
            shard="d1",
            free=make_resources(1000, 0),
            capacity=make_resources(4000, 0),
            waiting_by_class=(1, 2, 3),
            predicted_wait_s_by_class=(0.1, 0.2, 0.3),
            running_count=7,
            worker_count=4,
            open_worker_count=3,
            quarantined_count=1,
        )
        gauges = summary_gauges(summary)
        assert gauges["waiting.bulk"] == 3
        assert gauges["expected_wait_s.urgent"] == 0.1
        assert gauges["reserved_fraction.millicores"] == 0.75
        assert gauges["reserved_fraction.memory_mib"] == 0.0
