"""The upper bound on the score of a day with an outage."""

import unittest
from dataclasses import replace

from bench.policy_bound import OUTAGES_BY_NAME, bound

OUTAGE = OUTAGES_BY_NAME["power off 0.9 s"]


class BoundTests(unittest.TestCase):
    """Bounds of outages with changed parameters."""

    def test_no_outage(self) -> None:
        """Without an outage only the fixed deductions are lost."""
        no_outage = replace(
            OUTAGE, down_seconds=0.0, start_seconds=0.0, aim_seconds=9.0
        )
        self.assertAlmostEqual(
            bound(no_outage).score, 1 - no_outage.deductions, places=3
        )

    def test_longer_is_worse(self) -> None:
        """A longer outage or start never raises the score."""
        lengths = (0.0, 0.3, 0.9, 2.0, 4.0)
        for field in ("down_seconds", "start_seconds"):
            scores = [bound(replace(OUTAGE, **{field: s})).score for s in lengths]
            self.assertEqual(scores, sorted(scores, reverse=True))

    def test_no_spare_slots(self) -> None:
        """Without spare slots, late requests are not served."""
        full = replace(OUTAGE, slots=round(OUTAGE.per_second * OUTAGE.run_seconds))
        self.assertLess(bound(full).served, bound(OUTAGE).served)
