"""Scheduling class of each frame on a limited link."""

from monsoonpier.link.schedule import Urgency
from monsoonpier.wire.frames import (
    FlowNotOwned,
    ForwardDatagram,
    ForwardPacket,
    OpenReturned,
    OwnershipQuery,
    RelayPacket,
    ReplyDatagram,
    SynRejected,
)

__all__ = ["urgency_of"]

# Frames that carry packets, or that can be as large and numerous: an ownership query
# to every agent of a service would delay heartbeats for too long.
_BULK_FRAMES = (
    OpenReturned
    | ForwardPacket
    | ForwardDatagram
    | FlowNotOwned
    | RelayPacket
    | ReplyDatagram
    | SynRejected
    | OwnershipQuery
)


def urgency_of(frame, *, size: int) -> Urgency:
    """Return the urgency with which a frame is sent.

    Args:
        frame: The frame.
        size: Size of its datagram in bytes.
    """
    if isinstance(frame, _BULK_FRAMES):
        return Urgency.by_size(size)
    return Urgency.CONTROL
