"""Changing the configuration: compare-and-swap, and what became of it.

The stored value and its audit entry are written in one transaction, and both
carry the apply id.
"""

import random
from dataclasses import dataclass

import msgspec

from monsoonpier.documents.configuration import difference, parse_files
from monsoonpier.documents.stored import Stored, decode_stored, encode_stored
from monsoonpier.model.revision import NO_REVISION, Revision
from monsoonpier.model.service import Service
from monsoonpier.operator.write import (
    RESOLVE_SECONDS,
    Proof,
    Refused,
    Undecided,
    Written,
    write,
)
from monsoonpier.store.interface import Compare, Put, Store, StoreError
from monsoonpier.store.keys import AUDIT, CONFIGURATION, audit_key

__all__ = [
    "Accepted",
    "AuditEntry",
    "Base",
    "Change",
    "Conflict",
    "Unknown",
    "change",
    "read_audit",
    "read_stored",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Base:
    """The configuration as it was read, and the revision to compare with."""

    stored: Stored
    mod_revision: Revision = NO_REVISION

    @property
    def version(self) -> int:
        """The version in the platform; 0 if there is none."""
        return self.stored.version


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A set of files that an operator wants in force."""

    apply_id: str
    who: str
    at: str
    texts_by_name: dict[str, str]
    note: str = "apply"


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the audit trail, with the files as they were then."""

    version: int
    previous: int
    apply_id: str
    who: str
    at: str
    note: str
    difference: tuple[str, ...]
    files: dict[str, str]
    result: str = "accepted"


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The change is stored as that version."""

    version: int
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another change came first; this one has changed nothing."""

    by: Base


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The platform could not be asked whether the write took effect."""

    reason: str
    apply_id: str


async def change(
    platform: Store,
    wanted: Change,
    *,
    base: Base,
    newest_in_force: int = 0,
    draw: random.Random,
    resolve_seconds: float = RESOLVE_SECONDS,
) -> Accepted | Conflict | Unknown:
    """Store a change on top of ``base``, the configuration as it was read.

    The version is above any that a balancer has in force: a platform that was
    restored from a backup must not bring a number into use a second time.

    Raises:
        StoreError: If the platform was unreachable before anything was sent.
    """
    version = max(base.version, newest_in_force) + 1
    services = parse_files(wanted.texts_by_name).services_by_name
    lines = tuple(difference(base.stored.services, services))
    compares = (
        Compare(key=CONFIGURATION, mod_revision=base.mod_revision),
        Compare(key=audit_key(version)),
    )
    entry = AuditEntry(
        version=version,
        previous=base.version,
        apply_id=wanted.apply_id,
        who=wanted.who,
        at=wanted.at,
        note=wanted.note,
        difference=lines,
        files=wanted.texts_by_name,
    )
    proof = Proof(
        key=audit_key(version),
        is_own=lambda value: _decode_entry(value).apply_id == wanted.apply_id,
    )
    outcome = await write(
        platform,
        compares=compares,
        puts=_puts(entry, services),
        proof=proof,
        draw=draw,
        resolve_seconds=resolve_seconds,
    )
    match outcome:
        case Written():
            return Accepted(version=version, difference=lines)
        case Refused():
            try:
                return Conflict(by=await read_stored(platform))
            except StoreError as error:
                return Unknown(reason=str(error), apply_id=wanted.apply_id)
        case Undecided(reason=reason):
            return Unknown(reason=reason, apply_id=wanted.apply_id)


async def read_stored(platform: Store) -> Base:
    """Return the configuration that the platform holds."""
    found = await platform.read(CONFIGURATION)
    value = found.values_by_key.get(CONFIGURATION)
    if value is None:
        nothing = Stored(version=0, apply_id="", who="", at="", files={}, services={})
        return Base(stored=nothing)
    return Base(stored=decode_stored(value.value), mod_revision=value.mod_revision)


async def read_audit(platform: Store, *, version: int = 0) -> list[AuditEntry]:
    """Return the audit trail, the oldest first, or one version's entry."""
    if version:
        found = await platform.read(audit_key(version))
    else:
        found = await platform.read(AUDIT, prefix=True)
    values = found.values_by_key
    return [_decode_entry(values[key].value) for key in sorted(values)]


def _puts(entry: AuditEntry, services: dict[str, Service]) -> tuple[Put, ...]:
    stored = Stored(
        version=entry.version,
        apply_id=entry.apply_id,
        who=entry.who,
        at=entry.at,
        files=entry.files,
        services=services,
    )
    return (
        Put(key=CONFIGURATION, value=encode_stored(stored)),
        Put(key=audit_key(entry.version), value=msgspec.json.encode(entry)),
    )


_decode_entry = msgspec.json.Decoder(AuditEntry).decode
