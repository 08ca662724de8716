"""The model of what full knowledge could have had of an outage."""

import unittest
from dataclasses import replace

from bench.policy_bound import OUTAGES_BY_NAME, bound

OUTAGE = OUTAGES_BY_NAME["power off 0.9 s"]


class BoundTests(unittest.TestCase):
    """Nothing may be had that the model says can't be."""

    def test_no_outage(self) -> None:
        """Without time lost only the prices are taken off."""
        calm = replace(OUTAGE, down_seconds=0.0, start_seconds=0.0, aim_seconds=9.0)
        self.assertAlmostEqual(bound(calm).worth, 1 - calm.prices, places=3)

    def test_longer_is_worse(self) -> None:
        """Each further moment without power or processes costs worth."""
        lengths = (0.0, 0.3, 0.9, 2.0, 4.0)
        for field in ("down_seconds", "start_seconds"):
            worths = [bound(replace(OUTAGE, **{field: s})).worth for s in lengths]
            self.assertEqual(worths, sorted(worths, reverse=True))

    def test_no_room_for_the_backlog(self) -> None:
        """Where all slots are needed by those in time, late ones get nothing."""
        full = replace(OUTAGE, slots=round(OUTAGE.per_second * OUTAGE.run_seconds))
        self.assertLess(bound(full).served, bound(OUTAGE).served)
