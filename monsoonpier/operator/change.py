"""Changing the configuration: compare-and-swap, and what became of it.

The stored value and its audit entry are written in one transaction, and both
carry the apply id. If the answer is lost, reading them back tells whether the
write took effect, even after another operator's change followed it.
"""

import asyncio
import json
import random
from dataclasses import dataclass

from monsoonpier.documents.configuration import difference, parse_files
from monsoonpier.model.service import Service
from monsoonpier.platform.backoff import Backoff
from monsoonpier.platform.interface import Compare, Platform, PlatformError, Put
from monsoonpier.platform.keys import AUDIT, CONFIGURATION, audit_key

__all__ = [
    "Accepted",
    "AuditEntry",
    "Change",
    "Conflict",
    "Stored",
    "Unknown",
    "change",
    "read_audit",
    "read_stored",
]

RESOLVE_SECONDS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """The configuration in the platform; version 0 if there is none."""

    version: int = 0
    apply_id: str = ""
    who: str = ""
    at: str = ""
    mod_revision: int = 0
    texts_by_name: dict[str, str]

    @property
    def services_by_name(self) -> dict[str, Service]:
        """The services that the stored files declare."""
        if not self.texts_by_name:
            return {}
        return parse_files(self.texts_by_name).services_by_name


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A set of files that an operator wants in force."""

    apply_id: str
    who: str
    at: str
    texts_by_name: dict[str, str]
    note: str = "apply"


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """One line of the audit trail, with the files as they were then."""

    version: int
    previous: int
    apply_id: str
    who: str
    at: str
    note: str
    difference: tuple[str, ...]
    texts_by_name: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The change is stored as that version."""

    version: int
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another change came first; this one has changed nothing."""

    by: Stored


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The platform could not be asked whether the write took effect."""

    reason: str
    apply_id: str


async def change(
    platform: Platform,
    wanted: Change,
    *,
    base: Stored,
    newest_in_force: int = 0,
    draw: random.Random,
    resolve_seconds: float = RESOLVE_SECONDS,
) -> Accepted | Conflict | Unknown:
    """Store a change on top of ``base``, the configuration as it was read.

    The version is above any that a balancer has in force: a platform that was
    restored from a backup must not bring a number into use a second time.

    Raises:
        PlatformError: If the platform was unreachable before anything was sent.
    """
    version = max(base.version, newest_in_force) + 1
    lines = tuple(
        difference(
            base.services_by_name, parse_files(wanted.texts_by_name).services_by_name
        )
    )
    compares = (
        Compare(key=CONFIGURATION, mod_revision=base.mod_revision),
        Compare(key=audit_key(version), mod_revision=0),
    )
    puts = _puts(wanted, version=version, previous=base.version, lines=lines)
    accepted = Accepted(version=version, difference=lines)
    backoff = Backoff(first_seconds=0.05, most_seconds=1.0)
    deadline = asyncio.get_running_loop().time() + resolve_seconds
    while True:
        try:
            result = await platform.transact(compares=compares, puts=puts)
            if result.succeeded:
                return accepted
            return await _resolve(platform, wanted, accepted)
        except PlatformError as error:
            # The same compares make a second try harmless: if the first took
            # effect they fail, and reading back finds this apply's id.
            if asyncio.get_running_loop().time() >= deadline:
                return Unknown(reason=str(error), apply_id=wanted.apply_id)
            await asyncio.sleep(backoff.wait_seconds(draw=draw))
            backoff = backoff.after_failure()


async def _resolve(
    platform: Platform, wanted: Change, accepted: Accepted
) -> Accepted | Conflict:
    """Tell a write whose answer was lost from one that came second."""
    found = await platform.read(audit_key(accepted.version))
    for value in found.values_by_key.values():
        if _audit_entry(value.value).apply_id == wanted.apply_id:
            return accepted
    return Conflict(by=await read_stored(platform))


async def read_stored(platform: Platform) -> Stored:
    """Return the configuration that the platform holds."""
    found = await platform.read(CONFIGURATION)
    value = found.values_by_key.get(CONFIGURATION)
    if value is None:
        return Stored(texts_by_name={})
    content = json.loads(value.value)
    return Stored(
        version=content["version"],
        apply_id=content["apply_id"],
        who=content["who"],
        at=content["at"],
        mod_revision=value.mod_revision,
        texts_by_name=content["files"],
    )


async def read_audit(platform: Platform, *, version: int = 0) -> list[AuditEntry]:
    """Return the audit trail, the oldest first, or one version's entry."""
    if version:
        found = await platform.read(audit_key(version))
    else:
        found = await platform.read(AUDIT, prefix=True)
    values = found.values_by_key
    return [_audit_entry(values[key].value) for key in sorted(values)]


def _puts(
    wanted: Change, *, version: int, previous: int, lines: tuple[str, ...]
) -> tuple[Put, ...]:
    common = {
        "version": version,
        "apply_id": wanted.apply_id,
        "who": wanted.who,
        "at": wanted.at,
        "files": wanted.texts_by_name,
    }
    entry = common | {
        "previous": previous,
        "note": wanted.note,
        "difference": lines,
        "result": "accepted",
    }
    return (
        Put(key=CONFIGURATION, value=json.dumps(common).encode()),
        Put(key=audit_key(version), value=json.dumps(entry).encode()),
    )


def _audit_entry(raw: bytes) -> AuditEntry:
    content = json.loads(raw)
    return AuditEntry(
        version=content["version"],
        previous=content["previous"],
        apply_id=content["apply_id"],
        who=content["who"],
        at=content["at"],
        note=content["note"],
        difference=tuple(content["difference"]),
        texts_by_name=content["files"],
    )
