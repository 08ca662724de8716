"""Loading of settings and configuration, and findings with their places."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings, strategies as st

from monsoonpier.documents.configuration import difference, parse_files
from monsoonpier.documents.settings import load_settings
from monsoonpier.documents.yaml_document import read_document

GOOD = """\
services:
  maps:
    address: 192.0.2.10:7001
    targets: ["maps-*"]
    kinds:
      reading: {idempotent: true}
"""
SETTINGS = """\
role: balancer
name: b1
data_centre: dc-1
internal: 127.0.0.1:9000
control: 127.0.0.1:9001
metrics: 127.0.0.1:9002
platform: ["http://127.0.0.1:2379"]
keys:
  - {id: 1, secret: 00112233445566778899aabbccddeeff}
"""


def problems(**texts: str) -> list[str]:
    """Return the findings, as text, for files given by name."""
    return [str(f) for f in parse_files(texts).findings]


class ConfigurationTests(unittest.TestCase):
    """Operators' service files."""

    def test_valid(self):
        """A valid file has no findings and gives its services."""
        parsed = parse_files({"a.yaml": GOOD})
        self.assertEqual(parsed.findings, ())
        self.assertTrue(parsed.services_by_name["maps"].allows("maps-7"))
        self.assertFalse(parsed.services_by_name["maps"].allows("logs-1"))

    def test_findings_have_places(self):
        """Each kind of mistake is reported with its line and column."""
        table = (
            (GOOD + "    colour: red\n", "a:7:5: unknown key 'colour'"),
            (GOOD + "    address: 192.0.2.1:1\n", "a:7:5: duplicate key 'address'"),
            (GOOD.replace("7001", "70010"), "a:3:5: '192.0.2.10:70010'"),
            (GOOD.replace("192.0.2.10", "192.0.2.300"), "a:3:5: "),
            (GOOD.replace("true", "perhaps"), "a:6:17: services.maps.kinds.reading"),
            (GOOD.replace('["maps-*"]', "[]"), "a:4:5: services.maps.targets"),
            (GOOD.replace("    kinds", "    sorts"), "a:5:5: unknown key 'sorts'"),
            ("services: [", "a:1:12: not YAML"),
            ("", "a: the file is empty"),
            ("services: 3", "a:1:1: services: must be object"),
            ("\x00", "a: not YAML"),
        )
        for text, expected in table:
            with self.subTest(expected=expected):
                found = problems(a=text)
                self.assertTrue(any(f.startswith(expected) for f in found), f"{found}")

    def test_all_findings_together(self):
        """Findings of all files are reported at once."""
        found = problems(
            a=GOOD + "    colour: red\n", b="services: 3", c=GOOD.replace("true", "2")
        )
        self.assertEqual({f.split(":")[0] for f in found}, {"a", "b", "c"})

    def test_conflicts_between_files(self):
        """Duplicate services, addresses and targets across files are findings."""
        other = GOOD.replace("maps:", "charts:")
        found = problems(a=GOOD, b=GOOD, c=other)
        text = "\n".join(found)
        self.assertIn("service 'maps' is declared twice", text)
        self.assertIn("address 192.0.2.10:7001 is used twice", text)
        self.assertIn("target 'maps-*' is allowed by two services", text)

    def test_too_large_a_set(self):
        """A set that is too large for one stored value is a finding."""
        found = problems(a=GOOD + "#" + "x" * 950_000 + "\n")
        self.assertIn("the set takes", found[0])

    def test_difference(self):
        """The difference lists what is added, removed and changed."""
        old = parse_files({"a": GOOD}).services_by_name
        new = parse_files({"a": GOOD.replace("7001", "7002")}).services_by_name
        self.assertEqual(
            difference(old, new), ["~ maps.address: 192.0.2.10:7001 -> 192.0.2.10:7002"]
        )
        self.assertTrue(difference({}, old)[0].startswith("+ maps: "))
        self.assertTrue(difference(old, {})[0].startswith("- maps: "))
        self.assertEqual(difference(old, old), [])

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(text=st.text(max_size=200))
    def test_any_text(self, text):
        """Any text gives services or findings, and never raises."""
        document, findings = read_document(text, file="a")
        if not findings:
            document.check("configuration")
        parse_files({"a": text})


class SettingsTests(unittest.TestCase):
    """Settings files of processes."""

    def _load(self, text: str, role: str = "balancer", **environment: str):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "settings.yaml"
            file.write_text(text)
            return load_settings(file, role=role, environment=environment)

    def test_valid(self):
        """Valid settings are loaded, and their keys are masked for printing."""
        loaded = self._load(SETTINGS)
        self.assertEqual(loaded.findings, ())
        self.assertEqual(str(loaded.settings.internal), "127.0.0.1:9000")
        self.assertNotIn("0011", str(loaded.masked))

    def test_environment_over_file(self):
        """A variable overrides the file's key; findings name the variable."""
        loaded = self._load(SETTINGS, MONSOONPIER_NAME="b9")
        self.assertEqual(loaded.settings.name, "b9")
        loaded = self._load(SETTINGS, MONSOONPIER_INTERNAL="nonsense")
        self.assertIn("MONSOONPIER_INTERNAL", str(loaded.findings[0]))

    def test_findings(self):
        """All mistakes are reported with their places."""
        wrong = SETTINGS.replace("id: 1", "id: 300").replace("dc-1", "DC 1")
        found = [str(f) for f in self._load(wrong).findings]
        self.assertEqual(len(found), 2, found)
        self.assertTrue(any(":3:1: " in f for f in found))
        self.assertTrue(any(":9:" in f for f in found))

    def test_link(self):
        """The link's rate is optional; an invalid one is reported with its place."""
        self.assertIsNone(self._load(SETTINGS).settings.link_bits_per_second)
        loaded = self._load(SETTINGS + "\nlink_megabits: 2.5\n")
        self.assertEqual(loaded.settings.link_bits_per_second, 2.5e6)
        for text in ("0", "-1", "wide", "true", ".nan", ".inf"):
            with self.subTest(text=text):
                found = self._load(SETTINGS + f"\nlink_megabits: {text}\n").findings
                self.assertRegex(str(found[0]), r"settings.yaml:\d+:\d+: ")

    def test_wrong_role(self):
        """A balancer's settings are rejected for an agent."""
        found = self._load(SETTINGS, role="agent").findings
        self.assertIn("role 'balancer'", str(found[0]))

    def test_missing_file(self):
        """A missing file is a finding."""
        loaded = load_settings(Path("/nowhere/x"), role="agent", environment={})
        self.assertIn("No such file", str(loaded.findings[0]))

    def test_missing_key(self):
        """A missing key that the role requires is a finding."""
        found = self._load(SETTINGS.replace("internal", "# internal")).findings
        self.assertIn("'internal' is missing", str(found[0]))
