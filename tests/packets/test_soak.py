"""A short run of the soak, and its plans."""

import unittest

from bench.soak import make_plan, run_seed

SEED = 454067
SECONDS = 4.0


class SoakTests(unittest.IsolatedAsyncioTestCase):
    """One seed that was clean, again on each change."""

    def test_a_seed_fixes_the_plan(self) -> None:
        """The same seed has the same faults, another one others."""
        self.assertEqual(make_plan(7, seconds=20), make_plan(7, seconds=20))
        self.assertNotEqual(make_plan(7, seconds=20), make_plan(8, seconds=20))

    async def test_short_run(self) -> None:
        """All promises are kept through a few faults."""
        report = await run_seed(SEED, seconds=SECONDS)
        self.assertEqual(report.broken, (), report)
        self.assertGreater(report.verdict.requests, 100)
