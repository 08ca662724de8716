"""Runs every test by nose2; only what KNOWN-RED.txt names may fail."""

import sys
from pathlib import Path

import nose2
from nose2.main import PluggableTestProgram

from tests.known_red import FailedNames

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


def _known_red() -> dict[str, str]:
    """Return the listed tests' names and the lines that list them."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN_RED:
        sys.exit(f"{KNOWN_RED.name} lists more than {MOST_KNOWN_RED} tests")
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
