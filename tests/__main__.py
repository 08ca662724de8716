"""Runs the tests with nose2; only tests listed in KNOWN-RED.txt may fail."""

import sys
from pathlib import Path

import nose2
from nose2.main import PluggableTestProgram

from tests.known_red import (
    FailedNames,
    KnownRedError,
    read_known_cases,
    read_known_red,
)

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def main() -> int:
    """Run the tests and return the exit status."""
    try:
        known = read_known_red(KNOWN_RED)
        cases = read_known_cases(KNOWN_RED)
    except KnownRedError as error:
        print(error, file=sys.stderr)
        return 1
    arguments = ["nose2", "--start-dir", str(ROOT), *sys.argv[1:]]
    plugins = [*PluggableTestProgram.defaultPlugins, "tests.known_red"]
    outcome = nose2.discover(argv=arguments, exit=False, plugins=plugins)
    failed = list(dict.fromkeys(FailedNames.names))
    for name in failed:
        if name in known:
            print(f"known red: {known[name]}")
    for line in cases.values():
        print(f"known red case: {line}")
    unexpected = [name for name in failed if name not in known]
    passed = len(set(FailedNames.finished) - set(failed))
    print(f"{passed} passed, {len(unexpected)} failed")
    is_whole = outcome.result.wasSuccessful() or bool(failed)
    return 1 if unexpected or passed <= 0 or not is_whole else 0


if __name__ == "__main__":
    sys.exit(main())
