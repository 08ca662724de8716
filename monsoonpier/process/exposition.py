"""Export of metrics in the Prometheus text format.

Import this module on the first request for metrics only: ``prometheus_client`` would
slow the start of each process.
"""

from collections.abc import Callable, Iterable
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric as PrometheusMetric
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from monsoonpier.process.metrics import (
    BOUNDS,
    Counter,
    Gauge,
    Histogram,
    Metric,
    Series,
)

__all__ = ["expose"]

PREFIX = "monsoonpier_"


def expose(read: Callable[[], Iterable[Metric]]) -> bytes:
    """Return the current metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(read))
    return generate_latest(registry)


class _Collector:
    """Adapts ``read`` to the collector interface of ``prometheus_client``."""

    def __init__(self, read: Callable[[], Iterable[Metric]]) -> None:
        self._read = read

    def collect(self) -> Iterable[PrometheusMetric]:
        return (_to_prometheus(metric) for metric in self._read())


def _to_prometheus(metric: Metric) -> PrometheusMetric:
    name = PREFIX + metric.name
    match metric:
        case Gauge(help=text, value=value):
            return GaugeMetricFamily(name, text, value=value)
        case Counter(help=text, values_by_label=values, label=label):
            family = CounterMetricFamily(name, text, labels=[label])
            for key, value in values.items():
                family.add_metric([str(key)], value)
            return family
        case Series(help=text, labels=labels, values_by_labels=values_by_labels):
            kind = CounterMetricFamily if metric.is_counter else GaugeMetricFamily
            family = kind(name, text, labels=labels)
            for key, value in values_by_labels.items():
                family.add_metric(key, value)
            return family
        case Histogram(help=text, counts=counts, sums=sums):
            bounds = [str(bound) for bound in BOUNDS] + ["+Inf"]
            buckets = list(zip(bounds, accumulate(counts), strict=True))
            return HistogramMetricFamily(name, text, buckets=buckets, sum_value=sums[0])
