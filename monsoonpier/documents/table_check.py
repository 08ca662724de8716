"""Findings for a TOML file that could not be converted to a struct."""

import re

import msgspec

from monsoonpier.model.findings import Finding, Place

__all__ = ["check_table", "place_of"]


def check_table(
    content: dict, kind: type[msgspec.Struct], *, text: str, file: str, prefix: str = ""
) -> list[Finding]:
    """Return the missing fields and the fields of a wrong type in a table.

    Args:
        content: The table.
        kind: The struct type that the table should convert to.
        text: The file's text, to find line numbers.
        file: The file's path.
        prefix: The names of the enclosing tables, each followed by a dot.
    """
    findings = []
    for field in msgspec.structs.fields(kind):
        if field.name not in content:
            if field.required:
                problem = f"'{prefix}{field.name}' is missing"
                findings.append(Finding(place=Place(file=file), problem=problem))
            continue
        value = content[field.name]
        is_table = isinstance(field.type, type) and isinstance(value, dict)
        if is_table and issubclass(field.type, msgspec.Struct):
            inner = f"{prefix}{field.name}."
            findings += check_table(
                value, field.type, text=text, file=file, prefix=inner
            )
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            place = place_of(field.name, text, file)
            problem = f"'{prefix}{field.name}': {error}"
            findings.append(Finding(place=place, problem=problem))
    return findings


def place_of(name: str, text: str, file: str) -> Place:
    """Return the place of a field's value, or of the file if it isn't found."""
    pattern = re.compile(rf"\s*{re.escape(name)}\s*=\s*")
    for number, line in enumerate(text.splitlines(), start=1):
        found = pattern.match(line)
        if found:
            return Place(file=file, line=number, column=found.end() + 1)
    return Place(file=file)
