"""Plans of the soak test, and short runs of it."""

import asyncio
import re
import time
import unittest
from unittest import mock

from bench.soak import _Soak, make_plan, run_seed

SEED = 454067
LINKS_SEED = 58080
RESTARTED_TARGET_SEED = 757402
SECONDS = 4.0


def _steps(seed: int, *, edition: int):
    return make_plan(seed, seconds=20, edition=edition).steps


class SoakTests(unittest.IsolatedAsyncioTestCase):
    """Fixed seeds without violations."""

    def test_a_seed_fixes_the_plan(self) -> None:
        """Plans depend on the seed alone."""
        self.assertEqual(make_plan(7, seconds=20), make_plan(7, seconds=20))
        self.assertNotEqual(make_plan(7, seconds=20), make_plan(8, seconds=20))

    async def test_stalls_are_recorded(self) -> None:
        """The timeline tells when the soak's own process was held up."""
        soak = _Soak(deployment=mock.Mock())
        recording = asyncio.create_task(soak.record_stalls())
        await asyncio.sleep(0.05)
        time.sleep(0.6)
        await asyncio.sleep(0.05)
        recording.cancel()
        # A busy machine may hold the process up at other times too.
        found = (re.search(r"soak held up for ([\d.]+) s", n) for n in soak.timeline)
        longest = max(float(each[1]) for each in found if each)
        self.assertGreaterEqual(longest, 0.5)

    async def test_first_edition(self) -> None:
        """Only the second edition has faults of links and clocks."""
        kinds = {s.kind for n in range(20) for s in _steps(n, edition=1)}
        self.assertFalse(any("link" in kind for kind in kinds))
        kinds = {s.kind for n in range(20) for s in _steps(n, edition=2)}
        self.assertGreaterEqual(kinds, {"link_silent", "target_lossy", "clock_step"})

    async def test_links_and_clocks(self) -> None:
        """No guarantee is violated under faults of links and clocks."""
        report = await run_seed(LINKS_SEED, seconds=SECONDS)
        self.assertEqual(report.broken, (), report)
        self.assertGreater(report.verdict.requests, 100)

    async def test_restarted_target(self) -> None:
        """A flow that a new instance of a target has accepted isn't reset.

        Guards against resets between the start of an instance and its first heartbeat.
        """
        report = await run_seed(RESTARTED_TARGET_SEED, seconds=8.0)
        self.assertEqual(report.broken, (), report)

    async def test_short_run(self) -> None:
        """No guarantee is violated under faults of processes and the store."""
        report = await run_seed(SEED, seconds=SECONDS, edition=1)
        self.assertEqual(report.broken, (), report)
        self.assertGreater(report.verdict.requests, 100)
