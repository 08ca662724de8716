"""Changes of the stored configuration by compare-and-swap.

The configuration and its audit entry are written in one transaction. Both
contain the apply id, which identifies the change if the response to the write
is lost.
"""

import random
from dataclasses import dataclass

import msgspec

from monsoonpier.documents.configuration import difference, parse_files
from monsoonpier.documents.stored import (
    StoredConfiguration,
    decode_stored,
    encode_stored,
)
from monsoonpier.model.revision import NO_REVISION, Revision
from monsoonpier.model.service import Service
from monsoonpier.operator.conditional_write import (
    RESOLVE_SECONDS,
    PreconditionFailed,
    Unresolved,
    WriteIdentity,
    Written,
    write_if_unchanged,
)
from monsoonpier.store.interface import Compare, Put, Store, StoreError
from monsoonpier.store.keys import AUDIT, CONFIGURATION, audit_key

__all__ = [
    "Accepted",
    "AuditEntry",
    "BaseConfiguration",
    "ConfigurationChange",
    "Conflict",
    "Unknown",
    "store_change",
    "read_audit",
    "read_stored",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class BaseConfiguration:
    """The configuration that a change is based on, with its store revision."""

    stored: StoredConfiguration
    mod_revision: Revision = NO_REVISION

    @property
    def version(self) -> int:
        """The version of the configuration; 0 if none is stored."""
        return self.stored.version


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """An operator's request to replace the configuration by a set of files.

    Attributes:
        apply_id: Unique identifier of the change.
        who: Name of the operator.
        at: Time of the request, in ISO 8601.
        texts_by_name: Contents of the files, by file name.
        note: Kind of change, as the audit trail shows it.
    """

    apply_id: str
    who: str
    at: str
    texts_by_name: dict[str, str]
    note: str = "apply"


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the audit trail, with the files of that version."""

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
    """Outcome of a change that was stored under ``version``."""

    version: int
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Outcome of a change that was not stored because ``by`` came first."""

    by: BaseConfiguration


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """Outcome of a change that the store could not confirm or rule out."""

    reason: str
    apply_id: str


async def store_change(
    platform: Store,
    wanted: ConfigurationChange,
    *,
    base: BaseConfiguration,
    newest_in_force: int = 0,
    draw: random.Random,
    resolve_seconds: float = RESOLVE_SECONDS,
) -> Accepted | Conflict | Unknown:
    """Store a configuration if the stored one is still ``base``.

    The new version is greater than any version in force on a balancer, so that
    no version number is reused after the store was restored from a backup.

    Args:
        platform: The store.
        wanted: The change; its files must be free of errors.
        base: The configuration that the change replaces.
        newest_in_force: The newest version in force on any balancer; 0 if
            unknown.
        draw: Source of random numbers for the delays between attempts.
        resolve_seconds: How long to retry while the store fails.
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
    identity = WriteIdentity(
        key=audit_key(version),
        is_own=lambda value: _decode_entry(value).apply_id == wanted.apply_id,
    )
    outcome = await write_if_unchanged(
        platform,
        compares=compares,
        puts=_make_puts(entry, services),
        identity=identity,
        draw=draw,
        resolve_seconds=resolve_seconds,
    )
    match outcome:
        case Written():
            return Accepted(version=version, difference=lines)
        case PreconditionFailed():
            try:
                return Conflict(by=await read_stored(platform))
            except StoreError as error:
                return Unknown(reason=str(error), apply_id=wanted.apply_id)
        case Unresolved(reason=reason):
            return Unknown(reason=reason, apply_id=wanted.apply_id)


async def read_stored(platform: Store) -> BaseConfiguration:
    """Return the stored configuration, or an empty one of version 0.

    Raises:
        StoreError: If the platform can't be reached.
    """
    found = await platform.read(CONFIGURATION)
    value = found.values_by_key.get(CONFIGURATION)
    if value is None:
        empty = StoredConfiguration(
            version=0, apply_id="", who="", at="", files={}, services={}
        )
        return BaseConfiguration(stored=empty)
    return BaseConfiguration(
        stored=decode_stored(value.value), mod_revision=value.mod_revision
    )


async def read_audit(platform: Store, *, version: int = 0) -> list[AuditEntry]:
    """Return the audit trail, oldest first, or only one version's entry.

    Raises:
        StoreError: If the platform can't be reached.
    """
    if version:
        found = await platform.read(audit_key(version))
    else:
        found = await platform.read(AUDIT, prefix=True)
    values = found.values_by_key
    return [_decode_entry(values[key].value) for key in sorted(values)]


def _make_puts(entry: AuditEntry, services: dict[str, Service]) -> tuple[Put, ...]:
    stored = StoredConfiguration(
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
