"""Output of the operators' commands."""

import json
import unittest

from monsoonpier.model.target import LoadReport
from monsoonpier.operator.commands import to_json_types
from monsoonpier.wire.control import StatusReply, TargetStatus
from tests.rig import record


class JsonTypesTests(unittest.TestCase):
    """Conversion of wire messages to JSON."""

    def test_types(self):
        """Structs become objects; enum members and bytes become strings."""
        target = TargetStatus(
            record=record("maps-1"), load=LoadReport(number=3), suspected=False
        )
        reply = StatusReply(
            name="b1",
            role="balancer",
            data_centre="dc-1",
            state="running",
            version=7,
            uptime=1.5,
            targets=(target,),
        )
        content = json.loads(json.dumps(to_json_types({"b1": reply, "b2": None})))
        self.assertIsNone(content["b2"])
        self.assertEqual(content["b1"]["version"], 7)
        shown = content["b1"]["targets"][0]
        self.assertEqual(shown["record"]["name"], "maps-1")
        self.assertEqual(shown["record"]["instance"], "01010101" * 2)
        self.assertEqual(shown["load"]["condition"], "starting")
