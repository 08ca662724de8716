"""Import rules between modules."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "monsoonpier"
TOKENS, PACKETS = "tokens", "packets"


def _imported_modules(file: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        match node:
            case ast.ImportFrom(module=str(module), names=names):
                yield module
                yield from (f"{module}.{alias.name}" for alias in names)
            case ast.Import(names=names):
                yield from (alias.name for alias in names)


class PathTests(unittest.TestCase):
    """Code for flows with and without a token is kept separate."""

    def test_neither_path_imports_the_other(self) -> None:
        """Neither package imports the other; shared code is beside them."""
        for own, other in ((TOKENS, PACKETS), (PACKETS, TOKENS)):
            for role in ("agent", "balancer"):
                files = sorted((PACKAGE / role / own).glob("*.py"))
                self.assertTrue(files)
                for file in files:
                    with self.subTest(file=str(file.relative_to(ROOT))):
                        foreign = [
                            module
                            for module in _imported_modules(file)
                            if other in module.split(".")
                        ]
                        self.assertEqual(foreign, [])

    def test_what_is_shared_imports_neither_path(self) -> None:
        """Modules shared by both packages import neither."""
        for role in ("agent", "balancer"):
            for file in sorted((PACKAGE / role).glob("*.py")):
                with self.subTest(file=str(file.relative_to(ROOT))):
                    parts = {
                        part
                        for module in _imported_modules(file)
                        for part in module.split(".")
                    }
                    self.assertFalse(parts & {TOKENS, PACKETS})
