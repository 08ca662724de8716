"""Loading of a process's settings from a YAML file and the environment."""

import ipaddress
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from monsoonpier.documents.yaml_document import YamlDocument, read_document
from monsoonpier.model.address import Address
from monsoonpier.model.findings import Finding, Place
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.settings import (
    CONFIGURATION_SECONDS,
    Settings,
    TargetSettings,
)

__all__ = ["LoadedSettings", "load_settings"]

ENVIRONMENT_PREFIX = "MONSOONPIER_"
_ADDRESS_KEYS = ("internal", "control", "metrics")
_NEEDED_BY_ROLE = {
    "balancer": _ADDRESS_KEYS,
    "agent": (*_ADDRESS_KEYS, "target"),
    "operator": (),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadedSettings:
    """Settings, or all problems found.

    Attributes:
        settings: The settings; ``None`` if there are findings.
        findings: All problems found.
        masked: The file's content with secrets masked, for printing.
    """

    settings: Settings | None = None
    findings: tuple[Finding, ...] = ()
    masked: dict = field(default_factory=dict)


def load_settings(
    file: Path, *, role: str, environment: Mapping[str, str] = os.environ
) -> LoadedSettings:
    """Read the settings file of a process, apply the environment and check both."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        place = Place(file=str(file))
        return LoadedSettings(findings=(Finding(place=place, problem=reason),))
    document, findings = read_document(text, file=str(file))
    if not isinstance(document.content, dict):
        findings.append(Finding(place=document.place(()), problem="must be a mapping"))
        return LoadedSettings(findings=tuple(findings))
    if not findings:
        document, findings = _apply_environment(document, environment)
    if not findings:
        findings = document.check("settings") + _check_role(document, role)
    if not findings:
        findings = _check_values(document)
    if findings:
        return LoadedSettings(findings=tuple(findings))
    return LoadedSettings(
        settings=_build_settings(document.content), masked=_mask(document.content)
    )


def _apply_environment(
    document: YamlDocument, environment: Mapping[str, str]
) -> tuple[YamlDocument, list[Finding]]:
    """Override the file's keys with variables such as ``MONSOONPIER_NAME``."""
    content = dict(document.content)
    places = dict(document.places_by_path)
    findings: list[Finding] = []
    for variable in sorted(environment):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        key = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
        value, problems = read_document(environment[variable], file=variable)
        findings += problems
        content[key] = value.content
        places[(key,)] = Place(file=variable)
    merged = YamlDocument(file=document.file, content=content, places_by_path=places)
    return merged, findings


def _check_role(document: YamlDocument, role: str) -> list[Finding]:
    """Check that the settings are for a role and have the keys that it requires."""
    content = document.content
    findings = []
    if content.get("role") not in (role, None):
        findings.append(
            Finding(
                place=document.place(("role",)),
                problem=f"these settings are for role {content['role']!r}",
                hint=f"this command needs role: {role}",
            )
        )
        return findings
    for key in _NEEDED_BY_ROLE[role]:
        if key not in content:
            findings.append(
                Finding(
                    place=document.place(()), problem=f"{key!r} is missing", hint=role
                )
            )
    return findings


def _check_values(document: YamlDocument) -> list[Finding]:
    """Check what the schema can't: addresses, numbers and conflicting values."""
    content = document.content
    findings = []
    for path, text in _list_addresses(content):
        try:
            Address.parse(text)
        except ValueError as error:
            findings.append(Finding(place=document.place(path), problem=str(error)))
    ip = content.get("service_bind_ip")
    if ip is not None:
        try:
            ipaddress.IPv4Address(ip)
        except ValueError as error:
            place = document.place(("service_bind_ip",))
            findings.append(Finding(place=place, problem=str(error)))
    for key in ("configuration_seconds", "link_megabits"):
        if math.isnan(content.get(key, 1.0)):
            place = document.place((key,))
            findings.append(Finding(place=place, problem="not a number"))
    tcp = [content.get("control"), content.get("metrics")]
    if tcp[0] is not None and tcp[0] == tcp[1]:
        place = document.place(("metrics",))
        problem = "metrics and control have the same address"
        findings.append(Finding(place=place, problem=problem))
    ids = [key["id"] for key in content["keys"]]
    if len(set(ids)) < len(ids):
        place = document.place(("keys",))
        findings.append(Finding(place=place, problem="two keys have the same id"))
    return findings


def _list_addresses(content: dict) -> list[tuple[tuple, str]]:
    """Return the path and text of each address."""
    found = [((key,), content[key]) for key in _ADDRESS_KEYS if key in content]
    seeds = content.get("seeds", [])
    return found + [(("seeds", n), seed) for n, seed in enumerate(seeds)]


def _build_settings(content: dict) -> Settings:
    addresses = {
        key: Address.parse(content[key]) for key in _ADDRESS_KEYS if key in content
    }
    target = content.get("target")
    keys = tuple(
        Key(id=raw["id"], secret=bytes.fromhex(raw["secret"]))
        for raw in content["keys"]
    )
    return Settings(
        role=content["role"],
        name=content["name"],
        data_centre=content["data_centre"],
        platform=tuple(content["platform"]),
        keys=KeyRing(keys=keys),
        service_bind_ip=content.get("service_bind_ip"),
        seeds=tuple(Address.parse(seed) for seed in content.get("seeds", [])),
        target=TargetSettings(**target) if target else None,
        reserve_slots=content.get("reserve_slots", False),
        link_megabits=content.get("link_megabits"),
        configuration_seconds=content.get(
            "configuration_seconds", CONFIGURATION_SECONDS
        ),
        **addresses,
    )


def _mask(content: dict) -> dict:
    masked = dict(content)
    masked["keys"] = [{"id": key["id"], "secret": "****"} for key in content["keys"]]
    return masked
