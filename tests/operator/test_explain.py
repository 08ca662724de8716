"""Log lines of one flow, from the logs of several processes."""

import json
import tempfile
import unittest
from pathlib import Path

from monsoonpier.operator.explain import explain, format_lines, read_lines

FLOW = "100.64.0.7:40001>198.18.0.1:443"


def line(seconds: float, process: str, event: str, **fields) -> str:
    timestamp = f"2026-12-02T20:00:{seconds:09.6f}Z"
    content = {"timestamp": timestamp, "process": process, "event": event}
    return json.dumps(content | {"level": "info"} | fields)


class ExplainTests(unittest.TestCase):
    """Lines of a flow, with context about the processes involved."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, *lines: str) -> Path:
        file = self.folder / name
        file.write_text("\n".join(lines) + "\n")
        return file

    def test_lines_of_a_flow(self) -> None:
        """Lines of both processes are in order, without other flows' lines."""
        balancer = self.write(
            "lb-1.log",
            "starting up, no JSON here",
            "  36.1 lb-1 " + line(6, "lb-1", "flow placed", flow=FLOW, target="maps-1"),
            line(7, "lb-1", "flow placed", flow="100.64.0.8:1>198.18.0.1:443"),
            line(8, "lb-1", "caller reset", flow=FLOW, reason="nobody holds the flow"),
            '{"broken": ',
            '{"event": "no time"}',
        )
        agent = self.write(
            "maps-1.log",
            line(7.5, "maps-1", "target does not listen", flows=3),
            line(40, "maps-1", "target started"),
        )
        other = self.write("maps-2.log", line(7, "maps-2", "target started"))
        lines = read_lines([agent, other, balancer])
        found = explain(lines, flow="100.64.0.7:40001")
        self.assertEqual(
            [each.event for each in found],
            ["flow placed", "target does not listen", "caller reset"],
        )
        self.assertIn("reason=nobody holds the flow", format_lines(found))

    def test_unknown_flow(self) -> None:
        """A flow that no line is about has no lines."""
        file = self.write("lb-1.log", line(1, "lb-1", "started"))
        self.assertEqual(explain(read_lines([file]), flow="10.0.0.1:5"), [])
