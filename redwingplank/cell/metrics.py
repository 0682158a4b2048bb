"""Counters and latency histograms of a node, served in the Prometheus text format."""

from typing import Any

import falcon.asgi
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from redwingplank.cell.organisation_metrics import OrganisationMetrics
from redwingplank.platform.http.limits import Refusal

__all__ = ["METRICS_PATH", "NodeMetrics", "make_metrics_app"]

METRICS_PATH = "/metrics"
_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class NodeMetrics:
    """Metrics of a node; each log event is counted as well."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._events = Counter(
            "redwing_events", "Events of the log by name", ["event"], registry=self.registry
        )
        self._counters_by_event: dict[str, Counter] = {}
        self.is_owner = Gauge(
            "redwing_is_owner", "1 while this node owns the jobs", registry=self.registry
        )
        self.jobs = Gauge("redwing_jobs", "Jobs that the owner knows", registry=self.registry)
        self.open_steps = Gauge(
            "redwing_open_steps", "Steps with tasks to start", registry=self.registry
        )
        self.interfering_pairs = Gauge(
            "redwing_interfering_pairs",
            "Pairs of a subject and a neighbour that slows it down",
            registry=self.registry,
        )
        self.workers = Gauge("redwing_workers", "Workers that answer", registry=self.registry)
        self.log_lines_lost = Gauge(
            "redwing_log_lines_lost", "Lines that nobody read in time", registry=self.registry
        )
        self.resident_mib = Gauge(
            "redwing_resident_mib", "Resident memory of the process", registry=self.registry
        )
        self.is_config_rejected = Gauge(
            "redwing_config_rejected",
            "1 while the newest configuration is not in force because it is invalid",
            registry=self.registry,
        )
        self.refused_requests = Counter(
            "redwing_refused_requests",
            "Requests of callers that were refused for their key, by cause",
            ["cause"],
            registry=self.registry,
        )
        self._client_refusals = Counter(
            "redwing_client_refusals",
            "Clients that were refused, or whose connections were closed, by reason",
            ["reason"],
            registry=self.registry,
        )
        self._submissions = Counter(
            "redwing_submissions",
            "Submissions by outcome and what decided it",
            ["outcome", "cause"],
            registry=self.registry,
        )
        self.organisations = OrganisationMetrics(self.registry)
        self._store_calls = Histogram(
            "redwing_store_call_seconds",
            "From a call of the store to its answer",
            ["call"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.passes = self._histogram("redwing_pass_seconds", "One tick of the owner")
        self._histograms_by_event = {
            event: (self._histogram(name, text), field)
            for event, name, text, field in (
                ("submit", "redwing_submit_seconds", "From a submission to its answer", "age_s"),
                (
                    "start_planned",
                    "redwing_task_wait_seconds",
                    "From a task's turn to the choice of its worker",
                    "waited_s",
                ),
                (
                    "start_answered",
                    "redwing_start_order_seconds",
                    "From an order to start to its answer",
                    "took_s",
                ),
                ("run_ended", "redwing_run_seconds", "From a start to its end", "run_s"),
                ("advice", "redwing_advice_seconds", "From a question to its advice", "took_s"),
                ("job_ended", "redwing_job_seconds", "From a submission to the end", "after_s"),
            )
        }

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(name, text, buckets=_BUCKETS_S, registry=self.registry)

    def record_event(self, event: str, fields: dict[str, Any]) -> None:
        """Count a log event, and observe its duration if the event has a histogram."""
        counter = self._counters_by_event.get(event)
        if counter is None:
            counter = self._counters_by_event[event] = self._events.labels(event)
        counter.inc()
        histogram_and_field = self._histograms_by_event.get(event)
        if histogram_and_field is not None and histogram_and_field[1] in fields:
            histogram_and_field[0].observe(fields[histogram_and_field[1]])

    def record_client_refusal(self, reason: Refusal) -> None:
        """Count a client that was refused, or whose connection was closed."""
        self._client_refusals.labels(reason.value).inc()

    def record_submission(self, outcome: str, cause: str) -> None:
        """Count a submission by its outcome and what decided that."""
        self._submissions.labels(outcome, cause).inc()

    def record_store_call(self, call: str, took_s: float) -> None:
        """Observe the duration of a store call; one without an answer counts with its time-out."""
        self._store_calls.labels(call).observe(took_s)

    def render(self) -> bytes:
        """Return all values in the Prometheus text format."""
        return generate_latest(self.registry)


class _MetricsResource:
    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        resp.data = self._metrics.render()
        resp.content_type = CONTENT_TYPE_LATEST


def make_metrics_app(metrics: NodeMetrics) -> falcon.asgi.App:
    """Return the HTTP application that serves the metrics."""
    app = falcon.asgi.App()
    app.add_route(METRICS_PATH, _MetricsResource(metrics))
    return app
