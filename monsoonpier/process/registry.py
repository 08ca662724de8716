"""Reading of the balancers registered in the store."""

import structlog

from monsoonpier.store.interface import Snapshot
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.frames import BalancerRecord, FrameCodec

__all__ = ["registered_balancers"]

MAX_LOGGED = 3  # keys listed in one log line
_log = structlog.get_logger("monsoonpier.process.registry")


def registered_balancers(
    snapshot: Snapshot, *, codec: FrameCodec
) -> tuple[BalancerRecord, ...]:
    """Return the valid balancer records of a snapshot; log and skip the others.

    Args:
        snapshot: All keys with the prefix `BALANCERS`.
        codec: Decodes the records, which are authenticated like frames.
    """
    records = []
    reasons_by_key = {}
    for key, value in snapshot.values_by_key.items():
        record = codec.decode(value.value)
        if isinstance(record, BalancerRecord) and key == BALANCERS + record.name:
            records.append(record)
        else:
            reason = record.reason if isinstance(record, Dropped) else "another's key"
            reasons_by_key[key] = reason
    if reasons_by_key:
        sample = dict(list(reasons_by_key.items())[:MAX_LOGGED])
        _log.warning("entries not usable", count=len(reasons_by_key), reasons=sample)
    return tuple(records)
