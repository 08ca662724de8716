"""Parsing and checking of a set of operators' service files."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from monsoonpier.documents.yaml_document import YamlDocument, read_document
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
# The platform's store limits a value to one megabyte. A value holds the files and the
# services that they declare.
MAX_SET_BYTES = 300_000
MAX_STORED_BYTES = 950_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedFiles:
    """The services that a set of files declares, or all problems found."""

    services_by_name: dict[str, Service] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()


def read_files(paths: Iterable[Path]) -> tuple[dict[str, str], list[Finding]]:
    """Read files, and all YAML files of folders; return texts by file name."""
    texts_by_name: dict[str, str] = {}
    findings: list[Finding] = []
    for path in paths:
        files = sorted(path.glob("*.y*ml")) if path.is_dir() else [path]
        if not files:
            place = Place(file=str(path))
            findings.append(
                Finding(place=place, problem="the folder has no YAML files")
            )
        for file in files:
            place = Place(file=str(file))
            if file.name in texts_by_name:
                problem = f"another file has the same name {file.name!r}"
                findings.append(Finding(place=place, problem=problem))
                continue
            try:
                texts_by_name[file.name] = file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                reason = getattr(error, "strerror", None) or "not UTF-8 text"
                findings.append(Finding(place=place, problem=reason))
    return texts_by_name, findings


def parse_files(texts_by_name: dict[str, str]) -> ParsedFiles:
    """Parse and check a set of files; return its services or all findings."""
    findings = _check_size(texts_by_name)
    if findings:
        return ParsedFiles(findings=tuple(findings))
    documents = []
    for name, text in sorted(texts_by_name.items()):
        document, problems = read_document(text, file=name)
        problems = problems or document.check("configuration")
        findings += problems
        if not problems:
            documents.append(document)
    services_by_name, conflicts = _merge(documents)
    findings += conflicts
    findings = findings or _check_stored(services_by_name, texts_by_name)
    if findings:
        return ParsedFiles(findings=tuple(findings))
    return ParsedFiles(services_by_name=services_by_name)


def difference(old: dict[str, Service], new: dict[str, Service]) -> list[str]:
    """Return a line for each service added, removed or changed.

    Changes are listed by part of the service.
    """
    lines = [f"+ {name}: {_describe(new[name])}" for name in sorted(new.keys() - old)]
    lines += [f"- {name}: {_describe(old[name])}" for name in sorted(old.keys() - new)]
    for name in sorted(old.keys() & new.keys()):
        before, after = _describe_parts(old[name]), _describe_parts(new[name])
        for key in sorted(before.keys() | after.keys()):
            old_text, new_text = before.get(key, "none"), after.get(key, "none")
            if old_text != new_text:
                lines.append(f"~ {name}.{key}: {old_text} -> {new_text}")
    return lines


def _describe_parts(service: Service) -> dict[str, str]:
    """Return each part of a service as text, by its path in the file."""
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
        hint = f"at most {MAX_SET_BYTES}"
        findings.append(Finding(place=Place(file="(set)"), problem=problem, hint=hint))
    return findings


def _check_stored(
    services_by_name: dict[str, Service], texts_by_name: dict[str, str]
) -> list[Finding]:
    """Check that the files and their services fit into one stored value."""
    size = len(json.dumps(texts_by_name)) + len(msgspec.json.encode(services_by_name))
    if size <= MAX_STORED_BYTES:
        return []
    problem = f"the set and its services take {size} bytes"
    hint = f"at most {MAX_STORED_BYTES}"
    return [Finding(place=Place(file="(set)"), problem=problem, hint=hint)]


def _merge(
    documents: list[YamlDocument],
) -> tuple[dict[str, Service], list[Finding]]:
    """Join the services of all files; report conflicts between them."""
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
            services_by_name[name] = _build_service(name, raw, address)
            findings += _find_overlaps(name, raw, document, services_by_name)
    return services_by_name, findings


def _find_overlaps(
    name: str,
    raw: dict,
    document: YamlDocument,
    services_by_name: dict[str, Service],
) -> list[Finding]:
    """Report targets of a service that an earlier one lists or allows as well.

    Patterns are compared by equality only.
    """
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


def _build_service(name: str, raw: dict, address: Address) -> Service:
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
    """Return a service's address, targets and kinds on one line."""
    kinds = ", ".join(sorted(service.kinds_by_name))
    return f"{service.address}, targets {', '.join(service.targets)}, kinds {kinds}"
