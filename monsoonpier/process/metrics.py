"""Metrics of a process, independent of their export format."""

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Counter", "Gauge", "Histogram", "Metric", "Series", "counter", "gauge"]

# Upper bounds of histogram buckets, in seconds: from a packet's way through one process
# to the time that callers wait.
BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


@dataclass(frozen=True, slots=True, kw_only=True)
class Gauge:
    """A value that may rise and fall."""

    name: str
    help: str
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Counter:
    """Counts that never decrease, by one label."""

    name: str
    help: str
    values_by_label: Mapping[str, float]
    label: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Histogram:
    """Durations in seconds, counted by bucket.

    Attributes:
        counts: The number of durations in each bucket; the last has no bound.
        sums: A list of one number, the sum of all durations.
    """

    name: str
    help: str
    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    sums: list[float] = field(default_factory=lambda: [0.0])

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(BOUNDS, seconds)] += 1
        self.sums[0] += seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Values by several labels; callers must keep the number of values small.

    Attributes:
        labels: The names of the labels.
        values_by_labels: The values, by label values in the order of ``labels``.
        is_counter: Whether the values never decrease.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    values_by_labels: Mapping[tuple[str, ...], float]
    is_counter: bool = False


Metric = Gauge | Counter | Histogram | Series


def gauge(name: str, text: str, value: float) -> Gauge:
    """Return a gauge without labels."""
    return Gauge(name=name, help=text, value=value)


def counter(name: str, text: str, values: Mapping[str, float], label: str) -> Counter:
    """Return a counter with one label."""
    return Counter(name=name, help=text, values_by_label=values, label=label)
