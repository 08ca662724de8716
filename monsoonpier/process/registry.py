"""Balancers as they have registered themselves in the store."""

import structlog

from monsoonpier.store.interface import Snapshot
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.frames import BalancerRecord, FrameCodec

__all__ = ["registered_balancers"]

MAX_LOGGED = 3  # keys named in one line; the count tells the rest
_log = structlog.get_logger("monsoonpier.process.registry")


def registered_balancers(
    found: Snapshot, *, codec: FrameCodec
) -> tuple[BalancerRecord, ...]:
    """Return the records in what was read; what others wrote names nobody.

    Args:
        found: The keys that begin as those of balancers do.
        codec: Opens the records, which are sealed like frames.
    """
    records = []
    reasons_by_key = {}
    for key, value in found.values_by_key.items():
        record = codec.decode(value.value)
        if isinstance(record, BalancerRecord) and key == BALANCERS + record.name:
            records.append(record)
        else:
            reason = record.reason if isinstance(record, Dropped) else "another's key"
            reasons_by_key[key] = reason
    if reasons_by_key:
        logged = dict(list(reasons_by_key.items())[:MAX_LOGGED])
        _log.warning("entries not usable", count=len(reasons_by_key), reasons=logged)
    return tuple(records)
