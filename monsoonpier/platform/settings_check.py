"""All that is wrong with a settings file, looked for once it can't be used."""

import re

import msgspec

from monsoonpier.model.address import Address
from monsoonpier.model.findings import Finding, Place

__all__ = ["check_fields"]

_ADDRESS_FIELDS = ("ready", "datagram_addr", "control", "outbound", "address", "app")
_AGENT_FIELDS = ("app", "service", "outbound")


def check_fields(
    content: dict, kind: type[msgspec.Struct], *, text: str, file: str, role: str
) -> list[Finding]:
    """Return what is wrong with the fields of a decoded settings file.

    Args:
        content: The file's tables.
        kind: The struct that they should become.
        text: The file's text, in which places are looked up.
        file: Its path.
        role: ``agent`` needs more than ``balancer``.
    """
    findings = _check_table(content, kind, text=text, file=file, prefix="")
    values_by_name = dict(content)
    for table in ("listen", "platform"):
        if isinstance(content.get(table), dict):
            values_by_name |= content[table]
    for name in _ADDRESS_FIELDS:
        value = values_by_name.get(name)
        if isinstance(value, str) and (problem := _address_problem(value)):
            findings.append(Finding(place=_place(name, text, file), problem=problem))
    if role == "agent":
        findings += [
            Finding(place=Place(file=file), problem=f"an agent needs {name!r}")
            for name in _AGENT_FIELDS
            if not values_by_name.get(name)
        ]
    return findings


def _check_table(
    content: dict, kind: type[msgspec.Struct], *, text: str, file: str, prefix: str
) -> list[Finding]:
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
            findings += _check_table(
                value, field.type, text=text, file=file, prefix=inner
            )
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            place = _place(field.name, text, file)
            problem = f"'{prefix}{field.name}': {error}"
            findings.append(Finding(place=place, problem=problem))
    return findings


def _address_problem(value: str) -> str:
    try:
        Address.parse(value)
    except ValueError as error:
        return str(error)
    return ""


def _place(name: str, text: str, file: str) -> Place:
    """Return where a field stands; the file alone if it isn't found."""
    pattern = re.compile(rf"\s*{re.escape(name)}\s*=\s*")
    for number, line in enumerate(text.splitlines(), start=1):
        found = pattern.match(line)
        if found:
            return Place(file=file, line=number, column=found.end() + 1)
    return Place(file=file)
