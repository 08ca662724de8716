#!/bin/sh
# The scripts of review/4 to review/8 start the deploy file's programs and stand-ins
# from review/standins-2, which need only Python's standard library. Nothing has to be
# built for these; this checks that they can run.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the deploy file's build first"; exit 2; }
python3 - <<'END' || exit 2
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for folder in ("standins-2", "4", "5", "6", "7", "8"):
    for path in sorted(Path("review", folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
END
echo "review/4 to review/8 can run"
