"""The tests that may fail, and a nose2 plugin that collects those that did."""

import importlib
import unittest
from pathlib import Path

from nose2.events import Plugin

__all__ = ["FailedNames", "KnownRedError", "read_known_cases", "read_known_red"]

MAX_KNOWN_RED = 3  # tests, and as many review cases
CASES = "review/"
CLAIM = "claim.txt"


class KnownRedError(Exception):
    """The list of known failures is invalid."""


def read_known_red(file: Path) -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt, a line each, by the test that each names.

    Entries that name a review case excuse no test and aren't among them.

    Raises:
        KnownRedError: If there are too many, or any names no test; the message lists
            all of these.
    """
    lines_by_name = _read_entries(file, are_cases=False)
    unknown = [name for name in lines_by_name if not _is_test(name)]
    if unknown:
        raise KnownRedError(f"{file.name} names no test: {', '.join(unknown)}")
    return lines_by_name


def read_known_cases(file: Path) -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt that name a review case, by its folder.

    Raises:
        KnownRedError: If there are too many, or any names no folder beside the file
            that holds a claim; the message lists all of these.
    """
    lines_by_name = _read_entries(file, are_cases=True)
    unknown = [
        name for name in lines_by_name if not (file.parent / name / CLAIM).is_file()
    ]
    if unknown:
        raise KnownRedError(f"{file.name} names no case: {', '.join(unknown)}")
    return lines_by_name


def _read_entries(file: Path, *, are_cases: bool) -> dict[str, str]:
    """Return the entries of one kind by name."""
    if not file.exists():
        return {}
    lines = [line for line in file.read_text().splitlines() if line.strip()]
    named = [(line.split(",")[0].split(":")[0].strip(), line) for line in lines]
    entries = [
        (name, line) for name, line in named if name.startswith(CASES) is are_cases
    ]
    if len(entries) > MAX_KNOWN_RED:
        kind = "cases" if are_cases else "tests"
        raise KnownRedError(f"{file.name} lists more than {MAX_KNOWN_RED} {kind}")
    return dict(entries)


def _is_test(name: str) -> bool:
    """Return whether a dotted name is that of a test method."""
    class_path, _, method = name.rpartition(".")
    module_name, _, class_name = class_path.rpartition(".")
    try:
        module = importlib.import_module(module_name)
    except (ModuleNotFoundError, ValueError):
        return False
    case = getattr(module, class_name, None)
    if not isinstance(case, type) or not issubclass(case, unittest.TestCase):
        return False
    return method in unittest.defaultTestLoader.getTestCaseNames(case)


class FailedNames(Plugin):
    """Collects names in lists that all instances share."""

    alwaysOn = True  # noqa: N815 (nose2's own name)
    configSection = "failed-names"  # noqa: N815
    names: list[str] = []
    finished: list[str] = []

    def testOutcome(self, event) -> None:  # noqa: N802
        """Record a finished test and whether it failed; called by nose2."""
        name = event.test.id().split(" ")[0].split("\n")[0]
        if event.outcome != "subtest":
            self.finished.append(name)
        if event.outcome in ("failed", "error") or event.exc_info:
            self.names.append(name)
