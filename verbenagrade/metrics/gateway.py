"""Metrics of a gateway, in addition to those of every process."""

from aioprometheus import Histogram

from verbenagrade.metrics.process import ProcessMetrics

__all__ = ["GatewayMetrics"]

LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0, 16.0]


class GatewayMetrics(ProcessMetrics):
    """Counters and latency histograms of one gateway."""

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = self.gauge("in_flight", "Calls being served.")
        self.configuration_version = self.gauge(
            "configuration_version", "Configuration version in use."
        )
        self.endpoints = self.gauge("endpoints", "Registered endpoints.")
        self._add_endpoint_metrics()
        self.store_era = self.gauge("store_era", "Era of the store, 0 if unknown.")
        self.budgets_settling = self.gauge(
            "budgets_settling", "Budgets that grant nothing since the era changed."
        )
        self.era_changes = self.counter(
            "era_changes", "Times that the store came back from an older copy."
        )
        self._add_budget_metrics()
        self.repeats = self.counter("repeats", "Calls retried on another endpoint.")
        self.responses = self.counter(
            "responses",
            "Responses of endpoints, by framing (length, chunks, connection) and by"
            " result: complete, or the failure.",
        )
        self.store_away = self.counter(
            "store_away", "Requests to the store without a response."
        )
        self.superseded_rows = self.counter(
            "superseded_rows", "Received rows that were outdated on arrival, by table."
        )
        self.table_bytes = self.counter(
            "table_bytes", "Bytes received for followed tables, by table."
        )
        self.table_transfer_s = self.histogram(
            "table_transfer_s", "Transfer time of a response with rows, by table."
        )
        self.first_answer_s = self.histogram(
            "first_answer_s", "Seconds until the first byte of a response, by kind."
        )
        self.duration_s = self.histogram(
            "duration_s", "Seconds until the end of a response, by kind."
        )

    def _add_budget_metrics(self) -> None:
        """Adds the metrics of reservations with the holders of budgets."""
        self.reservations = self.counter(
            "reservations",
            "Reservations of calls here, by result: own, holder, several, exhausted,"
            " unavailable.",
        )
        self.reservations_held = self.gauge(
            "reservations_held", "Reservations for calls of other VMs that go on."
        )
        self.settlements_waiting = self.gauge(
            "settlements_waiting", "Settlements that holders have not confirmed."
        )
        self.grant_s = self.histogram(
            "grant_s", "Seconds until the tokens of a call were reserved or refused."
        )

    def _add_endpoint_metrics(self) -> None:
        """Adds the metrics of responses, limits, versions, and ways to endpoints."""
        self.limited_endpoints = self.gauge(
            "limited_endpoints", "Endpoints that have named a limit on calls."
        )
        self.responses_invalid = self.counter(
            "responses_invalid", "Responses that were not valid ones of an endpoint."
        )
        self.permits_missing = self.counter(
            "permits_missing",
            "Choices of an endpoint whose limit left no call for this VM.",
        )
        self.stream_records = self.counter(
            "stream_records", "Software versions of streams that were recorded."
        )
        self.stream_versions_unknown = self.counter(
            "stream_versions_unknown",
            "Resumed streams whose software version was not known.",
        )
        self.cut_off = self.gauge(
            "cut_off", "1 while this VM reaches no endpoint directly."
        )
        self.calls_through_vms = self.counter(
            "calls_through_vms", "Calls sent through another VM, by result."
        )
        self.calls_of_vms = self.counter(
            "calls_of_vms", "Calls of other VMs, by result."
        )

    def histogram(self, name: str, description: str) -> Histogram:
        """Registers a histogram of latencies in seconds."""
        return Histogram(
            f"verbenagrade_{name}",
            description,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
