"""Log writing never blocks and is limited in rate."""

import os
import unittest

from monsoonpier.process.logs import (
    FLOOD_LIMIT,
    FLOOD_PERIOD_SECONDS,
    MAX_LINE_BYTES,
    MAX_QUEUED_BYTES,
    DecisionLog,
    LineWriter,
    LogRateLimiter,
    format_flow,
)


class LineWriterTests(unittest.TestCase):
    """Lines written to a pipe whose reader may be stalled."""

    def setUp(self) -> None:
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.writer = LineWriter(self.descriptor)

    def tearDown(self) -> None:
        os.close(self.descriptor)

    def test_stalled_reader(self) -> None:
        """Lines are queued up to a limit and then dropped, without blocking."""
        line = "x" * 999
        for _ in range(2_000):
            self.writer.msg(line)
        self.assertGreater(self.writer.dropped, 1_000)
        text = b""
        for _ in range(10):
            text += os.read(self.reader, 65_536)
            self.writer.msg("again")
        received = text.count(line.encode() + b"\n")
        self.assertGreater(received, MAX_QUEUED_BYTES // 1_000)
        self.assertGreaterEqual(received + self.writer.dropped, 2_000)

    def test_long_line(self) -> None:
        """A line is truncated to what a pipe takes in one write."""
        self.writer.msg("y" * 10_000)
        data = os.read(self.reader, 65_536)
        self.assertEqual(len(data), MAX_LINE_BYTES)
        self.assertTrue(data.endswith(b"\n"))

    def test_closed_pipe(self) -> None:
        """A closed pipe does not raise."""
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, descriptor)
        os.close(reader)
        writer = LineWriter(descriptor)
        for _ in range(3):
            writer.msg("z")
        self.assertLessEqual(writer.dropped, 3)


class RateLimitTests(unittest.TestCase):
    """The limit of lines per event and period."""

    def test_suppressed_lines_are_counted(self) -> None:
        """The first line of a period has the number suppressed in the last one."""
        limiter = LogRateLimiter()
        passed = [limiter.count("placed", now=1.0) for _ in range(FLOOD_LIMIT + 5)]
        self.assertEqual(passed, [0] * FLOOD_LIMIT + [None] * 5)
        self.assertEqual(limiter.count("other", now=1.0), 0)
        later = 1.0 + FLOOD_PERIOD_SECONDS
        self.assertEqual(limiter.count("placed", now=later), 5)

    def test_decision(self) -> None:
        """A decision's line names the flow by its addresses."""
        flow = bytes((100, 64, 0, 7, 198, 18, 0, 1)) + bytes.fromhex("9c4101bb")
        self.assertEqual(format_flow(flow), "100.64.0.7:40001>198.18.0.1:443")
        DecisionLog("tests").note("flow placed", now=1.0, flow=flow, target="maps-1")
