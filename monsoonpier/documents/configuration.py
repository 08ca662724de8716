"""Operators' files: parsed and checked as a set, whole or not at all."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from monsoonpier.documents.marked import MarkedDocument, read_document
from monsoonpier.model.address import Address
from monsoonpier.model.findings import Finding, Place
from monsoonpier.model.service import (
    Kind,
    Limits,
    Preference,
    Service,
)

__all__ = ["ParsedFiles", "difference", "parse_files", "read_files"]

MAX_FILES = 200
# The platform holds values up to a megabyte, and the services that the files
# declare are stored beside them.
MAX_SET_BYTES = 300_000
MAX_STORED_BYTES = 950_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedFiles:
    """A set of files as services, or all that is wrong with it."""

    services_by_name: dict[str, Service] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()


def read_files(paths: Iterable[Path]) -> tuple[dict[str, str], list[Finding]]:
    """Return the texts by file name; a folder stands for its YAML files."""
    texts_by_name: dict[str, str] = {}
    findings: list[Finding] = []
    for path in paths:
        files = sorted(path.glob("*.y*ml")) if path.is_dir() else [path]
        if not files:
            place = Place(file=str(path))
            findings.append(Finding(place=place, problem="no YAML files in it"))
        for file in files:
            place = Place(file=str(file))
            if file.name in texts_by_name:
                problem = f"a second file is named {file.name!r}"
                findings.append(Finding(place=place, problem=problem))
                continue
            try:
                texts_by_name[file.name] = file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                reason = getattr(error, "strerror", None) or "not UTF-8 text"
                findings.append(Finding(place=place, problem=reason))
    return texts_by_name, findings


def parse_files(texts_by_name: dict[str, str]) -> ParsedFiles:
    """Check a whole set of files and return its services."""
    findings = _check_size(texts_by_name)
    if findings:
        return ParsedFiles(findings=tuple(findings))
    documents = []
    for name, text in sorted(texts_by_name.items()):
        document, wrong = read_document(text, file=name)
        wrong = wrong or document.check("configuration")
        findings += wrong
        if not wrong:
            documents.append(document)
    services_by_name, clashes = _merge(documents)
    findings += clashes
    findings = findings or _check_stored(services_by_name, texts_by_name)
    if findings:
        return ParsedFiles(findings=tuple(findings))
    return ParsedFiles(services_by_name=services_by_name)


def difference(old: dict[str, Service], new: dict[str, Service]) -> list[str]:
    """Return a line for each service or part of one that differs."""
    lines = [f"+ {name}: {_describe(new[name])}" for name in sorted(new.keys() - old)]
    lines += [f"- {name}: {_describe(old[name])}" for name in sorted(old.keys() - new)]
    for name in sorted(old.keys() & new.keys()):
        before, after = _parts(old[name]), _parts(new[name])
        for key in sorted(before.keys() | after.keys()):
            was, is_now = before.get(key, "none"), after.get(key, "none")
            if was != is_now:
                lines.append(f"~ {name}.{key}: {was} -> {is_now}")
    return lines


def _parts(service: Service) -> dict[str, str]:
    """Return the text of each part of a service, by its path in the file."""
    limits = service.limits
    parts = {
        "address": str(service.address),
        "targets": ", ".join(service.targets),
        "prefer": service.prefer.value,
        "limits.queue_per_slot": str(limits.queue_per_slot),
        "limits.cold_start_seconds": f"{limits.cold_start_seconds:g}",
        "limits.max_request_bytes": str(limits.max_request_bytes),
    }
    for name, kind in service.kinds_by_name.items():
        traits = ["idempotent"] * kind.idempotent + ["stream"] * kind.stream
        deadline = f"deadline {kind.deadline_seconds:g} s"
        parts[f"kinds.{name}"] = " ".join([*traits, deadline])
    return parts


def _check_size(texts_by_name: dict[str, str]) -> list[Finding]:
    findings = []
    if not texts_by_name:
        findings.append(Finding(place=Place(file="(none)"), problem="no files"))
    if len(texts_by_name) > MAX_FILES:
        problem = f"more than {MAX_FILES} files"
        findings.append(Finding(place=Place(file="(set)"), problem=problem))
    size = len(json.dumps(texts_by_name).encode())
    if size > MAX_SET_BYTES:
        problem = f"the set takes {size} bytes"
        hint = f"{MAX_SET_BYTES} at the most"
        findings.append(Finding(place=Place(file="(set)"), problem=problem, hint=hint))
    return findings


def _check_stored(
    services_by_name: dict[str, Service], texts_by_name: dict[str, str]
) -> list[Finding]:
    """Find a set whose services, beside its files, outgrow the platform's value."""
    size = len(json.dumps(texts_by_name)) + len(msgspec.json.encode(services_by_name))
    if size <= MAX_STORED_BYTES:
        return []
    problem = f"the set and its services take {size} bytes"
    hint = f"{MAX_STORED_BYTES} at the most"
    return [Finding(place=Place(file="(set)"), problem=problem, hint=hint)]


def _merge(
    documents: list[MarkedDocument],
) -> tuple[dict[str, Service], list[Finding]]:
    """Join the files' services; report what clashes between them."""
    services_by_name: dict[str, Service] = {}
    places_by_name: dict[str, Place] = {}
    names_by_address: dict[Address, str] = {}
    findings: list[Finding] = []
    for document in documents:
        for name, raw in document.content["services"].items():
            place = document.place(("services", name))
            if name in services_by_name:
                problem = f"service {name!r} is declared twice"
                hint = f"first at {places_by_name[name]}"
                findings.append(Finding(place=place, problem=problem, hint=hint))
                continue
            address_place = document.place(("services", name, "address"))
            try:
                address = Address.parse(raw["address"])
            except ValueError as error:
                findings.append(Finding(place=address_place, problem=str(error)))
                continue
            if address in names_by_address:
                problem = f"address {address} is used twice"
                hint = f"also by service {names_by_address[address]!r}"
                findings.append(
                    Finding(place=address_place, problem=problem, hint=hint)
                )
            names_by_address.setdefault(address, name)
            places_by_name[name] = place
            services_by_name[name] = _service(name, raw, address)
            findings += _overlaps(name, raw, document, services_by_name)
    return services_by_name, findings


def _overlaps(
    name: str,
    raw: dict,
    document: MarkedDocument,
    services_by_name: dict[str, Service],
) -> list[Finding]:
    """Report targets named outright that another service allows as well."""
    findings = []
    for other in services_by_name.values():
        if other.name == name:
            continue
        for number, target in enumerate(raw["targets"]):
            if target in other.targets or (
                not set(target) & set("*?") and other.allows(target)
            ):
                place = document.place(("services", name, "targets", number))
                problem = f"target {target!r} is allowed by two services"
                hint = f"also by service {other.name!r}"
                findings.append(Finding(place=place, problem=problem, hint=hint))
    return findings


def _service(name: str, raw: dict, address: Address) -> Service:
    kinds_by_name = {
        kind: Kind(name=kind, **options) for kind, options in raw["kinds"].items()
    }
    return Service(
        name=name,
        address=address,
        targets=tuple(raw["targets"]),
        kinds_by_name=kinds_by_name,
        limits=Limits(**raw.get("limits", {})),
        prefer=Preference(raw.get("prefer", "local")),
    )


def _describe(service: Service) -> str:
    kinds = ", ".join(sorted(service.kinds_by_name))
    return f"{service.address}, targets {', '.join(service.targets)}, kinds {kinds}"
