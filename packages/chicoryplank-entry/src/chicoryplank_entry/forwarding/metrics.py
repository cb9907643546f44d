"""Counters and latency histograms of request forwarding.

The values are kept in plain dictionaries. The Prometheus library is imported
only when the metrics are first requested, since its import is slow and callers
wait while an entry restarts.
"""

import bisect
import collections
import dataclasses
import functools
from collections.abc import Callable, Iterator, Mapping

from chicoryplank.admission import ShedReason
from chicoryplank.errors import ErrorCode
from chicoryplank.ids import AccountId
from chicoryplank.verdict import Verdict

_MAX_LABELS = 256
_OTHER = "other"
# Upper bounds of the histogram buckets, in seconds.
_LATENCY_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16)


@dataclasses.dataclass(slots=True)
class _Latencies:
    """Histogram of one label value; the last bucket is unbounded."""

    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(_LATENCY_S) + 1)
    )
    sum_s: float = 0.0

    def observe(self, elapsed_s: float) -> None:
        self.buckets[bisect.bisect_left(_LATENCY_S, elapsed_s)] += 1
        self.sum_s += elapsed_s


class ForwardingMetrics:
    """Metrics of the requests that one entry forwards."""

    def __init__(self) -> None:
        self._refusals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._failures: collections.Counter[str] = collections.Counter()
        self._rejections: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._permits: collections.Counter[str] = collections.Counter()
        self._ramps: collections.Counter[str] = collections.Counter()
        self._quarantined: collections.Counter[str] = collections.Counter()
        self._crashes: collections.Counter[str] = collections.Counter()
        self._holds: collections.Counter[str] = collections.Counter()
        self._skipped_responses = 0
        self._evacuated_zones = 0
        self._shed_clients: collections.Counter[str] = collections.Counter()
        self._first_output: dict[str, _Latencies] = {}
        self._total: dict[str, _Latencies] = {}

    def count_refusal(self, code: ErrorCode, verdict: Verdict) -> None:
        """Counts an error response that the entry generated."""
        self._refusals[code.value, verdict.value] += 1

    def count_failure(self, stage: str) -> None:
        """Counts a failed attempt."""
        self._failures[stage] += 1

    def count_rejection(
        self, echoed_id: str, is_connection_reused: bool
    ) -> None:
        """Counts a response that is taken as "not run".

        Args:
            echoed_id: Whether the response has the id of the request.
            is_connection_reused: Whether the connection had carried another
                request before.
        """
        connection = "reused" if is_connection_reused else "new"
        self._rejections[echoed_id, connection] += 1

    def count_permit(self, result: str) -> None:
        """Counts a question for a permit by its result.

        Args:
            result: "granted", "denied" or "no_reply"; or "expired" if a request
                was not sent since its permit was too old.
        """
        self._permits[result] += 1

    def count_ramp(self, result: str) -> None:
        """Counts a ramp that ended at its issuer.

        Args:
            result: "steady", "expired", "gone", "disabled" or "widespread".
        """
        self._ramps[result] += 1

    def count_crash(self, evidence: str) -> None:
        """Counts a crash of a replica: refused, restarted or known."""
        self._crashes[evidence] += 1

    def count_quarantined(self, result: str) -> None:
        """Counts a request with a feature in quarantine.

        Args:
            result: "refused", "probation" or "trial".
        """
        self._quarantined[result] += 1

    def count_hold(self, reason: str) -> None:
        """Counts a replica that began to get no new request."""
        self._holds[reason] += 1

    def set_evacuated_zones(self, count: int) -> None:
        """Sets the number of evacuated zones."""
        self._evacuated_zones = count

    def count_skipped_response(self) -> None:
        """Counts a response of a replica to another request."""
        self._skipped_responses += 1

    def count_shed_client(self, reason: ShedReason) -> None:
        """Counts a client that is shed for the memory that clients take."""
        self._shed_clients[reason.value] += 1

    def observe_first_output(self, route: str, elapsed_s: float) -> None:
        """Records the time to the first output."""
        _get_latencies(self._first_output, route).observe(elapsed_s)

    def observe_response(
        self, route: str, account: AccountId | None, elapsed_s: float
    ) -> None:
        """Records the time to the end of a response."""
        name = route if account is None else account
        _get_latencies(self._total, name).observe(elapsed_s)

    def _list_counters(
        self,
    ) -> Iterator[tuple[str, str, list[str], Mapping[tuple[str, ...], int]]]:
        """Yields name, help text, labels and counts by label values."""
        prefix = "chicoryplank_forwarding"
        yield (
            f"{prefix}_crashes",
            "Crashes of replicas with requests of this entry in progress, by "
            "evidence.",
            ["evidence"],
            _wrap_keys(self._crashes),
        )
        yield (
            f"{prefix}_quarantined",
            "Requests with a feature in quarantine, by result.",
            ["result"],
            _wrap_keys(self._quarantined),
        )
        yield (
            f"{prefix}_permits",
            "Permits for requests to replicas that limit their requests, by "
            "result.",
            ["result"],
            _wrap_keys(self._permits),
        )
        yield (
            f"{prefix}_ramps",
            "Slow starts of replicas that ended, by result.",
            ["result"],
            _wrap_keys(self._ramps),
        )
        yield (
            f"{prefix}_holds",
            "Replicas that began to get no new request, by reason.",
            ["reason"],
            _wrap_keys(self._holds),
        )
        yield (
            f"{prefix}_shed_clients",
            "Clients shed for the memory and connections they took, by reason.",
            ["reason"],
            _wrap_keys(self._shed_clients),
        )
        yield (
            f"{prefix}_refusals",
            "Requests that got an answer of the entry's own, by code and "
            "verdict.",
            ["code", "verdict"],
            self._refusals,
        )
        yield (
            f"{prefix}_failures",
            "Attempts that failed, by stage.",
            ["stage"],
            _wrap_keys(self._failures),
        )
        yield (
            f"{prefix}_rejections",
            "Responses of replicas that are taken as not run, by the request "
            "id that they carry and the use of the connection.",
            ["echoed_id", "connection"],
            self._rejections,
        )

    def collect(self) -> Iterator[object]:
        """Yields the metric families, as a Prometheus collector."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, text, labels, counts in self._list_counters():
            family = CounterMetricFamily(name, text, labels=labels)
            for values, count in counts.items():
                family.add_metric(values, count)
            yield family
        yield CounterMetricFamily(
            "chicoryplank_forwarding_skipped_responses",
            "Responses of replicas to other requests, which were skipped.",
            value=self._skipped_responses,
        )
        yield GaugeMetricFamily(
            "chicoryplank_forwarding_evacuated_zones",
            "Zones whose replicas get no new requests by order of the "
            "operator.",
            value=self._evacuated_zones,
        )
        yield CounterMetricFamily(
            "chicoryplank_forwarding_slow_callers",
            "Connections of slow callers aborted for the memory they took.",
            value=self._shed_clients[ShedReason.UNREAD.value],
        )
        for name, text, label, table in (
            (
                "chicoryplank_forwarding_first_seconds",
                "Time to the first output by route.",
                "route",
                self._first_output,
            ),
            (
                "chicoryplank_forwarding_seconds",
                "Time to the end of the answer by client account.",
                "account",
                self._total,
            ),
        ):
            family = HistogramMetricFamily(name, text, labels=[label])
            for value, latencies in table.items():
                family.add_metric(
                    [value],
                    buckets=_accumulate(latencies.buckets),
                    sum_value=latencies.sum_s,
                )
            yield family


def _wrap_keys(
    counts: collections.Counter[str],
) -> dict[tuple[str, ...], int]:
    """Returns the counts of one label by tuples of label values."""
    return {(value,): count for value, count in counts.items()}


def _get_latencies(table: dict[str, _Latencies], label: str) -> _Latencies:
    """Returns the histogram of a label value; excess values share one."""
    if label not in table and len(table) >= _MAX_LABELS:
        label = _OTHER
    return table.setdefault(label, _Latencies())


def _accumulate(buckets: list[int]) -> list[tuple[str, int]]:
    bounds = [str(float(bound)) for bound in _LATENCY_S] + ["+Inf"]
    total = 0
    counts = []
    for bound, count in zip(bounds, buckets, strict=True):
        total += count
        counts.append((bound, total))
    return counts


@functools.cache
def _get_renderer() -> Callable[[], bytes]:
    """Registers the metrics of this process; returns the render function."""
    import prometheus_client

    prometheus_client.REGISTRY.register(METRICS)
    return prometheus_client.generate_latest


def render_metrics() -> bytes:
    """Renders all metrics of this process in the Prometheus text format."""
    return _get_renderer()()


METRICS = ForwardingMetrics()

__all__ = ["METRICS", "ForwardingMetrics", "render_metrics"]
