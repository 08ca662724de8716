"""Findings for a settings file that could not be loaded."""

import msgspec

from monsoonpier.documents.table_check import check_table, place_of
from monsoonpier.model.address import Address
from monsoonpier.model.findings import Finding, Place

__all__ = ["check_fields"]

_ADDRESS_FIELDS = ("ready", "datagram_addr", "control", "outbound", "address", "app")
_AGENT_FIELDS = ("app", "service", "outbound")


def check_fields(
    content: dict, kind: type[msgspec.Struct], *, text: str, file: str, role: str
) -> list[Finding]:
    """Return all problems with the fields of a decoded settings file.

    Args:
        content: The file's tables.
        kind: The struct type that the tables should convert to.
        text: The file's text, to find line numbers.
        file: The file's path.
        role: The process's role; ``agent`` requires more fields.
    """
    findings = check_table(content, kind, text=text, file=file)
    values_by_name = dict(content)
    for table in ("listen", "platform"):
        if isinstance(content.get(table), dict):
            values_by_name |= content[table]
    for name in _ADDRESS_FIELDS:
        value = values_by_name.get(name)
        if isinstance(value, str) and (problem := _address_problem(value)):
            findings.append(Finding(place=place_of(name, text, file), problem=problem))
    if role == "agent":
        findings += [
            Finding(place=Place(file=file), problem=f"an agent needs {name!r}")
            for name in _AGENT_FIELDS
            if not values_by_name.get(name)
        ]
    return findings


def _address_problem(value: str) -> str:
    """Return why an address is invalid, or an empty string if it is valid."""
    try:
        Address.parse(value)
    except ValueError as error:
        return str(error)
    return ""
