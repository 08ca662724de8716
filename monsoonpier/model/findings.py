"""Errors in files, collected with their places and reported together."""

from dataclasses import dataclass

__all__ = ["Finding", "Place", "report"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.file
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One error: where it is, what is wrong, and how to correct it."""

    place: Place
    problem: str
    hint: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.problem}"
        if self.hint:
            text += f" ({self.hint})"
        return text


def report(findings: tuple[Finding, ...]) -> str:
    """Return all findings as text, one per line, sorted by place."""
    ordered = sorted(
        findings, key=lambda f: (f.place.file, f.place.line, f.place.column)
    )
    return "\n".join(str(finding) for finding in ordered)
