"""Export of metrics in the Prometheus text format."""

import unittest

from monsoonpier.process.exposition import expose
from monsoonpier.process.metrics import Histogram, counter, gauge


class ExpositionTests(unittest.TestCase):
    """The text of gauges, counters and histograms."""

    def test_text(self) -> None:
        """Names have the prefix, and histogram buckets are cumulative."""
        times = Histogram(name="wait_seconds", help="Waits.")
        for seconds in (0.0005, 0.003, 0.003, 60.0):
            times.observe(seconds)
        metrics = (
            gauge("flows", "Flows.", 7),
            counter("drops", "Drops.", {"size": 2}, "reason"),
            times,
        )
        lines = expose(lambda: metrics).decode().splitlines()
        self.assertIn("monsoonpier_flows 7.0", lines)
        self.assertIn('monsoonpier_drops_total{reason="size"} 2.0', lines)
        self.assertIn('monsoonpier_wait_seconds_bucket{le="0.001"} 1.0', lines)
        self.assertIn('monsoonpier_wait_seconds_bucket{le="0.005"} 3.0', lines)
        self.assertIn('monsoonpier_wait_seconds_bucket{le="+Inf"} 4.0', lines)
