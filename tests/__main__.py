"""Runs the tests with nose2; only tests listed in KNOWN-RED.txt may fail."""

import sys
from pathlib import Path

import nose2
from nose2.main import PluggableTestProgram

from tests.known_red import FailedNames

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def _known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by the test that each names."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        sys.exit(f"{KNOWN_RED.name} lists more than {MAX_KNOWN_RED} tests")
    return {line.split(",")[0].strip(): line for line in lines}


def main() -> int:
    """Run the tests and return the exit status."""
    arguments = ["nose2", "--start-dir", str(ROOT), *sys.argv[1:]]
    plugins = [*PluggableTestProgram.defaultPlugins, "tests.known_red"]
    outcome = nose2.discover(argv=arguments, exit=False, plugins=plugins)
    known = _known_red()
    failed = list(dict.fromkeys(FailedNames.names))
    for name in failed:
        if name in known:
            print(f"known red: {known[name]}")
    unexpected = [name for name in failed if name not in known]
    passed = len(set(FailedNames.finished) - set(failed))
    print(f"{passed} passed, {len(unexpected)} failed")
    is_whole = outcome.result.wasSuccessful() or bool(failed)
    return 1 if unexpected or passed <= 0 or not is_whole else 0


if __name__ == "__main__":
    sys.exit(main())
