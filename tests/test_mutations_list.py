"""The list of mutations matches the code."""

import unittest
from pathlib import Path

from ruamel.yaml import YAML

ROOT = Path(__file__).parent.parent


class ListTests(unittest.TestCase):
    """Entries of ``bench/mutations.yaml``, without applying them."""

    def test_each_guard_stands_once(self) -> None:
        """Each entry's old code occurs exactly once in its file."""
        text = (ROOT / "bench" / "mutations.yaml").read_text()
        for entry in YAML(typ="safe", pure=True).load(text):
            with self.subTest(guard=entry["guard"]):
                file = ROOT / entry["file"]
                self.assertTrue(file.exists(), entry["file"])
                self.assertEqual(file.read_text().count(entry["old"]), 1)
