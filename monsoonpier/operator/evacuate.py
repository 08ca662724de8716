"""Orders to evacuate a data centre: written and taken back with an audit trail."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from monsoonpier.model.revision import Revision
from monsoonpier.model.target import Condition
from monsoonpier.operator.write import Proof, Refused, Undecided, Written, write
from monsoonpier.store.interface import Compare, KeyValue, Put, Store
from monsoonpier.store.keys import EVACUATION_AUDIT, EVACUATIONS
from monsoonpier.wire.control import TargetStatus

__all__ = [
    "EvacuationEntry",
    "Order",
    "StoredOrder",
    "find_obstacles",
    "place_order",
    "read_entries",
    "read_orders",
    "take_back",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """What an operator wants of a data centre."""

    data_centre: str
    order_id: str
    who: str
    at: str


class EvacuationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An order as it is stored, and its line of the audit trail."""

    data_centre: str
    order_id: str
    who: str
    at: str
    note: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredOrder:
    """An order that is in the store, with the revision that wrote it."""

    entry: EvacuationEntry
    revision: Revision


_decode = msgspec.json.Decoder(EvacuationEntry).decode
_encode = msgspec.json.Encoder().encode


async def place_order(
    platform: Store, order: Order, *, draw: random.Random
) -> Written | Refused | Undecided:
    """Order an evacuation; refused if the data centre is evacuated already."""
    entry = _entry(order, note="evacuate")
    key = EVACUATIONS + order.data_centre
    return await write(
        platform,
        compares=(Compare(key=key),),
        puts=(Put(key=key, value=_encode(entry)), _audit_put(entry)),
        proof=_proof(entry),
        draw=draw,
    )


async def take_back(
    platform: Store, order: Order, *, held: StoredOrder, draw: random.Random
) -> Written | Refused | Undecided:
    """Take an evacuation back; refused if another order came since ``held``."""
    entry = _entry(order, note="readmit")
    key = EVACUATIONS + order.data_centre
    return await write(
        platform,
        compares=(Compare(key=key, mod_revision=held.revision),),
        puts=(_audit_put(entry),),
        removes=(key,),
        proof=_proof(entry),
        draw=draw,
    )


async def read_orders(platform: Store) -> dict[str, StoredOrder]:
    """Return the orders in force, by data centre.

    Raises:
        StoreError: If the platform can't be reached.
    """
    found = await platform.read(EVACUATIONS, prefix=True)
    return {
        key.removeprefix(EVACUATIONS): _stored(key, value)
        for key, value in found.values_by_key.items()
    }


async def read_entries(platform: Store) -> list[EvacuationEntry]:
    """Return the audit trail of evacuations, the oldest first.

    Raises:
        StoreError: If the platform can't be reached.
    """
    found = await platform.read(EVACUATION_AUDIT, prefix=True)
    values = found.values_by_key
    return [_decode(values[key].value) for key in sorted(values)]


def find_obstacles(
    data_centre: str, targets: Iterable[TargetStatus], *, evacuated: Iterable[str]
) -> list[str]:
    """Return what speaks against evacuating a data centre, if anything.

    Args:
        data_centre: Its name.
        targets: All targets that balancers know.
        evacuated: Data centres that are evacuated already.
    """
    serving = [t for t in targets if t.record.condition < Condition.LEAVING]
    places = {t.record.data_centre for t in serving}
    if data_centre not in places:
        known = ", ".join(sorted(places)) or "none"
        return [f"no target is in data centre {data_centre!r}; known: {known}"]
    closed = {data_centre, *evacuated}
    here = {t.record.service for t in serving if t.record.data_centre == data_centre}
    elsewhere = {
        t.record.service for t in serving if t.record.data_centre not in closed
    }
    return [
        f"{data_centre} is the last data centre that serves {service!r}"
        for service in sorted(here - elsewhere)
    ]


def _entry(order: Order, *, note: str) -> EvacuationEntry:
    return EvacuationEntry(
        data_centre=order.data_centre,
        order_id=order.order_id,
        who=order.who,
        at=order.at,
        note=note,
    )


def _audit_key(entry: EvacuationEntry) -> str:
    return f"{EVACUATION_AUDIT}{entry.at}-{entry.order_id}"


def _audit_put(entry: EvacuationEntry) -> Put:
    return Put(key=_audit_key(entry), value=_encode(entry))


def _proof(entry: EvacuationEntry) -> Proof:
    return Proof(key=_audit_key(entry), is_own=lambda value: True)


def _stored(key: str, value: KeyValue) -> StoredOrder:
    """Return an order, also one that somebody wrote by hand."""
    try:
        entry = _decode(value.value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        name = key.removeprefix(EVACUATIONS)
        entry = EvacuationEntry(
            data_centre=name, order_id="", who="unknown", at="unknown", note="evacuate"
        )
    return StoredOrder(entry=entry, revision=value.mod_revision)
