"""Orders to evacuate data centres, in the store with an audit trail."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from monsoonpier.model.revision import Revision
from monsoonpier.model.target import Condition
from monsoonpier.operator.conditional_write import (
    PreconditionFailed,
    Unresolved,
    WriteIdentity,
    Written,
    write_if_unchanged,
)
from monsoonpier.store.interface import Compare, KeyValue, Put, Store
from monsoonpier.store.keys import EVACUATION_AUDIT, EVACUATIONS
from monsoonpier.wire.control import TargetStatus

__all__ = [
    "EvacuationEntry",
    "EvacuationOrder",
    "StoredOrder",
    "find_obstacles",
    "read_evacuation_audit",
    "read_orders",
    "remove_order",
    "store_order",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationOrder:
    """An operator's order to evacuate or readmit a data centre.

    Attributes:
        data_centre: Name of the data centre.
        order_id: Unique identifier of the order.
        who: Name of the operator.
        at: Time of the order, in ISO 8601.
    """

    data_centre: str
    order_id: str
    who: str
    at: str


class EvacuationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An order as it is stored, both in force and in the audit trail."""

    data_centre: str
    order_id: str
    who: str
    at: str
    note: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredOrder:
    """An evacuation in force, with the store revision that wrote it."""

    entry: EvacuationEntry
    revision: Revision


_decode = msgspec.json.Decoder(EvacuationEntry).decode
_encode = msgspec.json.Encoder().encode


async def store_order(
    platform: Store, order: EvacuationOrder, *, draw: random.Random
) -> Written | PreconditionFailed | Unresolved:
    """Store an order to evacuate a data centre unless one is in force already."""
    entry = _make_entry(order, note="evacuate")
    key = EVACUATIONS + order.data_centre
    return await write_if_unchanged(
        platform,
        compares=(Compare(key=key),),
        puts=(Put(key=key, value=_encode(entry)), _make_audit_put(entry)),
        identity=_make_write_identity(entry),
        draw=draw,
    )


async def remove_order(
    platform: Store, order: EvacuationOrder, *, stored: StoredOrder, draw: random.Random
) -> Written | PreconditionFailed | Unresolved:
    """Delete an evacuation order if it is unchanged since it was read.

    Args:
        platform: The store.
        order: The readmission, which is added to the audit trail.
        stored: The evacuation order to delete, as it was read.
        draw: Source of random numbers for the delays between attempts.
    """
    entry = _make_entry(order, note="readmit")
    key = EVACUATIONS + order.data_centre
    return await write_if_unchanged(
        platform,
        compares=(Compare(key=key, mod_revision=stored.revision),),
        puts=(_make_audit_put(entry),),
        removes=(key,),
        identity=_make_write_identity(entry),
        draw=draw,
    )


async def read_orders(platform: Store) -> dict[str, StoredOrder]:
    """Return the evacuations in force, by data centre.

    Raises:
        StoreError: If the platform can't be reached.
    """
    found = await platform.read(EVACUATIONS, prefix=True)
    return {
        key.removeprefix(EVACUATIONS): _decode_order(key, value)
        for key, value in found.values_by_key.items()
    }


async def read_evacuation_audit(platform: Store) -> list[EvacuationEntry]:
    """Return the audit trail of evacuations, oldest entry first.

    Raises:
        StoreError: If the platform can't be reached.
    """
    found = await platform.read(EVACUATION_AUDIT, prefix=True)
    values = found.values_by_key
    return [_decode(values[key].value) for key in sorted(values)]


def find_obstacles(
    data_centre: str, targets: Iterable[TargetStatus], *, evacuated: Iterable[str]
) -> list[str]:
    """Return the reasons not to evacuate a data centre, as texts.

    Args:
        data_centre: Name of the data centre.
        targets: All targets that the balancers report.
        evacuated: Data centres that are evacuated already.
    """
    serving = [t for t in targets if t.record.condition < Condition.LEAVING]
    data_centres = {t.record.data_centre for t in serving}
    if data_centre not in data_centres:
        known = ", ".join(sorted(data_centres)) or "none"
        return [f"no target is in data centre {data_centre!r}; known: {known}"]
    unavailable = {data_centre, *evacuated}
    here = {t.record.service for t in serving if t.record.data_centre == data_centre}
    elsewhere = {
        t.record.service for t in serving if t.record.data_centre not in unavailable
    }
    return [
        f"{data_centre} is the last data centre that serves {service!r}"
        for service in sorted(here - elsewhere)
    ]


def _make_entry(order: EvacuationOrder, *, note: str) -> EvacuationEntry:
    return EvacuationEntry(
        data_centre=order.data_centre,
        order_id=order.order_id,
        who=order.who,
        at=order.at,
        note=note,
    )


def _audit_key(entry: EvacuationEntry) -> str:
    return f"{EVACUATION_AUDIT}{entry.at}-{entry.order_id}"


def _make_audit_put(entry: EvacuationEntry) -> Put:
    return Put(key=_audit_key(entry), value=_encode(entry))


def _make_write_identity(entry: EvacuationEntry) -> WriteIdentity:
    # The audit entry's key contains the order's identifier, so any value under
    # it was written by this order.
    return WriteIdentity(key=_audit_key(entry), is_own=lambda value: True)


def _decode_order(key: str, value: KeyValue) -> StoredOrder:
    """Decode a stored order, with placeholders if its value is malformed.

    A malformed order is in force, too, so that it must be shown and removable.
    """
    try:
        entry = _decode(value.value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        name = key.removeprefix(EVACUATIONS)
        entry = EvacuationEntry(
            data_centre=name, order_id="", who="unknown", at="unknown", note="evacuate"
        )
    return StoredOrder(entry=entry, revision=value.mod_revision)
