"""Removes each listed check in turn; its test must fail (``make mutations``).

Works on a temporary copy of the source tree.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from ruamel.yaml import YAML

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "mutations.yaml"
TEST_SECONDS = 120


@dataclass(frozen=True, slots=True, kw_only=True)
class Mutation:
    """A check in ``file``, its replacement, and the test that must fail with it."""

    guard: str
    file: str
    old: str
    new: str
    test: str


def _fails(copy: Path, test: str) -> bool:
    result = subprocess.run(
        [sys.executable, "-m", "nose2", test],
        cwd=copy,
        capture_output=True,
        timeout=TEST_SECONDS,
        check=False,
    )
    if b"Ran 0 tests" in result.stderr:
        raise RuntimeError(f"no such test: {test}")
    return result.returncode != 0


def _apply(copy: Path, mutation: Mutation) -> str:
    """Apply a mutation and return its result."""
    file = copy / mutation.file
    text = file.read_text()
    if text.count(mutation.old) != 1:
        return f"check found {text.count(mutation.old)} times"
    if _fails(copy, mutation.test):
        return "test fails without the mutation"
    file.write_text(text.replace(mutation.old, mutation.new))
    try:
        return "killed" if _fails(copy, mutation.test) else "SURVIVED"
    finally:
        file.write_text(text)


def main() -> int:
    """Apply every mutation; return 1 unless all are killed."""
    listed = YAML(typ="safe", pure=True).load(LIST.read_text())
    mutations = [Mutation(**entry) for entry in listed]
    results = []
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "copy"
        for name in ("monsoonpier", "standins", "bench", "tests"):
            shutil.copytree(ROOT / name, copy / name)
        shutil.copy(ROOT / "unittest.cfg", copy)
        for mutation in mutations:
            result = _apply(copy, mutation)
            results.append(result)
            print(json.dumps({"guard": mutation.guard, "result": result}), flush=True)
    killed = results.count("killed")
    print(f"{killed} of {len(results)} killed")
    return 0 if killed == len(results) else 1


if __name__ == "__main__":
    sys.exit(main())
