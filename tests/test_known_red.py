"""The list of tests that may fail."""

import tempfile
import unittest
from pathlib import Path

from tests.known_red import KnownRedError, read_known_red

THIS = "tests.test_known_red.KnownRedTests.test_entry"


class KnownRedTests(unittest.TestCase):
    """Entries of KNOWN-RED.txt, which the run checks before any test."""

    def _read(self, *lines: str) -> dict[str, str]:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "KNOWN-RED.txt"
            file.write_text("\n".join(lines))
            return read_known_red(file)

    def test_entry(self):
        """Entries are found by the name before the first comma."""
        line = f"{THIS}, `make test`, what was seen"
        self.assertEqual(self._read(line, ""), {THIS: line})

    def test_unknown_name(self):
        """An entry whose test was renamed or removed stops the run."""
        unknown = (
            "tests.test_known_red.KnownRedTests.test_renamed",
            "tests.test_known_red.RenamedTests.test_entry",
            "tests.test_renamed.KnownRedTests.test_entry",
            "tests.test_known_red.KnownRedTests._read",
            "test_entry",
        )
        for name in unknown:
            with (
                self.subTest(name=name),
                self.assertRaisesRegex(KnownRedError, f"names no test: {name}"),
            ):
                self._read(f"{name}, `make test`")

    def test_all_unknown_names(self):
        """All entries without a test are reported together."""
        with self.assertRaisesRegex(KnownRedError, "a.B.test_c, d.E.test_f"):
            self._read("a.B.test_c, seen once", "d.E.test_f, seen once", f"{THIS},")

    def test_too_many(self):
        """More than three entries stop the run."""
        with self.assertRaisesRegex(KnownRedError, "more than 3"):
            self._read(*(f"{THIS}, {number}" for number in range(4)))
