"""The list of tests that may fail."""

import tempfile
import unittest
from pathlib import Path

from tests.known_red import KnownRedError, read_known_cases, read_known_red

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

    def test_case(self):
        """An entry that names a review case excuses no test and is read apart."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "KNOWN-RED.txt"
            case = Path(folder) / "review" / "1"
            case.mkdir(parents=True)
            (case / "claim.txt").write_text("rule: FLOW")
            entry = "review/1: `review/1/run.sh`, broken in 5 of 5 runs"
            file.write_text(f"{THIS}, seen once\n{entry}\n")
            self.assertEqual(read_known_cases(file), {"review/1": entry})
            self.assertEqual(read_known_red(file), {THIS: f"{THIS}, seen once"})

    def test_cases_without_a_claim(self):
        """A case whose folder holds no claim stops the run; all are reported."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "KNOWN-RED.txt"
            file.write_text("review/8, seen\nreview/9, seen\n")
            with self.assertRaisesRegex(KnownRedError, "review/8, review/9"):
                read_known_cases(file)

    def test_too_many_cases(self):
        """More than three cases stop the run, tests aside."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "KNOWN-RED.txt"
            file.write_text("".join(f"review/{n}, seen\n" for n in range(4)))
            with self.assertRaisesRegex(KnownRedError, "more than 3 cases"):
                read_known_cases(file)
