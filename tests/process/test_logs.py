"""Logs are bounded and never wait for their reader."""

import os
import unittest

from monsoonpier.process.logs import (
    FLOOD_LIMIT,
    FLOOD_PERIOD_SECONDS,
    MAX_KEPT_BYTES,
    MAX_LINE_BYTES,
    DecisionLog,
    FloodGate,
    LineWriter,
    flow_name,
)


class LineWriterTests(unittest.TestCase):
    """Lines to a pipe whose reader may have stopped."""

    def setUp(self) -> None:
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.writer = LineWriter(self.descriptor)

    def tearDown(self) -> None:
        os.close(self.descriptor)

    def test_reader_that_has_stopped(self) -> None:
        """Lines are kept up to a bound and then dropped; nothing blocks."""
        line = "x" * 999
        for _ in range(2_000):
            self.writer.msg(line)
        self.assertGreater(self.writer.dropped, 1_000)
        text = b""
        for _ in range(10):
            text += os.read(self.reader, 65_536)
            self.writer.msg("again")
        kept = text.count(line.encode() + b"\n")
        self.assertGreater(kept, MAX_KEPT_BYTES // 1_000)
        self.assertGreaterEqual(kept + self.writer.dropped, 2_000)

    def test_long_line(self) -> None:
        """A line is cut to what a pipe takes in one piece."""
        self.writer.msg("y" * 10_000)
        data = os.read(self.reader, 65_536)
        self.assertEqual(len(data), MAX_LINE_BYTES)
        self.assertTrue(data.endswith(b"\n"))

    def test_closed_pipe(self) -> None:
        """A reader that has gone doesn't end the process."""
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, descriptor)
        os.close(reader)
        writer = LineWriter(descriptor)
        for _ in range(3):
            writer.msg("z")
        self.assertLessEqual(writer.dropped, 3)


class FloodTests(unittest.TestCase):
    """Lines of one event in one period."""

    def test_cut_and_counted(self) -> None:
        """What is cut is counted in the next period's first line."""
        gate = FloodGate()
        passed = [gate.suppressed("placed", now=1.0) for _ in range(FLOOD_LIMIT + 5)]
        self.assertEqual(passed, [0] * FLOOD_LIMIT + [None] * 5)
        self.assertEqual(gate.suppressed("other", now=1.0), 0)
        later = 1.0 + FLOOD_PERIOD_SECONDS
        self.assertEqual(gate.suppressed("placed", now=later), 5)

    def test_decision(self) -> None:
        """A decision's line names the flow as operators know it."""
        flow = bytes((100, 64, 0, 7, 198, 18, 0, 1)) + bytes.fromhex("9c4101bb")
        self.assertEqual(flow_name(flow), "100.64.0.7:40001>198.18.0.1:443")
        DecisionLog("tests").note("flow placed", now=1.0, flow=flow, target="maps-1")
